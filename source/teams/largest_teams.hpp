// Decides which teams are counted under their own names: those that send a large share of the
// requests. Keeps the metrics few with thousands of teams of which most are idle.

#ifndef OSPREYSTAIR_TEAMS_LARGEST_TEAMS_HPP
#define OSPREYSTAIR_TEAMS_LARGEST_TEAMS_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace ospreystair::teams
{

/// Counts frequent names in bounded memory (Misra and Gries). Not thread-safe.
class largest_teams
{
public:
    /// Most names that are ever given out.
    static constexpr std::size_t max_named = 64;
    /// A team is named once it has sent at least one of this many recent requests.
    static constexpr std::uint64_t share_divisor = 32;

    /// Records a request. Returns whether the team's requests are counted under its name; that
    /// stays so from then on, so that its counters never decrease.
    bool record(const std::string& team);

private:
    // Requests over which shares are taken.
    static constexpr std::uint64_t recent_requests = 1'024;
    // Teams whose requests are counted. Any team with a share above one of this many is among them.
    static constexpr std::size_t max_candidates = 2 * share_divisor;

    void record_candidate(const std::string& team);

    std::set<std::string> m_named;
    // Recent requests by team, at most a share of 1 / max_candidates too few.
    std::map<std::string, std::uint64_t> m_candidates;
    std::uint64_t m_recent = 0;
};

} // namespace ospreystair::teams

#endif
