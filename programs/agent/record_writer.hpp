// Writes request records to the platform, several in one object.

#ifndef OSPREYSTAIR_PROGRAMS_AGENT_RECORD_WRITER_HPP
#define OSPREYSTAIR_PROGRAMS_AGENT_RECORD_WRITER_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>

#include <json/json.h>

#include "base/identifier.hpp"
#include "http/asio.hpp"
#include "objects/http_object_store.hpp"
#include "observe/event_log.hpp"
#include "observe/metrics.hpp"

namespace ospreystair::agent
{

/// Keeps records during outages of the platform, up to a bound. Thread-safe.
class record_writer
{
public:
    /// Several minutes of records at 100 records/s; when it is exceeded, the oldest are dropped.
    static constexpr std::size_t max_pending_bytes = 16 << 20;
    /// Larger records are dropped.
    static constexpr std::size_t max_record_bytes = 16 << 10;
    /// Below the platform's limit of 1 MB, with room for the list's brackets and commas.
    static constexpr std::size_t max_batch_bytes = 900'000;

    record_writer(objects::http_object_store& store, const base::process_identity& identity,
                  observe::event_log& events, observe::metrics& metrics);

    /// Queues the records of a report for writing.
    void add(const Json::Value& records);

    /// Returns a record that is not yet written, or nothing if no such record has this id.
    std::optional<Json::Value> find_pending(const std::string& request_id);

    /// Writes a batch every 5 s if there are records: at most 82 writes/s with 410 nodes.
    http::awaitable<void> run();

    /// Writes pending records until `deadline`. Returns whether all of them were written.
    http::awaitable<bool> flush(std::chrono::steady_clock::time_point deadline);

private:
    // Moves pending records into m_batch if it is empty. Returns false while another write is in
    // progress.
    bool prepare_batch();
    http::awaitable<bool> write_batch(std::chrono::steady_clock::time_point deadline);

    void log_failure(const std::string& key, const base::error& reason);

    objects::http_object_store& m_store;
    const std::string m_prefix;
    observe::event_log& m_events;
    observe::counter& m_written;
    observe::counter& m_dropped;
    observe::gauge& m_pending_bytes_gauge;
    std::mutex m_mutex;
    // All below are guarded by m_mutex. m_pending_bytes is the sum of the sizes in m_pending.
    std::deque<std::string> m_pending;
    std::size_t m_pending_bytes = 0;
    // The object that is being written; kept until its write is known to have been applied.
    std::string m_batch;
    std::size_t m_batch_record_count = 0;
    std::uint64_t m_sequence = 1;
    bool m_is_writing = false;
};

} // namespace ospreystair::agent

#endif
