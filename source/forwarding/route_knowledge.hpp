// What a VM learns about the requests of one route.

#ifndef OSPREYSTAIR_FORWARDING_ROUTE_KNOWLEDGE_HPP
#define OSPREYSTAIR_FORWARDING_ROUTE_KNOWLEDGE_HPP

#include <algorithm>
#include <chrono>

#include "forwarding/latency_window.hpp"
#include "forwarding/replica.hpp"
#include "forwarding/route_table.hpp"

namespace ospreystair::forwarding
{

/// Usual times of the route's attempts, and the callers' usual deadline. Survives changes of the
/// configuration.
class route_knowledge
{
public:
    void record_attempt(base::duration latency) { m_latencies.record(latency); }

    /// Times for an objective of `objective`. The overdue time leaves a second replica the time to
    /// answer within the objective.
    usual_times usual(std::chrono::milliseconds objective) const
    {
        usual_times result;
        if (m_latencies.size() < fewest_samples)
        {
            result.typical = objective / first_typical_part;
            result.overdue = objective / first_overdue_part;
            return result;
        }
        result.typical = m_latencies.quantile(median);
        const base::duration earliest = 5 * result.typical / 4;
        const base::duration latest =
            std::max<base::duration>(earliest, objective / latest_overdue_part);
        result.overdue = std::clamp(m_latencies.quantile(overdue_quantile), earliest, latest);
        return result;
    }

    /// Notes a caller's deadline, and returns how much of the caller's time earlier attempts have
    /// used: callers that come back have less left than they usually give.
    base::duration record_deadline(std::chrono::milliseconds deadline)
    {
        if (deadline >= m_usual_deadline)
            m_usual_deadline = deadline;
        else
            // Forgets a rare long deadline within some hundred requests.
            m_usual_deadline -= (m_usual_deadline - deadline) / deadline_memory;
        return m_usual_deadline - deadline;
    }

private:
    static constexpr double median = 0.5;
    // One attempt in fourteen is repeated in ordinary times, within a budget of one in five.
    static constexpr double overdue_quantile = 0.93;
    static constexpr std::size_t fewest_samples = 20;
    // Guesses before the first samples: the objective leaves room for several attempts.
    static constexpr int first_typical_part = 8;
    static constexpr int first_overdue_part = 3;
    static constexpr int latest_overdue_part = 2;
    static constexpr int deadline_memory = 50;

    latency_window m_latencies;
    std::chrono::milliseconds m_usual_deadline{0};
};

} // namespace ospreystair::forwarding

#endif
