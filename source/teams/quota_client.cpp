// Decisions of a VM about the requests of teams with quotas.

#include "teams/quota_client.hpp"

#include <algorithm>
#include <utility>

namespace ospreystair::teams
{

quota_client::account* quota_client::find(const std::string& team, base::time_point now)
{
    const auto found = m_accounts.find(team);
    if (found != m_accounts.end())
        return &found->second;
    if (m_accounts.size() >= max_teams)
        return nullptr;
    account& created = m_accounts[team];
    // A VM that has just started has heard no announcement.
    created.is_metered = now - m_started_at < m_bounds.window;
    created.used_at = now;
    return &created;
}

quota_decision quota_client::decide(const std::string& team, const request_quota& quota,
                                    base::time_point now)
{
    account* const known = find(team, now);
    if (!known)
        return quota_decision::refused;
    known->used_at = now;
    const bool is_lost = is_out_of_reach(*known);
    if (is_lost && now - known->asked_at < retry_interval)
        return decide_alone(team, quota, now);
    if (known->is_metered || is_lost || known->rank > 0)
    {
        ++known->wanted;
        return quota_decision::asked;
    }
    ++known->used;
    return quota_decision::admitted;
}

quota_decision quota_client::decide_alone(const std::string& team, const request_quota& quota,
                                          base::time_point now)
{
    account* const known = find(team, now);
    const double rate = m_bounds.reserve_rate(quota);
    if (!known || rate <= 0)
        return quota_decision::refused;
    if (!known->reserve)
        known->reserve.emplace(rate, m_position, now);
    known->reserve->update(rate, m_position, now);
    if (!known->reserve->allows_request(now))
        return quota_decision::refused;
    known->reserve->record_request(now);
    return quota_decision::reserved;
}

std::chrono::milliseconds quota_client::retry_after(const std::string& team,
                                                    base::time_point now) const
{
    // The keeper is asked again by then.
    constexpr std::chrono::milliseconds shortest = retry_interval;
    const auto found = m_accounts.find(team);
    if (found == m_accounts.end() || !found->second.reserve)
        return shortest;
    const auto wait =
        std::chrono::ceil<std::chrono::milliseconds>(found->second.reserve->next(now) - now);
    return std::clamp(wait, shortest, std::max(shortest, m_bounds.window));
}

void quota_client::give_back(const std::string& team)
{
    const auto found = m_accounts.find(team);
    if (found != m_accounts.end())
        --found->second.used;
}

bool quota_client::has_question(const std::string& team) const
{
    const auto found = m_accounts.find(team);
    return found != m_accounts.end() && (found->second.used != 0 || found->second.wanted > 0);
}

quota_question quota_client::take_question(const std::string& team, base::time_point now)
{
    quota_question result;
    result.team = team;
    account* const known = find(team, now);
    if (!known)
        return result;
    result.used = std::exchange(known->used, 0);
    result.wanted = std::exchange(known->wanted, 0);
    result.rank = known->rank;
    known->asked_at = now;
    return result;
}

void quota_client::on_answer(const quota_question& question, const quota_answer& answer,
                             base::time_point now)
{
    account* const known = find(question.team, now);
    if (!known)
        return;
    if (question.rank == 0)
    {
        known->is_metered = answer.is_metered;
        known->rank = 0;
    }
    known->failures = 0;
    known->reserve.reset();
}

bool quota_client::on_failure(const quota_question& question, base::time_point now)
{
    account* const known = find(question.team, now);
    if (!known)
        return false;
    known->used += question.used;
    ++known->failures;
    const bool is_lost = is_out_of_reach(*known) && known->rank >= max_rank;
    if (is_lost)
        known->rank = 0;
    else if (is_out_of_reach(*known))
    {
        ++known->rank;
        known->probed_at = now;
        // A standby keeper has one try.
        known->failures = max_failures - 1;
    }
    if (is_lost)
        known->wanted = 0;
    else
        known->wanted += question.wanted;
    return !is_lost;
}

bool quota_client::take_probe(const std::string& team, base::time_point now)
{
    const auto found = m_accounts.find(team);
    if (found == m_accounts.end() || found->second.rank == 0 ||
        now - found->second.probed_at < retry_interval)
        return false;
    found->second.probed_at = now;
    return true;
}

void quota_client::on_metered(const std::string& team, base::time_point now)
{
    if (account* const known = find(team, now))
    {
        known->is_metered = true;
        known->used_at = now;
    }
}

void quota_client::remove_idle(base::time_point now)
{
    constexpr int idle_windows = 12;
    std::erase_if(m_accounts,
                  [&](const auto& item) {
                      return item.second.wanted == 0 &&
                             now - item.second.used_at > idle_windows * m_bounds.window;
                  });
}

} // namespace ospreystair::teams
