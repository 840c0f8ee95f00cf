// Bounded stores of recent and of pending request records.

#include "query/record_store.hpp"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace ospreystair::query
{

record_store::stripe& record_store::stripe_of(const std::string& request_id)
{
    return m_stripes[std::hash<std::string>{}(request_id) % stripe_count];
}

const record_store::stripe& record_store::stripe_of(const std::string& request_id) const
{
    return m_stripes[std::hash<std::string>{}(request_id) % stripe_count];
}

void record_store::add(request_record record)
{
    const auto shared_record = std::make_shared<const request_record>(std::move(record));
    {
        stripe& target = stripe_of(shared_record->request_id);
        const std::scoped_lock lock(target.mutex);
        target.order.push_back(shared_record->request_id);
        target.records[shared_record->request_id] = shared_record;
        if (target.order.size() > recent_capacity / stripe_count)
        {
            target.records.erase(target.order.front());
            target.order.pop_front();
        }
    }
    if (!shared_record->is_durable())
        return;
    const std::scoped_lock lock(m_pending_mutex);
    m_pending.push_back(shared_record);
    if (m_pending.size() > pending_capacity)
    {
        m_pending.pop_front();
        ++m_dropped_count;
    }
}

std::optional<request_record> record_store::find(const std::string& request_id) const
{
    const stripe& target = stripe_of(request_id);
    const std::scoped_lock lock(target.mutex);
    const auto position = target.records.find(request_id);
    if (position == target.records.end())
        return std::nullopt;
    return *position->second;
}

std::vector<std::shared_ptr<const request_record>> record_store::recent(std::size_t limit) const
{
    std::vector<std::shared_ptr<const request_record>> result;
    for (const stripe& item : m_stripes)
    {
        const std::scoped_lock lock(item.mutex);
        const std::size_t count = std::min(limit / stripe_count + 1, item.order.size());
        for (auto id = item.order.rbegin(); id != item.order.rbegin() + std::ptrdiff_t(count); ++id)
            result.push_back(item.records.at(*id));
    }
    if (result.size() > limit)
        result.resize(limit);
    return result;
}

std::vector<std::shared_ptr<const request_record>> record_store::take_pending()
{
    const std::scoped_lock lock(m_pending_mutex);
    std::vector<std::shared_ptr<const request_record>> result(
        std::make_move_iterator(m_pending.begin()), std::make_move_iterator(m_pending.end()));
    m_pending.clear();
    return result;
}

void record_store::return_pending(std::vector<std::shared_ptr<const request_record>> records)
{
    const std::scoped_lock lock(m_pending_mutex);
    m_pending.insert(m_pending.begin(), std::make_move_iterator(records.begin()),
                     std::make_move_iterator(records.end()));
    while (m_pending.size() > pending_capacity)
    {
        m_pending.pop_front();
        ++m_dropped_count;
    }
}

std::size_t record_store::dropped_count() const
{
    const std::scoped_lock lock(m_pending_mutex);
    return m_dropped_count;
}

} // namespace ospreystair::query
