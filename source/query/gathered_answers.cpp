// Keeps the first answer of each shard.

#include "query/gathered_answers.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace ospreystair::query
{

gathered_answers::gathered_answers(const std::vector<std::string>& shards)
{
    m_entries.reserve(shards.size());
    for (const std::string& name : shards)
        m_entries.push_back({name, false, {}, sub_result::timeout});
}

bool gathered_answers::add_answer(std::size_t shard_index, std::string answer)
{
    assert(shard_index < m_entries.size());
    entry& item = m_entries[shard_index];
    if (item.is_answered)
        return false;
    item.is_answered = true;
    item.answer = std::move(answer);
    ++m_answered_count;
    assert(m_answered_count <= m_entries.size());
    return true;
}

void gathered_answers::add_failure(std::size_t shard_index, sub_result reason)
{
    assert(shard_index < m_entries.size());
    entry& item = m_entries[shard_index];
    if (!item.is_answered && reason != sub_result::cancelled)
        item.missing_reason = reason;
}

bool gathered_answers::is_missing_for(sub_result reason) const
{
    return std::any_of(m_entries.begin(), m_entries.end(),
                       [reason](const entry& item)
                       { return !item.is_answered && item.missing_reason == reason; });
}

} // namespace ospreystair::query
