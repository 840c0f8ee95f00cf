// This VM's share of the request rate that an upstream takes from all VMs together.

#ifndef OSPREYSTAIR_ROUTING_RATE_SHARE_HPP
#define OSPREYSTAIR_ROUTING_RATE_SHARE_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "base/clock.hpp"

namespace ospreystair::routing
{

/// This VM's place among all VMs.
struct fleet_position
{
    std::size_t vm_count = 1;
    /// Position in the sorted list of VMs, from 0.
    std::size_t rank = 0;
    /// An instant that is about the same on all VMs, as this VM's clock shows it.
    base::time_point epoch{};

    bool operator==(const fleet_position&) const = default;
};

/// Returns the place of `own_vm` among `vms`. A VM that is not listed yet takes its turn at any
/// time. `epoch` is the field of the result.
fleet_position find_fleet_position(const std::string& own_vm, std::vector<std::string> vms,
                                   base::time_point epoch);

/// Guards against this failure: an upstream in need names the rate that it can take, every VM hears
/// it, and together they go on sending several times as much.
///
/// The VMs take turns without talking to each other: permits are issued at the upstream's rate, and
/// each VM owns one in `vm_count` of them. Permits expire. Without the expiry, each VM of a large
/// fleet could hold a permit from a quiet time, and all of them could be used in the same second.
/// VMs whose lists or clocks differ only take turns less evenly. Not thread-safe.
class rate_share
{
public:
    /// An upstream that wants fewer requests still gets this many a second from all VMs, because
    /// only its replies tell when the limit has ended.
    static constexpr double min_requests_per_second = 0.25;

    /// `requests_per_second` is the limit for all VMs together.
    rate_share(double requests_per_second, const fleet_position& position, base::time_point now)
    {
        update(requests_per_second, position, now);
    }

    /// Adopts another limit or position.
    void update(double requests_per_second, const fleet_position& position, base::time_point now)
    {
        if (requests_per_second == m_requests_per_second && position == m_position)
            return;
        m_requests_per_second = requests_per_second;
        m_position = position;
        const double rate = std::max(requests_per_second, min_requests_per_second);
        const auto vm_count = static_cast<double>(std::max<std::size_t>(1, position.vm_count));
        m_interval = to_duration(vm_count / rate);
        m_lifetime = to_duration(base_lifetime_s + extra_requests / rate);
        const base::time_point first =
            position.epoch + to_duration(static_cast<double>(position.rank) / rate);
        m_next = first + (now - first) / m_interval * m_interval;
        if (m_next <= now)
            m_next += m_interval;
    }

    /// When the next request may be sent; not after `now` if one may be sent now.
    base::time_point next(base::time_point now) const
    {
        const base::time_point oldest = now - m_lifetime;
        if (m_next >= oldest)
            return m_next;
        const auto expired = (oldest - m_next + m_interval - base::duration{1}) / m_interval;
        return m_next + expired * m_interval;
    }

    bool allows_request(base::time_point now) const { return next(now) <= now; }

    /// Uses a permit. A request that was sent without one delays the next permit.
    void record_request(base::time_point now) { m_next = next(now) + m_interval; }

private:
    // All VMs together hold at most the permits of this time, and a few requests more: otherwise
    // the permit of a VM in a large fleet would expire before its next request.
    static constexpr double base_lifetime_s = 1;
    static constexpr double extra_requests = 2.5;

    static base::duration to_duration(double seconds)
    {
        return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(seconds));
    }

    double m_requests_per_second = -1;
    fleet_position m_position;
    // Time between two permits of this VM.
    base::duration m_interval{};
    base::duration m_lifetime{};
    // Issue time of the oldest permit that has not been used. Permits issued later follow at
    // m_interval; those that are older than m_lifetime have expired.
    base::time_point m_next{};
};

} // namespace ospreystair::routing

#endif
