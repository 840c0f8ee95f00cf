// The records of recent requests in memory, and those that wait to be made durable.

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

/// Thread-safe; split into shards by request id, each under its own lock.
class record_store
{
public:
    static constexpr std::size_t recent_capacity = 4096;
    static constexpr std::size_t pending_capacity = 4096;

    void add(request_record record);
    std::optional<request_record> find(const std::string& request_id) const;
    /// Returns the newest records, at most `limit`, in no particular order.
    std::vector<std::shared_ptr<const request_record>> recent(std::size_t limit) const;

    /// Takes the durable records that have not been handed over yet.
    std::vector<std::shared_ptr<const request_record>> take_pending();
    /// Gives records back whose hand-over failed.
    void return_pending(std::vector<std::shared_ptr<const request_record>> records);
    /// Durable records that were dropped because too many were waiting.
    std::size_t dropped_count() const;

private:
    static constexpr std::size_t part_count = 8;

    struct part
    {
        mutable std::mutex mutex;
        // Guarded by mutex. `order` and `records` hold the same ids, the oldest first in `order`.
        std::deque<std::string> order;
        std::unordered_map<std::string, std::shared_ptr<const request_record>> records;
    };

    part& part_of(const std::string& request_id);
    const part& part_of(const std::string& request_id) const;

    std::array<part, part_count> m_parts;
    mutable std::mutex m_pending_mutex;
    // Guarded by m_pending_mutex. At most pending_capacity records.
    std::deque<std::shared_ptr<const request_record>> m_pending;
    std::size_t m_dropped_count = 0;
};

} // namespace ospreystair::query

#endif
