// Queue of changes that are piggybacked on datagrams, each a limited number of times.

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
    /// A register with a longer value is announced without the value, which receivers fetch by
    /// JSON-RPC. Leaves room for other changes in the same datagram.
    static constexpr std::size_t max_inline_value_bytes = 512;

    /// Queues a change to be sent `send_limit` times.
    void add(const protocol::member_record& record, std::size_t send_limit);
    void add(const protocol::register_item& item, std::size_t send_limit);

    /// Appends queued changes to `message` while they fit into `budget` bytes, those sent least
    /// often first, and counts them as sent. Returns the bytes that are left.
    std::size_t fill(protocol::datagram& message, std::size_t budget);

    std::size_t size() const { return m_changes.size(); }

private:
    struct queued_change
    {
        // The change is `record` if its vm is not empty, otherwise `item`.
        protocol::member_record record;
        protocol::register_item item;
        std::size_t bytes = 0;
        std::size_t send_count = 0;
        std::size_t send_limit = 0;
    };

    void replace(queued_change new_change);

    std::vector<queued_change> m_changes;
};

/// Returns the register in the form that is sent: without its value if that is empty or too long.
protocol::register_item to_wire(protocol::register_item item);

} // namespace ospreystair::membership

#endif
