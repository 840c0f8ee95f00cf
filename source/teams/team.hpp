// A team of callers: what it may ask for, and how urgent its requests are.

#ifndef OSPREYSTAIR_TEAMS_TEAM_HPP
#define OSPREYSTAIR_TEAMS_TEAM_HPP

#include <optional>
#include <string>
#include <vector>

namespace ospreystair::teams
{

/// Requests that all VMs together accept from one team.
struct request_quota
{
    /// 0 for no limit.
    double requests_per_second = 0;
    /// Requests beyond the rate that a team may send after a quiet time.
    double burst = 0;

    bool is_limited() const { return requests_per_second > 0; }
    bool operator==(const request_quota&) const = default;
};

/// A team as the configuration defines it, without its keys.
struct team
{
    std::string name;
    /// Replaces the priority of routes; 0 is the most urgent.
    std::optional<int> priority;
    request_quota quota;
    /// Regions in which the team's requests may be processed; empty for all.
    std::vector<std::string> home_regions;

    bool operator==(const team&) const = default;
};

} // namespace ospreystair::teams

#endif
