// Changes that wait to be sent along with datagrams, each a limited number of times.

#ifndef OSPREYSTAIR_MEMBERSHIP_BROADCAST_QUEUE_HPP
#define OSPREYSTAIR_MEMBERSHIP_BROADCAST_QUEUE_HPP

#include <cstddef>
#include <string>
#include <vector>

#include "protocol/datagram.hpp"

namespace ospreystair::membership
{

/// A newer change of the same member or register replaces the one in the queue, so that the length
/// is bounded by the number of members and registers. Not thread-safe.
class broadcast_queue
{
public:
    /// Registers with a longer value are only announced; receivers fetch them by JSON-RPC. Leaves
    /// room for other changes in the same datagram.
    static constexpr std::size_t max_inline_value_bytes = 512;

    /// Queues a record to be sent `limit` times.
    void add(const protocol::member_record& record, std::size_t limit);
    void add(const protocol::register_item& item, std::size_t limit);

    /// Appends queued changes to `message` while they fit into `budget` bytes, those sent least
    /// often first, and counts them as sent. Returns the bytes that are left.
    std::size_t fill(protocol::datagram& message, std::size_t budget);

    std::size_t size() const { return m_changes.size(); }

private:
    struct queued_change
    {
        // The record if its vm is not empty, else the register.
        protocol::member_record record;
        protocol::register_item item;
        std::size_t bytes = 0;
        std::size_t sent = 0;
        std::size_t limit = 0;
    };

    void replace(queued_change added);

    std::vector<queued_change> m_changes;
};

/// Returns the register as it is sent: without its value if that is empty or too long.
protocol::register_item to_wire(protocol::register_item item);

} // namespace ospreystair::membership

#endif
