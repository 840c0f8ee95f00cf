// Detects that this VM is cut off from the replicas of other data centres, so that VMs elsewhere
// serve callers better.

#ifndef OSPREYSTAIR_FORWARDING_ISOLATION_MONITOR_HPP
#define OSPREYSTAIR_FORWARDING_ISOLATION_MONITOR_HPP

#include <chrono>
#include <optional>
#include <string>

#include "forwarding/replica_directory.hpp"

namespace ospreystair::forwarding
{

/// Guards against this failure: a network partition separates a data centre while callers still
/// reach its VMs. A VM that needs replicas of other data centres refuses each such request,
/// although VMs elsewhere could serve it.
class isolation_monitor
{
public:
    /// Down replicas count as a partition when no remote replica has been in contact for this long.
    static constexpr std::chrono::milliseconds silence_threshold{1'000};
    /// How long a refusal counts as recent.
    static constexpr std::chrono::milliseconds refusal_window{2'000};
    /// Fewer replicas may be down at the same time by coincidence.
    static constexpr std::size_t min_down_replicas = 3;

    /// Records that a request was refused because services have no live replica.
    void record_unservable(base::time_point now) { m_refused_at = now; }

    /// Evaluates the replicas outside `data_centre`. An isolated VM stays isolated until the next
    /// contact with one of them.
    bool update(const replica_directory& directory, const std::string& data_centre,
                base::time_point now);

    bool is_isolated() const { return m_isolated_since.has_value(); }

private:
    std::optional<base::time_point> m_refused_at;
    std::optional<base::time_point> m_isolated_since;
};

} // namespace ospreystair::forwarding

#endif
