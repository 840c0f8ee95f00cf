// Detects that replicas have no connections left for this VM, and decides how connections are used
// meanwhile.

#ifndef OSPREYSTAIR_ROUTING_CROWDING_MONITOR_HPP
#define OSPREYSTAIR_ROUTING_CROWDING_MONITOR_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "base/clock.hpp"

namespace ospreystair::routing
{

/// Guards against this failure: all VMs lose power at the same time. The replicas still count the
/// connections of the dead VMs and reject most new ones for eight to ten seconds. The few that they
/// accept are held idle by the VMs that came first, while all others retry without success.
///
/// While a data centre is crowded, a VM opens a connection to its replicas only for a request and
/// closes it afterwards, so that the few free connections pass from VM to VM. Not thread-safe.
class crowding_monitor
{
public:
    /// `own_data_centre` is that of this VM, `started_at` the start of its process.
    crowding_monitor(std::string own_data_centre, base::time_point started_at)
        : m_own_data_centre(std::move(own_data_centre)), m_started_at(started_at)
    {
    }

    /// The free connections are shared for this long; then the VM tries to keep connections again.
    /// Replicas drop the connections of dead VMs after about this time.
    static constexpr std::chrono::seconds crowded_time{8};
    /// Wait before the next connection to a replica after `rejections` rejected ones in series.
    static constexpr base::duration backoff(unsigned rejections)
    {
        constexpr std::chrono::milliseconds initial{15};
        constexpr unsigned max_doublings = 5;
        return initial * (1U << std::min(rejections == 0 ? 0 : rejections - 1, max_doublings));
    }

    void record_opened(const std::string& data_centre, base::time_point now)
    {
        counts& current = advance(data_centre, now);
        ++current.opened;
        if (current.rejected > 0)
            ++current.opened_after_rejection;
        update(data_centre, current, now);
    }

    /// Records that a replica reset a new connection.
    void record_rejected(const std::string& data_centre, base::time_point now)
    {
        counts& current = advance(data_centre, now);
        ++current.rejected;
        update(data_centre, current, now);
    }

    bool is_crowded(const std::string& data_centre, base::time_point now) const
    {
        const auto found = m_counts.find(data_centre);
        return found != m_counts.end() && now < found->second.crowded_until;
    }

private:
    static constexpr std::chrono::seconds window{2};
    // Fewer rejections may come from single replicas.
    static constexpr std::uint32_t min_rejected = 8;
    // Another data centre that accepts none may be cut off, with connections reset on the way.
    static constexpr std::uint32_t min_opened = 2;
    // After its start a VM may have lost power together with the others. A quarter is enough then,
    // so that the VMs that were first notice too and do not hold the free connections.
    static constexpr std::chrono::seconds start_time{15};
    static constexpr std::uint32_t divisor_after_start = 4;
    // Later, half of the new connections: replicas with long queues reject some, and a connection
    // for each request would only add to their work.
    static constexpr std::uint32_t usual_divisor = 2;

    struct counts
    {
        base::time_point started_at{};
        std::uint32_t opened = 0;
        std::uint32_t rejected = 0;
        std::uint32_t opened_after_rejection = 0;
        base::time_point crowded_until{};
    };

    counts& advance(const std::string& data_centre, base::time_point now)
    {
        counts& current = m_counts[data_centre];
        if (now - current.started_at >= window)
            current = {now, 0, 0, 0, current.crowded_until};
        return current;
    }

    void update(const std::string& data_centre, counts& current, base::time_point now) const
    {
        const bool is_reachable =
            data_centre == m_own_data_centre || current.opened_after_rejection >= min_opened;
        const std::uint32_t divisor =
            now - m_started_at < start_time ? divisor_after_start : usual_divisor;
        if (current.rejected >= min_rejected && is_reachable &&
            current.rejected * divisor >= current.rejected + current.opened)
            current.crowded_until = std::max(current.crowded_until, now + crowded_time);
    }

    const std::string m_own_data_centre;
    const base::time_point m_started_at;
    // By data centre, of the current time window.
    std::map<std::string, counts> m_counts;
};

} // namespace ospreystair::routing

#endif
