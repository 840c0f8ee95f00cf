// Keeps the records of recent requests in memory, and those that are still to be stored durably.

#ifndef OSPREYSTAIR_QUERY_RECORD_STORE_HPP
#define OSPREYSTAIR_QUERY_RECORD_STORE_HPP

#include <array>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "query/request_record.hpp"

namespace ospreystair::query
{

/// Thread-safe. Recent records are striped by request id, with one lock per stripe.
class record_store
{
public:
    static constexpr std::size_t recent_capacity = 4096;
    static constexpr std::size_t pending_capacity = 4096;

    void add(request_record record);
    std::optional<request_record> find(const std::string& request_id) const;
    /// Returns the newest records, at most `limit`, in no particular order.
    std::vector<std::shared_ptr<const request_record>> recent(std::size_t limit) const;

    /// Removes and returns the durable records that are still to be stored.
    std::vector<std::shared_ptr<const request_record>> take_pending();
    /// Puts back records that could not be stored.
    void return_pending(std::vector<std::shared_ptr<const request_record>> records);
    /// Returns how many durable records were dropped because too many were pending.
    std::size_t dropped_count() const;

private:
    static constexpr std::size_t stripe_count = 8;

    struct stripe
    {
        mutable std::mutex mutex;
        // Guarded by mutex. `order` and `records` hold the same ids, the oldest first in `order`.
        std::deque<std::string> order;
        std::unordered_map<std::string, std::shared_ptr<const request_record>> records;
    };

    stripe& stripe_of(const std::string& request_id);
    const stripe& stripe_of(const std::string& request_id) const;

    std::array<stripe, stripe_count> m_stripes;
    mutable std::mutex m_pending_mutex;
    // Guarded by m_pending_mutex. At most pending_capacity records.
    std::deque<std::shared_ptr<const request_record>> m_pending;
    std::size_t m_dropped_count = 0;
};

} // namespace ospreystair::query

#endif
