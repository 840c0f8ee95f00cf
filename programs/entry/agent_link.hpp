// The entry's side of the conversation with its agent: asks for the view, hands over records and
// drains. It runs on a thread of its own, so that a slow agent holds up no request.

#ifndef OSPREYSTAIR_PROGRAMS_ENTRY_AGENT_LINK_HPP
#define OSPREYSTAIR_PROGRAMS_ENTRY_AGENT_LINK_HPP

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

/// Talks to one agent from start() until stop().
class agent_link
{
public:
    using view_function = std::function<void(std::shared_ptr<const configuration::view>)>;

    agent_link(std::string agent_address, std::chrono::milliseconds interval, view_holder& views,
               query::record_store& records, observe::event_log& log);
    ~agent_link();

    /// Starts the thread. `on_view` is called on it whenever a view was adopted.
    void start(view_function on_view);
    /// Hands over what is waiting, at most one try, and ends the thread.
    void stop();

private:
    void run();
    void ask_for_view();
    void hand_over();
    std::string call(const std::string& method, const std::string& parameters);
    void note_reachable(bool is_reachable, const std::string& why);

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
