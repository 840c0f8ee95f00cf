// Decides when sub-requests of a query may be repeated that may have crashed its upstreams.
//
// Load pattern: a query crashes a replica of each shard at about the same time, and the repeats of
// its sub-requests would take it to all others.

#ifndef OSPREYSTAIR_QUERY_REPEAT_GUARD_HPP
#define OSPREYSTAIR_QUERY_REPEAT_GUARD_HPP

#include <cstddef>

#include "query/sub_request.hpp"
#include "routing/crash_ledger.hpp"

namespace ospreystair::query
{

/// What the attempts of one query have shown. While replicas were lost under it and none has
/// answered, one repeat at a time is sent, which tells the query from an outage of the replicas:
/// the next replica answers after an outage. Used on the query's strand.
class repeat_guard
{
public:
    void record_sent() { ++m_open_attempts; }

    void record_end(const sub_reply& reply)
    {
        --m_open_attempts;
        m_has_answer = m_has_answer || reply.result == sub_result::answered ||
                       reply.result == sub_result::failed;
        const bool is_lost = reply.result == sub_result::unreachable && !reply.is_unsent;
        if (!is_lost)
            return;
        ++m_lost_count;
        m_has_lost_repeat = m_has_lost_repeat || m_is_repeat_open;
        m_is_repeat_open = false;
    }

    /// Whether a repeat may be sent now. `record_repeat` must follow if one is.
    bool may_repeat() const { return !is_cautious() || (m_open_attempts == 0 && !is_condemned()); }
    void record_repeat() { m_is_repeat_open = is_cautious(); }

    /// Whether replicas were lost under the query, and under a repeat that was sent alone.
    bool is_condemned() const
    {
        return is_cautious() && m_has_lost_repeat &&
               m_lost_count >= routing::crash_ledger::min_crashes;
    }

private:
    bool is_cautious() const { return m_lost_count > 0 && !m_has_answer; }

    std::size_t m_open_attempts = 0;
    std::size_t m_lost_count = 0;
    bool m_has_answer = false;
    // Whether the open attempt is a repeat that was sent alone.
    bool m_is_repeat_open = false;
    bool m_has_lost_repeat = false;
};

} // namespace ospreystair::query

#endif
