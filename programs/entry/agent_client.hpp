// The entry's client of its agent: fetches the view and reports request records and drains. It runs
// on its own thread, so that a slow agent delays no request.

#ifndef OSPREYSTAIR_PROGRAMS_ENTRY_AGENT_CLIENT_HPP
#define OSPREYSTAIR_PROGRAMS_ENTRY_AGENT_CLIENT_HPP

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "observe/event_log.hpp"
#include "programs/entry/view_holder.hpp"
#include "query/record_store.hpp"
#include "rpc/rpc_client.hpp"

namespace ospreystair::entry
{

/// Polls one agent from start() until stop().
class agent_client
{
public:
    using view_function = std::function<void(std::shared_ptr<const configuration::view>)>;

    agent_client(std::string agent_address, std::chrono::milliseconds interval, view_holder& views,
                 query::record_store& records, observe::event_log& log);
    ~agent_client();

    /// Starts the thread, which calls `on_view` when it has adopted a view and, for time-dependent
    /// limits, about once a second.
    void start(view_function on_view);
    /// Reports pending records and drains in at most one attempt, and ends the thread.
    void stop();

private:
    void run();
    void fetch_view();
    void send_report();
    std::string call(const std::string& method, const std::string& parameters);
    void record_reachability(bool is_reachable, const std::string& error_text);

    const std::string m_agent_address;
    const std::chrono::milliseconds m_interval;
    view_holder& m_views;
    query::record_store& m_records;
    observe::event_log& m_log;
    view_function m_on_view;
    rpc::rpc_client m_client;
    std::uint64_t m_revision = 0;
    bool m_is_reachable = true;
    std::thread m_thread;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    // Guarded by m_mutex.
    bool m_is_stopping = false;
};

} // namespace ospreystair::entry

#endif
