// Raises the floor by what callers have seen, and by the time since configurations were adopted.

#include "forwarding/version_floor.hpp"

#include <algorithm>

namespace ospreystair::forwarding
{

void version_floor::record_adopted(std::uint64_t version, base::time_point now)
{
    raise(now);
    m_spreading.push_back({version, now});
}

void version_floor::record_seen(std::uint64_t version)
{
    m_required = std::max(m_required, version);
}

void version_floor::record_seen_elsewhere(std::uint64_t version, base::time_point now)
{
    record_seen(version);
    if (version <= m_seen_elsewhere)
        return;
    m_seen_elsewhere = version;
    m_seen_elsewhere_at = now;
}

std::uint64_t version_floor::required(base::time_point now)
{
    raise(now);
    return m_required;
}

void version_floor::raise(base::time_point now)
{
    while (!m_spreading.empty() && now >= m_spreading.front().adopted_at + m_spread_time)
    {
        record_seen(m_spreading.front().version);
        m_spreading.pop_front();
    }
}

bool version_floor::is_outdated(std::uint64_t version, base::time_point now) const
{
    return version < m_seen_elsewhere && now < m_seen_elsewhere_at + outdated_memory;
}

} // namespace ospreystair::forwarding
