// Counts of what a replica received and executed. Tests check the guarantees of the tier with them.

#ifndef OSPREYSTAIR_STANDINS_UPSTREAM_COUNTS_HPP
#define OSPREYSTAIR_STANDINS_UPSTREAM_COUNTS_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <unordered_map>

#include <json/json.h>

namespace ospreystair::standin_upstream
{

/// A map that removes its oldest keys beyond a limit and counts the removed ones.
template<class Value>
class bounded_map
{
public:
    explicit bounded_map(std::size_t limit) : m_limit(limit) {}

    /// Returns the value of `key`; inserts a default value if absent. Call only with a limit above
    /// 0.
    Value& at(const std::string& key)
    {
        const auto [position, is_new] = m_values.try_emplace(key);
        if (is_new)
        {
            m_order.push_back(key);
            if (m_order.size() > m_limit)
            {
                m_values.erase(m_order.front());
                m_order.pop_front();
                ++m_forgotten;
            }
        }
        return m_values.at(key);
    }

    const std::unordered_map<std::string, Value>& values() const { return m_values; }
    std::uint64_t forgotten() const { return m_forgotten; }

private:
    std::size_t m_limit;
    std::uint64_t m_forgotten = 0;
    std::unordered_map<std::string, Value> m_values;
    // Keys of m_values, oldest first.
    std::deque<std::string> m_order;
};

/// Counts of one replica. Not thread-safe.
class counts
{
public:
    /// Keeps at most `record_limit` keys and request ids; 0, used in benchmarks, keeps none.
    explicit counts(std::size_t record_limit);

    void add_execution(const std::string& idempotency_key, const std::string& request_id);
    void add_answer(const std::string& request_id, std::uint64_t version);
    Json::Value to_json() const;

    std::uint64_t requests = 0;
    std::uint64_t searches_answered = 0;
    std::uint64_t commands_executed = 0;
    std::uint64_t queued = 0;
    std::uint64_t refused = 0;
    std::uint64_t expired = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t faults = 0;
    std::uint64_t version_not_held = 0;
    std::uint64_t shard_not_here = 0;
    std::uint64_t connections_opened = 0;
    std::uint64_t highest_connections = 0;
    std::uint64_t highest_in_flight = 0;
    std::uint64_t slot_violations = 0;
    std::uint64_t connection_violations = 0;
    std::uint64_t requests_while_draining = 0;
    /// Time from the start of draining to the arrival of the newest request; -1 if there was none.
    std::int64_t last_request_after_drain_ms = -1;
    /// The same for the first request after the start of draining: its reply is the first that
    /// tells the caller of the drain.
    std::int64_t first_request_after_drain_ms = -1;

private:
    std::size_t m_record_limit;
    bounded_map<std::uint64_t> m_executions_by_key;
    bounded_map<std::uint64_t> m_executions_by_request;
    bounded_map<std::set<std::uint64_t>> m_versions_by_request;
};

} // namespace ospreystair::standin_upstream

#endif
