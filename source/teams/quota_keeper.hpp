// Keeps the quotas of teams for all VMs. Answers this load pattern: a team sends many times its
// quota, spread over VMs of which each sees little of it.

#ifndef OSPREYSTAIR_TEAMS_QUOTA_KEEPER_HPP
#define OSPREYSTAIR_TEAMS_QUOTA_KEEPER_HPP

#include <cstddef>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.hpp"
#include "teams/quota_bounds.hpp"
#include "teams/quota_question.hpp"
#include "teams/quota_window.hpp"
#include "teams/team.hpp"

namespace ospreystair::teams
{

enum class keeper_role
{
    keeper,
    /// Grants a part of the margin to VMs that do not reach the keeper.
    standby
};

/// The keeper's side: one count a team. While a team is near its quota, it is metered: its requests
/// need permits. Not thread-safe.
class quota_keeper
{
public:
    /// Teams that are kept at the same time; those that are idle are forgotten first.
    static constexpr std::size_t max_teams = 20'000;

    quota_keeper(const quota_bounds& bounds, base::time_point now,
                 keeper_role role = keeper_role::keeper)
        : m_role(role), m_bounds(bounds), m_keeping_since(now)
    {
    }

    void set_bounds(const quota_bounds& bounds) { m_bounds = bounds; }

    /// The list of VMs has changed; `is_kept` tells whether this VM keeps a team from now on. A
    /// team that it begins to keep may have used its quota elsewhere.
    template<class Predicate>
    void on_vms_changed(base::time_point now, Predicate is_kept)
    {
        m_keeping_since = now;
        std::erase_if(m_accounts, [&](const auto& item) { return !is_kept(item.first); });
    }

    /// Counts and answers. `quota` is the team's quota as this VM's configuration has it, and is
    /// limited.
    quota_answer answer(const quota_question& question, const request_quota& quota,
                        base::time_point now);

    /// Forgets teams that have sent nothing lately; to be called about once in a window.
    void remove_idle(base::time_point now);

    /// Returns the teams that have become metered since the last call. All VMs have to hear of
    /// them.
    std::vector<std::string> take_announcements() { return std::exchange(m_announcements, {}); }
    /// Returns the teams that are no longer metered since the last call.
    std::vector<std::string> take_releases() { return std::exchange(m_releases, {}); }

    std::size_t team_count() const { return m_accounts.size(); }
    std::size_t metered_count() const;

private:
    struct account
    {
        account(const quota_grant& grant, base::time_point since) : requests(grant, since) {}

        quota_window requests;
        bool is_metered = false;
        // Since when the team has been far from its quota.
        base::time_point far_since{};
        // When the last of those that were refused may return.
        base::time_point last_return{};
    };

    account& find(const std::string& team, const request_quota& quota, base::time_point now);
    void update_episode(const std::string& team, account& changed, base::time_point now);
    // Promises return times to those that were refused, one after the other at the quota's rate.
    void refuse(account& full, unsigned count, quota_answer& result, base::time_point now) const;

    const keeper_role m_role;
    quota_bounds m_bounds;
    base::time_point m_keeping_since;
    std::unordered_map<std::string, account> m_accounts;
    std::vector<std::string> m_announcements;
    std::vector<std::string> m_releases;
};

} // namespace ospreystair::teams

#endif
