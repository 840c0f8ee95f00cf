// Detects a complete loss of the replicas from their silence and from failures since.

#include "forwarding/reach_monitor.hpp"

#include <algorithm>

namespace ospreystair::forwarding
{

bool reach_monitor::update(const replica_directory& directory, base::time_point now)
{
    if (m_cut_off_since || now - m_last_reply < silence_threshold)
        return is_cut_off();
    std::size_t ready_count = 0;
    std::size_t failing_count = 0;
    std::size_t connected_count = 0;
    bool is_waiting = false;
    for (const auto& [id, known] : directory.replicas())
    {
        if (!known->is_available())
            continue;
        // Evacuated replicas are not asked, so that they count as others that do not fail: the few
        // that are left may fail by coincidence.
        ++ready_count;
        if (known->is_evacuated())
            continue;
        is_waiting = is_waiting || known->outstanding() > 0;
        if (known->is_silent_since(m_last_reply, now) || known->last_failure() >= m_last_reply)
            ++failing_count;
        else if (known->last_contact() > m_last_reply)
            ++connected_count;
    }
    const std::size_t required_count =
        std::max(std::min(min_failing_replicas, ready_count), ready_count / min_failing_divisor);
    if (failing_count > 0 && failing_count >= required_count && failing_count > connected_count)
    {
        m_cut_off_since = now;
        // Without a request that waits in vain, the next one shows whether the replicas answer.
        m_last_trial = is_waiting ? now : now - trial_interval;
    }
    return is_cut_off();
}

bool reach_monitor::start_trial(const replica_directory& directory, base::time_point now)
{
    if (now - m_last_trial < silence_threshold)
        return false;
    const bool has_new_connection = std::any_of(
        directory.replicas().begin(), directory.replicas().end(),
        [this](const auto& item) { return item.second->last_contact() > m_last_trial; });
    if (!has_new_connection && now - m_last_trial < trial_interval)
        return false;
    m_last_trial = now;
    return true;
}

} // namespace ospreystair::forwarding
