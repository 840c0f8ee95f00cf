// Decides how carefully a request is sent that may crash the replicas which run it.
//
// Load pattern: a query crashes a replica of each shard at about the same time, and hedges and
// retries of its parts would take it to all others.

#ifndef OSPREYSTAIR_FORWARDING_CRASH_CAUTION_HPP
#define OSPREYSTAIR_FORWARDING_CRASH_CAUTION_HPP

#include <algorithm>
#include <utility>

#include "base/clock.hpp"
#include "forwarding/attempt.hpp"

namespace ospreystair::forwarding
{

/// What the attempts of one request have shown. Not thread-safe.
class crash_caution
{
public:
    /// `probe_interval` is the time between the hedges of a query that no replica has answered.
    crash_caution(bool is_gather, base::duration probe_interval, base::time_point now)
        : m_is_gather(is_gather), m_probe_interval(probe_interval),
          m_next_probe_at(now + probe_interval)
    {
    }

    /// Sets whether replicas crashed under earlier requests with the same content.
    void set_suspected(bool is_suspected) { m_is_suspected = is_suspected; }

    void record(const attempt_result& result, base::time_point now)
    {
        m_has_reply = m_has_reply || shows_execution(result);
        if (!result.has_crashed)
        {
            m_next_probe_at = std::min(m_next_probe_at, now);
            return;
        }
        // A request to one service is repeated at once: one crash is no reason to wait.
        m_may_repeat_at_once = !m_has_crashed && !m_is_suspected && !m_is_gather;
        m_has_crashed = true;
    }
    void record_hedge(base::time_point now) { m_next_probe_at = now + m_probe_interval; }

    /// Whether replicas have crashed under requests with this content and none has answered. One
    /// attempt at a time is sent then, by one request at a time.
    bool is_needed() const { return !m_has_reply && (m_is_suspected || m_has_crashed); }
    /// Whether a replica has run this request and answered.
    bool has_reply() const { return m_has_reply; }
    /// Whether a replica has crashed under this request and none has answered.
    bool has_only_crashed() const { return m_has_crashed && !m_has_reply; }

    /// Whether the next attempt may be sent although an outage of several replicas may last; true
    /// once.
    bool take_repeat_at_once() { return std::exchange(m_may_repeat_at_once, false); }

    /// While no replica has answered any part of a query, the query itself may be the cause, and
    /// hedges of all parts would take it to all other replicas. One at a time tells whether they
    /// answer.
    bool may_hedge(bool has_one_part, base::time_point now) const
    {
        return m_has_reply || (has_one_part && !is_needed()) || now >= m_next_probe_at;
    }
    base::time_point next_probe_at() const { return m_next_probe_at; }

private:
    const bool m_is_gather;
    const base::duration m_probe_interval;
    // When a query that no replica has answered may be hedged again.
    base::time_point m_next_probe_at;
    bool m_is_suspected = false;
    bool m_has_crashed = false;
    bool m_has_reply = false;
    bool m_may_repeat_at_once = false;
};

} // namespace ospreystair::forwarding

#endif
