// Distributes the requests of a route over its services in the proportion of their weights.

#ifndef OSPREYSTAIR_FORWARDING_TRAFFIC_SPLIT_HPP
#define OSPREYSTAIR_FORWARDING_TRAFFIC_SPLIT_HPP

#include <cstddef>
#include <span>
#include <vector>

#include "base/random.hpp"
#include "forwarding/route_table.hpp"

namespace ospreystair::forwarding
{

inline double sum_weights(std::span<const weighted_service> services)
{
    double result = 0;
    for (const weighted_service& item : services)
        result += item.weight;
    return result;
}

/// Smooth weighted round robin: after n requests each service has received its share of n, to
/// within one request. The initial credits are random, so that many VMs with few requests each do
/// not all start with the same service.
class traffic_split
{
public:
    template<base::random_source Random>
    traffic_split(std::span<const weighted_service> services, Random& random)
    {
        constexpr std::uint64_t resolution = 1'000'000;
        const double total = sum_weights(services);
        for (const weighted_service& item : services)
        {
            m_shares.push_back(total > 0 ? item.weight / total : 0);
            m_credits.push_back(static_cast<double>(random.below(resolution)) / resolution *
                                m_shares.back());
        }
    }

    /// Returns the index of the service for the next request.
    std::size_t next()
    {
        std::size_t best = 0;
        for (std::size_t index = 0; index < m_shares.size(); ++index)
        {
            m_credits[index] += m_shares[index];
            // A service with weight 0 must not be chosen.
            if (m_shares[index] > 0 && (m_shares[best] <= 0 || m_credits[index] > m_credits[best]))
                best = index;
        }
        m_credits[best] -= 1;
        return best;
    }

private:
    // Invariant: one entry per service; the shares add up to 1.
    std::vector<double> m_shares;
    std::vector<double> m_credits;
};

/// Returns the index of a service drawn at random by weight, without regard to earlier requests.
template<base::random_source Random>
std::size_t draw_service(std::span<const weighted_service> services, Random& random)
{
    constexpr std::uint64_t resolution = 1'000'000;
    double left =
        sum_weights(services) * static_cast<double>(random.below(resolution)) / resolution;
    std::size_t drawn = 0;
    for (std::size_t index = 0; index < services.size(); ++index)
    {
        if (services[index].weight <= 0)
            continue;
        drawn = index;
        left -= services[index].weight;
        if (left < 0)
            break;
    }
    return drawn;
}

} // namespace ospreystair::forwarding

#endif
