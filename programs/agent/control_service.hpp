// Serves the control port: JSON-RPC methods, and HTTP pages for operators.

#ifndef OSPREYSTAIR_PROGRAMS_AGENT_CONTROL_SERVICE_HPP
#define OSPREYSTAIR_PROGRAMS_AGENT_CONTROL_SERVICE_HPP

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/thread_pool.hpp>

#include "agent_state.hpp"
#include "http/server.hpp"
#include "observe/event_log.hpp"
#include "observe/metrics.hpp"
#include "rpc/rpc_server.hpp"

namespace ospreystair::agent
{

/// Answers requests to the control port. Thread-safe once all methods are added.
class control_service
{
public:
    control_service(agent_state& state, observe::event_log& events, observe::metrics& metrics);

    /// Adds a JSON-RPC method. Its results get the members `protocol` and `stamp`; calls with a
    /// higher protocol version fail.
    void add_method(const std::string& name, rpc::method_function method);

    http::awaitable<http::response> answer(const http::request& message);

    /// Makes `/ready` answer 503.
    void set_stopping() { m_is_stopping.store(true); }
    /// Waits for the methods that are running.
    void join();

private:
    http::awaitable<http::response> answer_rpc(std::string text);

    agent_state& m_state;
    observe::event_log& m_events;
    observe::metrics& m_metrics;
    rpc::rpc_server m_server;
    // Methods run here because they may block the network threads. Commands have their own
    // thread: they wait for the platform, and must not delay `view`, which the entry polls every
    // 100 ms.
    http::asio::thread_pool m_workers{2};
    http::asio::thread_pool m_command_worker{1};
    // Inspections wait for the entry and must not delay `view` either.
    http::asio::thread_pool m_inspection_worker{2};
    std::atomic<bool> m_is_stopping{false};
};

} // namespace ospreystair::agent

#endif
