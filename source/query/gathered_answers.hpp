// The answers of one query by shard, and its coverage.

#ifndef OSPREYSTAIR_QUERY_GATHERED_ANSWERS_HPP
#define OSPREYSTAIR_QUERY_GATHERED_ANSWERS_HPP

#include <cstddef>
#include <string>
#include <vector>

#include "query/sub_request.hpp"

namespace ospreystair::query
{

/// Collects at most one answer for each shard of the pinned list. Not thread-safe.
class gathered_answers
{
public:
    /// One shard's state.
    struct entry
    {
        std::string shard;
        bool is_answered = false;
        std::string answer;
        /// Why the shard is missing; the last failure seen.
        sub_result missing_reason = sub_result::timeout;
    };

    explicit gathered_answers(const std::vector<std::string>& shards);

    /// Stores the answer of a shard. Returns false and changes nothing when the shard already has
    /// one, so that a first attempt and its hedge are counted once.
    bool add_answer(std::size_t shard_index, std::string answer);
    /// Records why a shard has no answer yet.
    void add_failure(std::size_t shard_index, sub_result reason);

    std::size_t shard_count() const { return m_entries.size(); }
    std::size_t answered_count() const { return m_answered_count; }
    bool is_complete() const { return m_answered_count == m_entries.size(); }
    /// Returns whether any shard is missing for the given reason.
    bool is_missing_for(sub_result reason) const;
    const std::vector<entry>& entries() const { return m_entries; }

private:
    // One entry for each shard of the pinned list; its size never changes.
    std::vector<entry> m_entries;
    // The number of entries with is_answered.
    std::size_t m_answered_count = 0;
};

} // namespace ospreystair::query

#endif
