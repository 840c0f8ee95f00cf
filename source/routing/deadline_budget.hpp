// The time that remains for a request, less a margin for returning the answer to the caller.

#ifndef OSPREYSTAIR_ROUTING_DEADLINE_BUDGET_HPP
#define OSPREYSTAIR_ROUTING_DEADLINE_BUDGET_HPP

#include <algorithm>
#include <chrono>

#include "base/clock.hpp"

namespace ospreystair::routing
{

/// A request's deadline; a copyable value.
class deadline_budget
{
public:
    /// `total` is the caller's deadline, counted from `start`. The margin is a twentieth of it,
    /// at most 10 ms; gathering and writing an answer takes less.
    deadline_budget(base::time_point start, base::duration total)
        : deadline_budget(start, total, std::min<base::duration>(max_margin, total / 20))
    {
    }

    deadline_budget(base::time_point start, base::duration total, base::duration margin)
        : m_start(start), m_end(start + std::max(base::duration{0}, total - margin))
    {
    }

    base::time_point start() const { return m_start; }
    /// The time by which upstreams must have answered, so that the answer can be composed.
    base::time_point end() const { return m_end; }
    /// Returns the time left for upstreams; never negative.
    base::duration remaining(base::time_point now) const
    {
        return std::max(base::duration{0}, m_end - now);
    }
    bool is_expired(base::time_point now) const { return now >= m_end; }

    /// Returns the timeout to send to an upstream, rounded down; zero when no time is left.
    std::chrono::milliseconds upstream_timeout(base::time_point now) const
    {
        return std::chrono::floor<std::chrono::milliseconds>(remaining(now));
    }

private:
    static constexpr std::chrono::milliseconds max_margin{10};
    base::time_point m_start;
    base::time_point m_end;
};

} // namespace ospreystair::routing

#endif
