// Decides when the missing parts of a query are stragglers, which are late because of their
// replicas and not because of this VM.
//
// Guards against this failure: the replies to a query over many shards arrive one after the other,
// as fast as this VM's network link and processor allow (the parts of 90 shards take 40 ms on a
// link of 21 Mbit/s), and the slowest of many normal replies takes twice the median. Repeats of
// such parts cannot arrive sooner, and use up the budget that parts on paused, slow and silent
// replicas need.

#ifndef OSPREYSTAIR_FORWARDING_STRAGGLER_RULE_HPP
#define OSPREYSTAIR_FORWARDING_STRAGGLER_RULE_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "forwarding/replica.hpp"

namespace ospreystair::forwarding
{

/// For one query. Not thread-safe.
class straggler_rule
{
public:
    /// From this number of parts on a query is wide: the slowest normal replies take noticeably
    /// longer than the median. Missing parts count as stragglers when at most one in this many is
    /// missing.
    static constexpr std::size_t wide_query_parts = 8;

    straggler_rule(base::time_point started_at, const latency_baseline& baseline,
                   std::chrono::milliseconds objective)
        : m_started_at(started_at), m_last_reply_at(started_at), m_baseline(baseline),
          m_objective(objective)
    {
    }

    /// Records that a reply has arrived or an attempt has failed.
    void record_completion(base::time_point now) { m_last_reply_at = now; }

    /// How long one of `part_count` parts may take before it may be hedged.
    base::duration hedge_delay(std::size_t part_count) const
    {
        return part_count >= wide_query_parts ? 5 * m_baseline.median / 4
                                              : m_baseline.overdue_after;
    }

    /// When the `open_parts` missing ones of `part_count` parts count as stragglers if no reply
    /// arrives before.
    base::time_point straggler_deadline(std::size_t open_parts, std::size_t part_count) const
    {
        if (part_count < wide_query_parts)
            return open_parts <= 1 ? m_started_at : m_last_reply_at + m_baseline.median / 2;
        // Before half of the parts have arrived, a slow part cannot be told from a slow VM.
        if (2 * open_parts > part_count)
            return m_last_reply_at + m_baseline.overdue_after;
        const std::size_t max_stragglers = part_count / wide_query_parts;
        const base::time_point gap_end =
            m_last_reply_at + base::duration(m_objective) * std::max(open_parts, max_stragglers) /
                                  (max_gap_divisor * part_count);
        return open_parts <= max_stragglers
                   ? std::min(gap_end, m_started_at + max_stream_medians * m_baseline.median)
                   : gap_end;
    }

private:
    // Replies with shorter gaps between them belong to one stream. The limit is a quarter of the
    // objective when all parts are missing, and falls in proportion to the missing parts: 4 ms of
    // 120 ms for the last ones, about ten times the time of one part on the slowest links.
    static constexpr std::size_t max_gap_divisor = 4;
    // Duration of the stream in median latencies: the slowest of some hundred normal replies takes
    // twice the median. Later replies of slow replicas must not delay the repeats of other parts.
    static constexpr int max_stream_medians = 2;

    const base::time_point m_started_at;
    base::time_point m_last_reply_at;
    const latency_baseline m_baseline;
    const std::chrono::milliseconds m_objective;
};

} // namespace ospreystair::forwarding

#endif
