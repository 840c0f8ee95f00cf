// HTTP interface of the platform stand-in, with faults that tests enable through POST /control.

#ifndef OSPREYSTAIR_STANDINS_PLATFORM_PLATFORM_SERVICE_HPP
#define OSPREYSTAIR_STANDINS_PLATFORM_PLATFORM_SERVICE_HPP

#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include <json/json.h>

#include "http/server.hpp"
#include "standins/platform/object_table.hpp"

namespace ospreystair::standins
{

/// How calls fail while the platform is down.
enum class outage_mode
{
    none,
    fail, ///< Every call is answered with 503.
    hang  ///< No call is answered until the outage ends; then with 503.
};

/// The enabled faults. The comments give the member of the JSON body of POST /control where its
/// name differs.
struct fault_settings
{
    outage_mode outage = outage_mode::none;   ///< "none", "fail" or "hang"
    std::chrono::milliseconds latency{0};     ///< latency_ms: added before a call is applied
    std::size_t lose_answers = 0;             ///< number of writes to apply without an answer
    std::string lose_prefix;                  ///< lose_answers applies to keys with this prefix
    bool loses_with_error = false;            ///< lose_how "error": 500 instead of no answer
    bool has_silent_watches = false;          ///< silent_watches: watches report no change
    std::chrono::milliseconds vm_list_lag{0}; ///< vm_list_lag_ms: age from which a list is shown
    std::size_t calls_per_second = 0;         ///< further calls get 429; 0: no limit
};

/// Serves the platform's interface from memory. Runs in an io_context of one thread, so its state
/// needs no locks. Must outlive the server that calls it.
class platform_service
{
public:
    http::awaitable<http::response> answer(const http::request& message,
                                           std::shared_ptr<http::exchange_context> context);

private:
    using clock = std::chrono::steady_clock;

    struct vm_list
    {
        clock::time_point since;
        Json::Value vms;
    };

    http::awaitable<http::response> answer_call(const http::request& message,
                                                std::shared_ptr<http::exchange_context> context);
    http::awaitable<http::response> answer_object(const http::request& message, std::string key,
                                                  std::string query,
                                                  std::shared_ptr<http::exchange_context> context);
    http::awaitable<http::response> answer_watch(std::string key, std::uint64_t after_version,
                                                 std::chrono::milliseconds wait,
                                                 std::shared_ptr<http::exchange_context> context);
    http::awaitable<http::response> apply_change(const http::request& message, std::string key,
                                                 std::shared_ptr<http::exchange_context> context);
    http::response answer_list(const std::string& prefix) const;
    http::response answer_vms() const;
    http::response answer_counts() const;
    http::response answer_control(const std::string& body);
    bool apply_control(const Json::Value& settings);
    /// Counts a call; returns whether it exceeds calls_per_second.
    bool is_over_rate();
    /// Whether the answer to a write of `key` is to be lost; if so, decrements lose_answers.
    bool should_lose_answer(const std::string& key);
    void wake_watches(const std::string& key);
    http::awaitable<void>
    wait_until_peer_disconnects(std::shared_ptr<http::exchange_context> context);

    object_table m_table;
    fault_settings m_faults;
    // Every VM list set since the start, oldest first; the lag decides which one is shown.
    std::deque<vm_list> m_vm_list_history;
    std::map<std::string, std::uint64_t> m_call_counts;
    std::uint64_t m_applied_writes = 0;
    std::uint64_t m_waiting_watches = 0;
    std::multimap<std::string, http::asio::steady_timer*> m_watch_timers;
    clock::time_point m_rate_window_start;
    std::size_t m_calls_in_window = 0;
};

} // namespace ospreystair::standins

#endif
