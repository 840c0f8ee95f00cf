// Decides whether a failed sub-request is retried at another replica.

#ifndef OSPREYSTAIR_ROUTING_RETRY_POLICY_HPP
#define OSPREYSTAIR_ROUTING_RETRY_POLICY_HPP

#include <cstdint>

#include "base/error.hpp"
#include "routing/deadline_budget.hpp"
#include "routing/idempotent_request.hpp"
#include "routing/token_budget.hpp"

namespace ospreystair::routing
{

/// Returns whether another replica may succeed after one failed with `kind`.
constexpr bool is_retryable(base::error_kind kind)
{
    switch (kind)
    {
    case base::error_kind::unreachable:
    case base::error_kind::timeout:
    case base::error_kind::overloaded:
    case base::error_kind::draining:
    case base::error_kind::version_not_held:
    case base::error_kind::not_found:
    case base::error_kind::protocol:
    case base::error_kind::internal:
        return true;
    default:
        return false;
    }
}

/// Retries of one service. Thread-safe.
template<base::clock_source Clock>
class retry_policy
{
public:
    retry_policy(const Clock& clock, std::uint32_t percent)
        : m_clock(clock), m_budget(clock, {.percent = percent})
    {
    }

    /// Call once for each sub-request when its first attempt is sent.
    void record_request() { m_budget.record_request(); }

    /// Decides whether to retry and takes a token for it. `expected_latency` is the usual latency
    /// of an attempt. Fails with `failure` itself when a retry can't help, otherwise with
    /// `timeout`, `unreachable` or `overloaded`.
    bool try_retry(const idempotent_request& /*request*/, base::error_kind failure,
                   const deadline_budget& deadline, base::duration expected_latency,
                   bool has_other_replica, base::error& reason)
    {
        if (!is_retryable(failure))
            return refuse(reason, failure, "another replica would give the same result");
        if (!has_other_replica)
            return refuse(reason, base::error_kind::unreachable,
                          "no other replica is usable; check the shard's replicas");
        const base::duration remaining = deadline.remaining(m_clock.now());
        if (remaining <= min_retry_time || remaining < expected_latency)
            return refuse(reason, base::error_kind::timeout,
                          "too little time is left for a retry; use a longer deadline");
        if (!m_budget.try_spend())
            return refuse(reason, base::error_kind::overloaded,
                          "the retry budget is spent; come back later");
        return true;
    }

private:
    static constexpr std::chrono::milliseconds min_retry_time{1};

    static bool refuse(base::error& reason, base::error_kind kind, const char* message)
    {
        base::fail(reason, kind, message);
        return false;
    }

    const Clock& m_clock;
    token_budget<Clock> m_budget;
};

} // namespace ospreystair::routing

#endif
