// Counts of the teams that send the most requests.

#include "teams/largest_teams.hpp"

namespace ospreystair::teams
{

bool largest_teams::record(const std::string& team)
{
    if (m_named.contains(team))
        return true;
    if (m_named.size() >= max_named)
        return false;
    record_candidate(team);
    const auto found = m_candidates.find(team);
    if (found == m_candidates.end() || found->second < recent_requests / share_divisor)
        return false;
    m_named.insert(team);
    m_candidates.erase(found);
    return true;
}

void largest_teams::record_candidate(const std::string& team)
{
    // Starts again, so that a team that sends little for a long time is never named.
    if (++m_recent > recent_requests)
    {
        m_recent = 1;
        m_candidates.clear();
    }
    if (m_candidates.size() < max_candidates || m_candidates.contains(team))
    {
        ++m_candidates[team];
        return;
    }
    for (auto& [name, count] : m_candidates)
        --count;
    std::erase_if(m_candidates, [](const auto& each) { return each.second == 0; });
}

} // namespace ospreystair::teams
