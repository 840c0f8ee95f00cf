// Decides whether a VM sends a team's request at once, asks the keeper of the team's quota first,
// or refuses it. Answers this load pattern: each of many VMs sees a request of a team every few
// seconds, so that no share of a VM's own says whether the team is within its quota.

#ifndef OSPREYSTAIR_TEAMS_QUOTA_CLIENT_HPP
#define OSPREYSTAIR_TEAMS_QUOTA_CLIENT_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/clock.hpp"
#include "routing/rate_share.hpp"
#include "teams/quota_bounds.hpp"
#include "teams/quota_question.hpp"
#include "teams/team.hpp"

namespace ospreystair::teams
{

enum class quota_decision
{
    admitted, ///< The request is sent at once, and counted by the keeper later.
    asked,    ///< The request waits for the keeper's answer.
    reserved, ///< The request is sent from the reserve, without the keeper.
    refused
};

/// The asking side of one VM. Not thread-safe.
class quota_client
{
public:
    /// Standby keepers that are asked, in turn, while the keeper is out of reach.
    static constexpr unsigned max_rank = 2;
    /// Calls to the keeper that fail one after the other until it counts as out of reach.
    static constexpr unsigned max_failures = 2;
    /// A keeper out of reach is asked again at most this often, by a team's next request.
    static constexpr std::chrono::milliseconds retry_interval{1'000};
    /// Teams known at the same time; further ones use the reserve.
    static constexpr std::size_t max_teams = 20'000;

    quota_client(const quota_bounds& bounds, base::time_point now)
        : m_bounds(bounds), m_started_at(now)
    {
    }

    void set_bounds(const quota_bounds& bounds) { m_bounds = bounds; }
    void set_position(const routing::fleet_position& position) { m_position = position; }

    /// Decides about a request. `quota` is limited.
    quota_decision decide(const std::string& team, const request_quota& quota,
                          base::time_point now);
    /// Decides about a request that waited for a keeper which did not answer: reserved or refused.
    quota_decision decide_alone(const std::string& team, const request_quota& quota,
                                base::time_point now);
    /// When a request that decide_alone() refused may return.
    std::chrono::milliseconds retry_after(const std::string& team, base::time_point now) const;
    /// A request that was admitted or got a permit has reached no replica.
    void give_back(const std::string& team);

    /// Whether there is anything to tell or ask.
    bool has_question(const std::string& team) const;
    /// Returns what has to be told and asked now. One of the next two functions follows.
    quota_question take_question(const std::string& team, base::time_point now);
    void on_answer(const quota_question& question, const quota_answer& answer,
                   base::time_point now);
    /// Returns whether the question should be asked again at once. Otherwise those that wait decide
    /// alone.
    bool on_failure(const quota_question& question, base::time_point now);
    /// Whether the keeper should be asked beside a standby keeper, to learn when it is back. Counts
    /// as asked.
    bool take_probe(const std::string& team, base::time_point now);
    /// The keeper has announced that the team's requests need permits.
    void on_metered(const std::string& team, base::time_point now);

    /// Forgets teams that are neither metered nor in use; to be called about once in a window.
    void remove_idle(base::time_point now);

    std::size_t team_count() const { return m_accounts.size(); }

private:
    struct account
    {
        bool is_metered = false;
        unsigned failures = 0;
        // Which of the keepers is asked.
        unsigned rank = 0;
        base::time_point probed_at{};
        int used = 0;
        unsigned wanted = 0;
        base::time_point used_at{};
        base::time_point asked_at{};
        // Set while the keeper is out of reach.
        std::optional<routing::rate_share> reserve;
    };

    static bool is_out_of_reach(const account& known) { return known.failures >= max_failures; }
    account* find(const std::string& team, base::time_point now);

    quota_bounds m_bounds;
    base::time_point m_started_at;
    routing::fleet_position m_position;
    std::unordered_map<std::string, account> m_accounts;
};

} // namespace ospreystair::teams

#endif
