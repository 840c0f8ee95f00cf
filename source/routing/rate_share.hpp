// This VM's share of the request rate that an upstream takes from all VMs together.

#ifndef OSPREYSTAIR_ROUTING_RATE_SHARE_HPP
#define OSPREYSTAIR_ROUTING_RATE_SHARE_HPP

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <optional>
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
    /// Whether the list has this VM, so that no other one has the same rank.
    bool is_listed = true;

    bool operator==(const fleet_position&) const = default;
};

/// Returns the place of `own_vm` among `vms`. A VM that is not listed yet takes its turn at any
/// time. `epoch` is the field of the result.
fleet_position find_fleet_position(const std::string& own_vm, std::vector<std::string> vms,
                                   base::time_point epoch);

/// The rate that an upstream takes from all VMs together.
struct rate_limit
{
    double requests_per_second = 0;
    /// Most requests in any second, whatever the fleet's size; empty if only the average counts.
    /// Below 1 it still allows single requests. A VM that is not listed yet gets none.
    std::optional<double> most_in_one_second = {};

    bool operator==(const rate_limit&) const = default;
};

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
        : rate_share(rate_limit{requests_per_second}, position, now)
    {
    }
    rate_share(const rate_limit& limit, const fleet_position& position, base::time_point now)
    {
        update(limit, position, now);
    }

    /// Adopts another limit or position.
    void update(double requests_per_second, const fleet_position& position, base::time_point now)
    {
        update(rate_limit{requests_per_second}, position, now);
    }
    void update(const rate_limit& limit, const fleet_position& position, base::time_point now)
    {
        if (m_limit == limit && position == m_position)
            return;
        m_limit = limit;
        m_position = position;
        const permit_schedule schedule = plan_permits(limit);
        const double rate = schedule.permits_per_second;
        const auto vm_count = static_cast<double>(std::max<std::size_t>(1, position.vm_count));
        m_interval = std::max(base::duration{1}, to_duration(vm_count / rate));
        m_lifetime = to_duration(schedule.lifetime_s);
        const base::time_point first =
            position.epoch + to_duration(static_cast<double>(position.rank) / rate);
        m_next = first + (now - first) / m_interval * m_interval;
        if (m_next <= now)
            m_next += m_interval;
    }

    /// When the next request may be sent; not after `now` if one may be sent now.
    base::time_point next(base::time_point now) const
    {
        if (is_excluded())
            return now + exclusion_check_time;
        const base::time_point oldest = now - m_lifetime;
        if (m_next >= oldest)
            return m_next;
        const auto expired = (oldest - m_next + m_interval - base::duration{1}) / m_interval;
        return m_next + expired * m_interval;
    }

    bool allows_request(base::time_point now) const { return next(now) <= now; }

    /// Uses a permit. A request that was sent without one delays the next permit.
    void record_request(base::time_point now)
    {
        if (!is_excluded())
            m_next = next(now) + m_interval;
    }

private:
    // All VMs together hold at most the permits of this time, and a few requests more: otherwise
    // the permit of a VM in a large fleet would expire before its next request.
    static constexpr double base_lifetime_s = 1;
    static constexpr double extra_requests = 2.5;

    static base::duration to_duration(double seconds)
    {
        return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(seconds));
    }

    struct permit_schedule
    {
        double permits_per_second;
        double lifetime_s;
    };

    // With a limit for each second, the requests of a second use permits issued in that second and
    // one lifetime before it.
    static permit_schedule plan_permits(const rate_limit& limit)
    {
        const double rate = std::max(limit.requests_per_second, min_requests_per_second);
        if (!limit.most_in_one_second)
            return {rate, base_lifetime_s + extra_requests / rate};
        const double permits = std::max(1.0, std::floor(*limit.most_in_one_second)) - margin;
        const double permits_per_second = std::min(rate, permits / (1 + min_lifetime_s));
        const double lifetime_s =
            std::min(permits / permits_per_second - 1, base_lifetime_s + extra_requests / rate);
        return {permits_per_second, lifetime_s};
    }

    // Any number of VMs may start at once, and none of them has a turn of its own yet.
    bool is_excluded() const { return m_limit->most_in_one_second && !m_position.is_listed; }

    // When a VM that is not listed looks again for a turn.
    static constexpr std::chrono::milliseconds exclusion_check_time{250};
    // Shorter permits of a large fleet would mostly expire unused.
    static constexpr double min_lifetime_s = 0.25;
    // Keeps the bound while timestamps are rounded.
    static constexpr double margin = 0.1;

    // Empty until the first update.
    std::optional<rate_limit> m_limit;
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
