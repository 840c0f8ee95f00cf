// Counts requests in slots of time, which leave the window one after the other.

#include "teams/quota_window.hpp"

#include <algorithm>

namespace ospreystair::teams
{

namespace
{

constexpr int slots_in_window = 50;
// The limits are sums of fractions.
constexpr double rounding = 1e-6;

double to_seconds(base::duration time)
{
    return std::chrono::duration<double>(time).count();
}

base::duration from_seconds(double seconds)
{
    return std::chrono::ceil<base::duration>(std::chrono::duration<double>(seconds));
}

} // namespace

void quota_window::expire(base::time_point now)
{
    const auto first =
        std::find_if(m_slots.begin(), m_slots.end(),
                     [&](const slot& each) { return now - each.last < m_grant.window; });
    for (auto each = m_slots.begin(); each != first; ++each)
        m_count -= each->count;
    m_slots.erase(m_slots.begin(), first);
    if (m_slots.empty())
        m_count = 0;
}

void quota_window::charge(double count, base::time_point now)
{
    expire(now);
    // Which of the requests have been given back is not known: the oldest ones count least long.
    for (auto each = m_slots.begin(); count < 0 && each != m_slots.end(); ++each)
    {
        const double returned = std::min(-count, each->count);
        each->count -= returned;
        m_count -= returned;
        count += returned;
    }
    if (count <= 0)
        return;
    if (m_slots.empty() || now - m_slots.back().first >= m_grant.window / slots_in_window)
        m_slots.push_back({now, now});
    m_slots.back().last = now;
    m_slots.back().count += count;
    m_count += count;
}

template<class Visitor>
void quota_window::visit_limits(base::time_point now, Visitor visit) const
{
    if (is_taking_over(now))
        visit(to_seconds(now - m_since) * m_grant.takeover_rate - m_count,
              m_since + m_grant.window - now);
    double count = 0;
    for (auto each = m_slots.rbegin(); each != m_slots.rend(); ++each)
    {
        count += each->count;
        const base::duration left = m_grant.window - (now - each->last);
        visit(m_grant.capacity - m_grant.takeover_rate * to_seconds(left) - count, left);
    }
}

double quota_window::room(base::time_point now)
{
    expire(now);
    double result = m_grant.most_at_once();
    visit_limits(now, [&](double room, base::duration) { result = std::min(result, room); });
    return result;
}

bool quota_window::take(base::time_point now)
{
    if (room(now) < 1 - rounding)
        return false;
    charge(1, now);
    return true;
}

base::duration quota_window::time_to_room(base::time_point now)
{
    expire(now);
    // A grant of less than one request never has room.
    base::duration result =
        m_grant.most_at_once() < 1 - rounding ? m_grant.window : base::duration{};
    visit_limits(now,
                 [&](double room, base::duration left)
                 {
                     const double seconds =
                         std::min(to_seconds(left), (1 - room) / m_grant.takeover_rate);
                     result = std::max(result, from_seconds(seconds));
                 });
    return result;
}

base::duration quota_window::step() const
{
    return from_seconds(m_grant.window_seconds() / m_grant.capacity);
}

bool quota_window::is_idle(base::time_point now)
{
    expire(now);
    return m_slots.empty() && !is_taking_over(now);
}

} // namespace ospreystair::teams
