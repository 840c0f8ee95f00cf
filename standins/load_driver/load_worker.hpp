// One thread of the driver: sends its share of the schedule over its own connections.

#ifndef OSPREYSTAIR_STANDINS_LOAD_DRIVER_LOAD_WORKER_HPP
#define OSPREYSTAIR_STANDINS_LOAD_DRIVER_LOAD_WORKER_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "http/asio.hpp"
#include "standins/load_driver/answer_check.hpp"
#include "standins/load_driver/arrival_schedule.hpp"
#include "standins/load_driver/results.hpp"

namespace ospreystair::load_driver
{

/// Settings of a load run.
struct load_settings
{
    std::vector<http::tcp::endpoint> targets;
    request_kind kind = request_kind::query;
    std::string service;
    /// Sent with `search` only.
    std::string shard;
    /// Sent with `search` only.
    std::uint64_t index_version = 1;
    arrival_process arrivals = arrival_process::poisson;
    /// Requests a second over all workers.
    double rate = 0;
    std::chrono::milliseconds duration{0};
    /// Arrivals before this offset are sent but not counted.
    std::chrono::milliseconds warmup{0};
    std::chrono::milliseconds deadline{0};
    /// Maximum number of open connections of one worker.
    std::size_t connections = 1;
    std::size_t workers = 1;
    std::uint64_t seed = 1;
};

/// Call every member but stop() on the thread of the worker.
class load_worker
{
public:
    load_worker(const load_settings& settings, std::size_t index, base::time_point start);

    /// Sends until the schedule ends and every request has an outcome.
    void run();
    /// Ends the schedule early. May be called on any thread.
    void stop();
    const results& collected_results() const { return m_results; }

private:
    /// One scheduled request.
    struct arrival
    {
        base::time_point scheduled;
        std::uint64_t number = 0;
        bool is_counted = true;
    };
    struct worker_connection;

    http::awaitable<void> follow_schedule();
    http::awaitable<void> run_connection(std::shared_ptr<worker_connection> connection);
    http::awaitable<void> perform_request(worker_connection& connection);
    /// Reuses the open connection, or connects to the next target that accepts.
    http::awaitable<bool> ensure_connected(worker_connection& connection, base::time_point until);
    void dispatch_request(arrival item);
    bool take_pending(worker_connection& connection);
    void record_failure(const arrival& item, const char* kind);
    void finish_if_done();
    http::request make_request(const arrival& item, const std::string& body) const;

    const load_settings m_settings;
    const std::size_t m_index;
    const base::time_point m_start;
    const std::string m_target_path;
    // Differs between runs: a run must not reuse the idempotency keys of an earlier run with the
    // same seed.
    const std::string m_key_prefix;
    http::asio::io_context m_context{1};
    http::asio::steady_timer m_timer{m_context};
    arrival_schedule m_schedule;
    bool m_is_stopping = false;
    bool m_is_schedule_done = false;
    std::size_t m_next_target = 0;
    std::size_t m_connection_count = 0;
    // Requests that have no outcome yet.
    std::size_t m_open_requests = 0;
    std::deque<arrival> m_pending_arrivals;
    std::deque<std::shared_ptr<worker_connection>> m_idle_connections;
    results m_results;
};

} // namespace ospreystair::load_driver

#endif
