// Counts a team's requests in the last window against its quota.

#ifndef OSPREYSTAIR_TEAMS_QUOTA_WINDOW_HPP
#define OSPREYSTAIR_TEAMS_QUOTA_WINDOW_HPP

#include <chrono>
#include <vector>

#include "base/clock.hpp"

namespace ospreystair::teams
{

/// What a keeper grants.
struct quota_grant
{
    /// Requests in each window; above 0.
    double capacity = 1;
    /// Requests a second that a keeper which takes over grants in its first window, in which it
    /// does not know what its predecessor has granted; above 0.
    double takeover_rate = 1;
    std::chrono::milliseconds window{5'000};

    double window_seconds() const { return std::chrono::duration<double>(window).count(); }

    /// Requests that are granted at once after a quiet time.
    double most_at_once() const { return capacity - takeover_rate * window_seconds(); }
};

/// Any window has at most `capacity` requests, also when another keeper takes over in the middle of
/// it: any shorter time leaves room in its window for what the successor grants, so that a time L
/// has at most capacity - takeover_rate x (window - L). Evenly spread, requests use the whole
/// capacity in each window. Requests that were sent before they were counted may exceed this, and
/// later ones wait until they leave the window. Not thread-safe.
class quota_window
{
public:
    /// Keeps the count from `since` on.
    quota_window(const quota_grant& grant, base::time_point since) : m_grant(grant), m_since(since)
    {
    }

    /// Adopts another quota.
    void update(const quota_grant& grant) { m_grant = grant; }

    const quota_grant& grant() const { return m_grant; }

    /// Counts requests that were sent already; negative to give them back.
    void charge(double count, base::time_point now);
    /// Counts one request; returns false when there is no room.
    bool take(base::time_point now);

    /// Requests that would be granted now; negative when too many were sent.
    double room(base::time_point now);
    /// Time until there is room for one request.
    base::duration time_to_room(base::time_point now);
    /// Average time between two requests of a team that uses its whole quota.
    base::duration step() const;
    /// Whether nothing limits the team that is not known here.
    bool is_idle(base::time_point now);

private:
    // Requests that were counted about the same time.
    struct slot
    {
        base::time_point first;
        // Invariant: all its requests count until this one leaves the window.
        base::time_point last;
        double count = 0;
    };

    // Forgets what has left the window.
    void expire(base::time_point now);
    // Calls `visit(room, left)` for each limit: how many requests it leaves room for, and when it
    // ends. Until then its room grows at the takeover rate.
    template<class Visitor>
    void visit_limits(base::time_point now, Visitor visit) const;
    bool is_taking_over(base::time_point now) const { return now < m_since + m_grant.window; }

    quota_grant m_grant;
    base::time_point m_since;
    // By time; at most one more than fit into the window.
    std::vector<slot> m_slots;
    // Sum of m_slots.
    double m_count = 0;
};

} // namespace ospreystair::teams

#endif
