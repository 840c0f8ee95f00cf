// Latency and deadline statistics of the requests of one route.

#ifndef OSPREYSTAIR_FORWARDING_ROUTE_KNOWLEDGE_HPP
#define OSPREYSTAIR_FORWARDING_ROUTE_KNOWLEDGE_HPP

#include <algorithm>
#include <chrono>
#include <map>
#include <string>

#include "forwarding/latency_window.hpp"
#include "forwarding/replica.hpp"
#include "forwarding/route_table.hpp"

namespace ospreystair::forwarding
{

/// The latency baseline of the route's attempts, and the estimated deadline of first requests. Kept
/// across configuration changes.
class route_knowledge
{
public:
    void record_attempt(base::duration latency) { m_latencies.record(latency); }

    /// Returns the baseline for a latency objective of `objective`. The overdue time leaves a
    /// second replica enough time to answer within the objective.
    latency_baseline baseline(std::chrono::milliseconds objective) const
    {
        latency_baseline result;
        if (m_latencies.size() < min_samples)
        {
            result.median = objective / initial_median_divisor;
            result.overdue_after = objective / initial_overdue_divisor;
            return result;
        }
        result.median = m_latencies.quantile(median_quantile);
        const base::duration earliest = 5 * result.median / 4;
        const base::duration latest =
            std::max<base::duration>(earliest, objective / max_overdue_divisor);
        result.overdue_after = std::clamp(m_latencies.quantile(overdue_quantile), earliest, latest);
        return result;
    }

    /// Records a request's deadline, and returns the estimated time that earlier requests of the
    /// caller have used: a caller that retries sends a deadline shorter than that of its first
    /// request. Each team has an estimate of its own, so that long deadlines of one do not shorten
    /// the time for others' answers. What exceeds `longest` is not counted.
    base::duration record_deadline(const std::string& team, std::chrono::milliseconds deadline,
                                   std::chrono::milliseconds longest)
    {
        deadline = std::min(deadline, longest);
        std::chrono::milliseconds& first_deadline = m_first_attempt_deadlines[team];
        if (deadline >= first_deadline)
            first_deadline = deadline;
        else
            // Decays, so that a rare long deadline has no effect after some hundred requests.
            first_deadline -= (first_deadline - deadline) / deadline_decay_divisor;
        return first_deadline - deadline;
    }

private:
    static constexpr double median_quantile = 0.5;
    // In normal operation one attempt in fourteen is repeated, within a budget of one in five.
    static constexpr double overdue_quantile = 0.93;
    static constexpr std::size_t min_samples = 20;
    // Before enough samples exist the baseline is the objective divided by these: the objective
    // leaves time for several attempts.
    static constexpr int initial_median_divisor = 8;
    static constexpr int initial_overdue_divisor = 3;
    static constexpr int max_overdue_divisor = 2;
    static constexpr int deadline_decay_divisor = 50;

    latency_window m_latencies;
    // By team; empty for requests without one.
    std::map<std::string, std::chrono::milliseconds> m_first_attempt_deadlines;
};

} // namespace ospreystair::forwarding

#endif
