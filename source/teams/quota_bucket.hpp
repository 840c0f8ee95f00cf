// Counts a team's requests against its quota.

#ifndef OSPREYSTAIR_TEAMS_QUOTA_BUCKET_HPP
#define OSPREYSTAIR_TEAMS_QUOTA_BUCKET_HPP

#include <algorithm>
#include <chrono>

#include "base/clock.hpp"

namespace ospreystair::teams
{

/// A bucket that fills at the quota's rate. Requests that were sent before they were counted may
/// leave it in debt, which later requests wait for. Not thread-safe.
class quota_bucket
{
public:
    /// Starts with what has been filled since `filled_since`.
    quota_bucket(double requests_per_second, double depth, base::time_point filled_since)
        : m_rate(requests_per_second), m_depth(depth), m_updated_at(filled_since)
    {
    }

    /// Adopts another quota. A smaller depth cuts the bucket.
    void update(double requests_per_second, double depth, base::time_point now)
    {
        fill(now);
        m_rate = requests_per_second;
        m_depth = depth;
        m_level = std::min(m_level, m_depth);
    }

    double level(base::time_point now)
    {
        fill(now);
        return m_level;
    }

    double depth() const { return m_depth; }

    /// Takes `count` requests that were sent already; negative to give them back. The debt is at
    /// most the depth and the requests of `max_debt_time`.
    void charge(double count, base::time_point now)
    {
        constexpr double max_debt_time_s = 5;
        fill(now);
        m_level = std::clamp(m_level - count, -m_depth - m_rate * max_debt_time_s, m_depth);
    }

    /// Takes one request; returns false when there is no room.
    bool take(base::time_point now)
    {
        fill(now);
        if (m_level < 1)
            return false;
        m_level -= 1;
        return true;
    }

    /// Time until there is room for one request.
    base::duration time_to_room(base::time_point now)
    {
        fill(now);
        return time_to_fill(std::max(0.0, 1 - m_level));
    }

    /// Time in which `count` requests are filled.
    base::duration time_to_fill(double count) const
    {
        return std::chrono::duration_cast<base::duration>(
            std::chrono::duration<double>(count / m_rate));
    }

private:
    void fill(base::time_point now)
    {
        if (now <= m_updated_at)
            return;
        const double seconds = std::chrono::duration<double>(now - m_updated_at).count();
        m_level = std::min(m_depth, m_level + seconds * m_rate);
        m_updated_at = now;
    }

    // Above 0.
    double m_rate;
    double m_depth;
    double m_level = 0;
    base::time_point m_updated_at;
};

} // namespace ospreystair::teams

#endif
