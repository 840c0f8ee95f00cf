// Detects a partition from the state of the replicas in other data centres.

#include "forwarding/isolation_monitor.hpp"

#include <algorithm>

namespace ospreystair::forwarding
{

bool isolation_monitor::update(const replica_directory& directory, const std::string& data_centre,
                               base::time_point now)
{
    std::size_t down_count = 0;
    base::time_point last_contact{};
    bool is_any_evacuated = false;
    bool is_any_ready = false;
    for (const auto& [id, known] : directory.replicas())
    {
        if (known->registry_entry().data_centre == data_centre)
            continue;
        is_any_evacuated = is_any_evacuated || known->is_evacuated();
        if (!known->is_ready())
            continue;
        is_any_ready = true;
        if (known->is_down(now))
            ++down_count;
        last_contact = std::max(last_contact, known->last_contact());
    }
    if (m_isolated_since && last_contact > *m_isolated_since)
        m_isolated_since.reset();
    // No contact with evacuated replicas can end the isolation.
    if (is_any_evacuated && !is_any_ready)
        m_isolated_since.reset();
    const bool has_recent_refusal = m_refused_at && now - *m_refused_at < refusal_window;
    if (!m_isolated_since && has_recent_refusal && down_count >= min_down_replicas &&
        now - last_contact >= silence_threshold)
        m_isolated_since = now;
    return is_isolated();
}

} // namespace ospreystair::forwarding
