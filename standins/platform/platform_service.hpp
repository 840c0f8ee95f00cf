// HTTP interface of the platform stand-in, with faults that tests switch on by POST /control.

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

/// The switched-on faults. The members of the JSON body of POST /control carry the same names.
struct fault_settings
{
    outage_mode outage = outage_mode::none;   ///< "none", "fail" or "hang"
    std::chrono::milliseconds latency{0};     ///< latency_ms: added before a call is applied
    std::size_t lose_answers = 0;             ///< writes that are applied without an answer
    std::string lose_prefix;                  ///< only for keys with this prefix
    bool loses_with_error = false;            ///< lose_how "error": 500 instead of silence
    bool has_silent_watches = false;          ///< silent_watches: no change is reported
    std::chrono::milliseconds vm_list_lag{0}; ///< vm_list_lag_ms
    std::size_t calls_per_second = 0;         ///< 0: no limit; beyond it, 429
};

/// Serves the platform's interface from memory. Runs in an io_context of one thread, which all its
/// state relies on instead of locks. Must outlive the server that calls it.
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
    bool is_over_rate();
    bool takes_answer(const std::string& key);
    void wake_watches(const std::string& key);
    http::awaitable<void> wait_until_abandoned(std::shared_ptr<http::exchange_context> context);

    object_table m_table;
    fault_settings m_faults;
    // Every list since the start, oldest first; the lag chooses among them.
    std::deque<vm_list> m_vm_lists;
    std::map<std::string, std::uint64_t> m_call_counts;
    std::uint64_t m_applied_writes = 0;
    std::uint64_t m_waiting_watches = 0;
    std::multimap<std::string, http::asio::steady_timer*> m_watch_timers;
    clock::time_point m_rate_window;
    std::size_t m_calls_in_window = 0;
};

} // namespace ospreystair::standins

#endif
