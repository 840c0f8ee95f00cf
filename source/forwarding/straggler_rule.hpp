// Tells when the parts of a query that are still missing are late by themselves.
//
// Load pattern: the replies to a query over many shards come in one after the other, at the pace of
// this VM's link and processor (the parts of 90 shards take 40 ms on a link of 21 Mbit/s), and the
// slowest of many ordinary replies takes twice the usual time. Repeats of such parts cannot arrive
// sooner; they use up the budget that parts of paused, slow and silent replicas need.

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
    /// From this many parts on, the slowest ones stand out by themselves, and missing parts count
    /// as stragglers when they are one in this many.
    static constexpr std::size_t many_parts = 8;

    straggler_rule(base::time_point started_at, const usual_times& usual,
                   std::chrono::milliseconds objective)
        : m_started_at(started_at), m_last_reply_at(started_at), m_usual(usual),
          m_objective(objective)
    {
    }

    /// A reply has come, or an attempt has failed.
    void record_end(base::time_point now) { m_last_reply_at = now; }

    /// How long one of `parts` parts may take before a second replica may be asked for it.
    base::duration patience(std::size_t parts) const
    {
        return parts >= many_parts ? 5 * m_usual.typical / 4 : m_usual.overdue;
    }

    /// From when on the `open` ones of `parts` parts count as late by themselves if nothing comes
    /// in until then.
    base::time_point due(std::size_t open, std::size_t parts) const
    {
        if (parts < many_parts)
            return open <= 1 ? m_started_at : m_last_reply_at + m_usual.typical / 2;
        // While less than half has come, nothing tells a slow part from a slow VM.
        if (2 * open > parts)
            return m_last_reply_at + m_usual.overdue;
        const std::size_t few = parts / many_parts;
        const base::time_point end = m_last_reply_at + base::duration(m_objective) *
                                                           std::max(open, few) /
                                                           (whole_gap_part * parts);
        return open <= few ? std::min(end, m_started_at + longest_stream * m_usual.typical) : end;
    }

private:
    // Replies that follow each other more closely than this still come in a stream: a quarter of
    // the objective for all parts, and as much less as fewer are missing; 4 ms of 120 ms for the
    // last ones, some ten times the time of one part on the slowest links.
    static constexpr std::size_t whole_gap_part = 4;
    // The slowest of some hundred ordinary replies takes twice the usual time. Replies of slow
    // replicas that trickle in must not postpone the repeats of the others further.
    static constexpr int longest_stream = 2;

    const base::time_point m_started_at;
    base::time_point m_last_reply_at;
    const usual_times m_usual;
    const std::chrono::milliseconds m_objective;
};

} // namespace ospreystair::forwarding

#endif
