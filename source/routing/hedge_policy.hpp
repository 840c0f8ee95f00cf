// Decides when a slow sub-request is also sent to another replica.

#ifndef OSPREYSTAIR_ROUTING_HEDGE_POLICY_HPP
#define OSPREYSTAIR_ROUTING_HEDGE_POLICY_HPP

#include <algorithm>
#include <cstdint>
#include <optional>

#include "base/error.hpp"
#include "routing/deadline_budget.hpp"
#include "routing/idempotent_request.hpp"
#include "routing/latency_estimator.hpp"
#include "routing/token_budget.hpp"

namespace ospreystair::routing
{

/// What is known about a sub-request when a hedge is considered.
struct hedge_context
{
    deadline_budget deadline;
    /// When the first attempt was sent.
    base::time_point sent_at{};
    std::uint32_t hedges_sent = 0;
    /// The service sheds load, or its upstreams do.
    bool is_shedding = false;
    /// Whether a replica that has not been tried yet is usable.
    bool has_other_replica = true;
};

/// Hedging of one service. Thread-safe.
template<base::clock_source Clock>
class hedge_policy
{
public:
    hedge_policy(const Clock& clock, std::uint32_t percent)
        : m_clock(clock), m_budget(clock, {.percent = percent}), m_latency_estimator(clock)
    {
    }

    /// Call once for each sub-request when its first attempt is sent.
    void record_request() { m_budget.record_request(); }

    /// Call once for each first attempt that was answered, timed out or was cancelled because a
    /// hedge answered first; not for one that was cancelled early because its caller left.
    void record_latency(base::duration latency) { m_latency_estimator.record(latency); }

    /// Returns the estimated 95th percentile of the latency; empty until there are enough samples.
    std::optional<base::duration> latency_estimate() { return m_latency_estimator.estimate(); }

    /// Returns how long to wait from now before calling `try_hedge`; empty when no further hedge
    /// will be sent.
    std::optional<base::duration> next_delay(const idempotent_request& request,
                                             const hedge_context& context)
    {
        const std::optional<base::duration> percentile = m_latency_estimator.estimate();
        if (!percentile)
            return std::nullopt;
        const base::time_point now = m_clock.now();
        std::optional<base::time_point> hedge_time;
        if (context.hedges_sent == 0)
            hedge_time = context.sent_at + first_hedge_delay(*percentile);
        else if (context.hedges_sent == 1 &&
                 request.prefer() == configuration::preference::coverage)
            // The latest time at which a further attempt is still likely to be answered in time.
            hedge_time = context.deadline.end() - *percentile * 2;
        if (!hedge_time || *hedge_time + *percentile / 2 > context.deadline.end())
            return std::nullopt;
        return std::max(base::duration{0}, *hedge_time - now);
    }

    /// Decides whether to send a hedge and takes a token for it. Fails with `overloaded`,
    /// `unreachable` or `timeout`.
    bool try_hedge(const idempotent_request& request, const hedge_context& context,
                   base::error& reason)
    {
        if (context.is_shedding)
            return refuse(reason, base::error_kind::overloaded,
                          "the service sheds load; wait for the first attempt");
        if (!context.has_other_replica)
            return refuse(reason, base::error_kind::unreachable,
                          "no other replica is usable; wait for the first attempt");
        if (context.deadline.is_expired(m_clock.now()) ||
            context.hedges_sent >= max_hedges(request))
            return refuse(reason, base::error_kind::timeout,
                          "no time or attempt is left; answer with what has arrived");
        if (!m_budget.try_spend())
            return refuse(reason, base::error_kind::overloaded,
                          "the hedge budget is spent; wait for the first attempt");
        return true;
    }

private:
    static std::uint32_t max_hedges(const idempotent_request& request)
    {
        return request.prefer() == configuration::preference::coverage ? 2 : 1;
    }

    /// Returns the delay from the first attempt to the first hedge. With the 95th percentile alone,
    /// about 5% of the sub-requests would be hedged, which uses up a budget of 5%; which stragglers
    /// get a token would then be random. The delay therefore grows as the budget empties, so that
    /// the remaining tokens go to the slowest sub-requests. At most 1.3 times the percentile gives
    /// a lower 99th percentile in bench/routing_policy than at most 1 or 2 times.
    ///
    /// If more than 5% of the sub-requests are stragglers, the percentile is the latency of a
    /// straggler, and a hedge after it comes too late. A multiple of the median bounds the delay.
    base::duration first_hedge_delay(base::duration percentile)
    {
        const base::duration median = m_latency_estimator.median().value_or(percentile);
        const base::duration delay = std::min(percentile, median * max_delay_in_medians);
        const double scarcity = 1 - std::min(1.0, m_budget.fill_ratio() * 2);
        return delay +
               std::chrono::duration_cast<base::duration>(delay * scarcity * max_extra_delay);
    }

    static constexpr int max_delay_in_medians = 5;
    /// Extra delay with an empty budget, as a share of the delay.
    static constexpr double max_extra_delay = 0.3;

    static bool refuse(base::error& reason, base::error_kind kind, const char* message)
    {
        base::fail(reason, kind, message);
        return false;
    }

    const Clock& m_clock;
    token_budget<Clock> m_budget;
    latency_estimator<Clock> m_latency_estimator;
};

} // namespace ospreystair::routing

#endif
