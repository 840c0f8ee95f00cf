// Tells whether this VM is cut off from the replicas of other data centres, so that callers are
// better served elsewhere.

#ifndef OSPREYSTAIR_FORWARDING_ISOLATION_MONITOR_HPP
#define OSPREYSTAIR_FORWARDING_ISOLATION_MONITOR_HPP

#include <chrono>
#include <optional>
#include <string>

#include "forwarding/replica_directory.hpp"

namespace ospreystair::forwarding
{

/// Load pattern: a data centre is cut off while callers still reach its VMs. Those that cannot
/// serve a request without the others refuse it each time, although VMs elsewhere could serve it.
class isolation_monitor
{
public:
    /// Without a word from any replica elsewhere for this long, down replicas mean a cut.
    static constexpr std::chrono::milliseconds longest_silence{1'000};
    /// A refusal counts as recent for this long.
    static constexpr std::chrono::milliseconds refusal_memory{2'000};
    /// Fewer replicas may be down at the same time by chance.
    static constexpr std::size_t fewest_down = 3;

    /// A request was refused because services have no live replica.
    void record_unservable(base::time_point now) { m_refused_at = now; }

    /// Judges the replicas outside `data_centre`. A VM that is isolated stays so until one of them
    /// is heard.
    bool update(const replica_directory& directory, const std::string& data_centre,
                base::time_point now);

    bool is_isolated() const { return m_isolated_since.has_value(); }

private:
    std::optional<base::time_point> m_refused_at;
    std::optional<base::time_point> m_isolated_since;
};

} // namespace ospreystair::forwarding

#endif
