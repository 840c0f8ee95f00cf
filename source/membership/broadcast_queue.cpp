// Selects the changes that a datagram carries.

#include "membership/broadcast_queue.hpp"

#include <algorithm>
#include <utility>

#include "protocol/datagram_codec.hpp"

namespace ospreystair::membership
{

void broadcast_queue::add(const protocol::member_record& record, std::size_t send_limit)
{
    replace({record, {}, protocol::encoded_size(record), 0, send_limit});
}

void broadcast_queue::add(const protocol::register_item& item, std::size_t send_limit)
{
    protocol::register_item wire_item = to_wire(item);
    const std::size_t bytes = protocol::encoded_size(wire_item);
    replace({{}, std::move(wire_item), bytes, 0, send_limit});
}

std::size_t broadcast_queue::fill(protocol::datagram& message, std::size_t budget)
{
    std::stable_sort(m_changes.begin(), m_changes.end(),
                     [](const queued_change& left, const queued_change& right)
                     { return left.send_count < right.send_count; });
    for (queued_change& change : m_changes)
    {
        if (change.bytes > budget)
            continue;
        budget -= change.bytes;
        ++change.send_count;
        if (change.record.vm.empty())
            message.registers.push_back(change.item);
        else
            message.members.push_back(change.record);
    }
    std::erase_if(m_changes, [](const queued_change& change)
                  { return change.send_count >= change.send_limit; });
    return budget;
}

void broadcast_queue::replace(queued_change new_change)
{
    const auto position = std::find_if(m_changes.begin(), m_changes.end(),
                                       [&](const queued_change& change) {
                                           return change.record.vm == new_change.record.vm &&
                                                  change.item.key == new_change.item.key;
                                       });
    if (position == m_changes.end())
        m_changes.push_back(std::move(new_change));
    else
        *position = std::move(new_change);
}

protocol::register_item to_wire(protocol::register_item item)
{
    if (item.value &&
        (item.value->empty() || item.value->size() > broadcast_queue::max_inline_value_bytes))
        item.value.reset();
    return item;
}

} // namespace ospreystair::membership
