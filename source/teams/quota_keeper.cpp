// Answers of the keeper of a team's quota.

#include "teams/quota_keeper.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace ospreystair::teams
{

quota_keeper::account& quota_keeper::find(const std::string& team, const request_quota& quota,
                                          base::time_point now)
{
    const quota_grant grant = m_role == keeper_role::standby ? m_bounds.standby_grant(quota)
                                                             : m_bounds.keeper_grant(quota);
    const auto found = m_accounts.find(team);
    if (found != m_accounts.end())
    {
        found->second.requests.update(grant);
        return found->second;
    }
    if (m_accounts.size() >= max_teams)
        remove_idle(now);
    // What was forgotten instead had sent its requests elsewhere or not at all.
    if (m_accounts.size() >= max_teams)
        m_accounts.erase(m_accounts.begin());
    account created(grant, m_keeping_since);
    created.far_since = now;
    return m_accounts.emplace(team, created).first->second;
}

void quota_keeper::update_episode(const std::string& team, account& changed, base::time_point now)
{
    constexpr double start_share = 0.5;
    constexpr double end_share = 0.75;
    const double room = changed.requests.room(now);
    const double most = changed.requests.grant().most_at_once();
    if (room < most * end_share)
        changed.far_since = now;
    if (room < most * start_share)
    {
        if (!std::exchange(changed.is_metered, true))
            m_announcements.push_back(team);
    }
    else if (now - changed.far_since >= m_bounds.window)
    {
        if (std::exchange(changed.is_metered, false))
            m_releases.push_back(team);
    }
}

void quota_keeper::refuse(account& full, unsigned count, quota_answer& result,
                          base::time_point now) const
{
    using std::chrono::ceil;
    using std::chrono::milliseconds;
    constexpr int max_windows = 2;
    const base::duration step = full.requests.step();
    const base::time_point first =
        std::max(now + full.requests.time_to_room(now), full.last_return + step);
    // Those that wait longer are mixed with others that may have given up.
    const bool is_late = first > now + max_windows * m_bounds.window;
    const base::time_point start = is_late ? now + full.requests.time_to_room(now) : first;
    full.last_return = start + (count - 1) * step;
    result.retry_after = ceil<milliseconds>(start - now);
    result.retry_step = ceil<milliseconds>(step);
}

quota_answer quota_keeper::answer(const quota_question& question, const request_quota& quota,
                                  base::time_point now)
{
    account& asked = find(question.team, quota, now);
    quota_answer result;
    // The room before this question tells how long the team has been far from its quota.
    update_episode(question.team, asked, now);
    asked.requests.charge(question.used, now);
    while (result.granted < question.wanted && asked.requests.take(now))
        ++result.granted;
    if (result.granted < question.wanted)
        refuse(asked, question.wanted - result.granted, result, now);
    update_episode(question.team, asked, now);
    result.is_metered = asked.is_metered;
    return result;
}

void quota_keeper::remove_idle(base::time_point now)
{
    for (auto item = m_accounts.begin(); item != m_accounts.end();)
    {
        account& known = item->second;
        update_episode(item->first, known, now);
        item = known.requests.is_idle(now) && !known.is_metered ? m_accounts.erase(item)
                                                                : std::next(item);
    }
}

std::size_t quota_keeper::metered_count() const
{
    return static_cast<std::size_t>(std::count_if(m_accounts.begin(), m_accounts.end(),
                                                  [](const auto& item)
                                                  { return item.second.is_metered; }));
}

} // namespace ospreystair::teams
