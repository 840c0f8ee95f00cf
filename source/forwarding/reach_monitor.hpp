// Detects that this VM reaches no replica at all.

#ifndef OSPREYSTAIR_FORWARDING_REACH_MONITOR_HPP
#define OSPREYSTAIR_FORWARDING_REACH_MONITOR_HPP

#include <optional>

#include "forwarding/replica_directory.hpp"

namespace ospreystair::forwarding
{

/// Guards against this failure: a VM loses its links to all replicas while callers still reach it.
/// Its requests hang on silent connections or fail one by one, although other VMs could serve them.
///
/// Replicas count as failing only if they were asked, or connected to, after the last reply of any
/// replica: slow ones stay silent while others answer requests of the same time.
///
/// Only a reply shows that the VM reaches replicas: something on the way may accept connections in
/// their place.
class reach_monitor
{
public:
    /// All replicas together are silent for this long only when the VM is cut off: they pause at
    /// different times.
    static constexpr std::chrono::milliseconds silence_threshold = replica::max_pause;
    /// Fewer replicas may fail at the same time by coincidence: this number, and this part of all.
    static constexpr std::size_t min_failing_replicas = 3;
    static constexpr std::size_t min_failing_divisor = 8;
    /// A cut-off VM tries a replica after this time even if no connection has been opened.
    static constexpr std::chrono::milliseconds trial_interval{2'000};

    explicit reach_monitor(base::time_point now) : m_last_reply(now) {}

    /// Records a reply of any replica, which ends a cut.
    void record_reply(base::time_point now)
    {
        m_last_reply = now;
        m_cut_off_since.reset();
    }

    /// Evaluates the replicas.
    bool update(const replica_directory& directory, base::time_point now);

    bool is_cut_off() const { return m_cut_off_since.has_value(); }

    /// Whether a cut-off VM should try its replicas with one request now: connections have been
    /// opened since the last try, or it was long ago. The next call returns false for a while.
    bool start_trial(const replica_directory& directory, base::time_point now);

    /// Time of the last reply of a replica; before the first one, of the start.
    base::time_point last_reply() const { return m_last_reply; }

private:
    base::time_point m_last_reply;
    std::optional<base::time_point> m_cut_off_since;
    base::time_point m_last_trial{};
};

} // namespace ospreystair::forwarding

#endif
