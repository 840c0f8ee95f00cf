// Creates, starts and stops the components of the agent.

#ifndef OSPREYSTAIR_PROGRAMS_AGENT_AGENT_PROCESS_HPP
#define OSPREYSTAIR_PROGRAMS_AGENT_AGENT_PROCESS_HPP

#include <memory>
#include <optional>

#include "agent_settings.hpp"
#include "agent_state.hpp"
#include "base/error.hpp"
#include "command_service.hpp"
#include "control_service.hpp"
#include "gossip_service.hpp"
#include "http/server.hpp"
#include "live_source.hpp"
#include "peer_exchange.hpp"
#include "platform_follower.hpp"
#include "record_writer.hpp"

namespace ospreystair::agent
{

class agent_process
{
public:
    /// Binds the control port for TCP and UDP. Fails with address_in_use or invalid_settings.
    static std::optional<std::unique_ptr<agent_process>> create(const agent_settings& settings,
                                                                base::error& reason);

    /// Runs until SIGTERM or SIGINT and the graceful stop after it. Further signals have no effect.
    void run();

private:
    explicit agent_process(const agent_settings& settings);

    bool open(base::error& reason);
    void add_methods();
    // Answers the method `report`: publishes the reported drains and queues the records.
    std::optional<Json::Value> handle_report(const Json::Value& parameters);
    void wait_for_signal();
    http::awaitable<void> stop();
    void log_stopped(bool is_flushed);

    const agent_settings m_settings;
    observe::event_log m_events;
    observe::metrics m_metrics;
    agent_state m_state;
    http::asio::io_context m_context;
    http::asio::signal_set m_signals;
    bool m_is_stopping = false;
    // Set by open(), never null afterwards.
    std::unique_ptr<objects::http_object_store> m_store;
    std::unique_ptr<gossip_service> m_gossip;
    std::unique_ptr<peer_exchange> m_peers;
    std::unique_ptr<platform_follower> m_follower;
    std::unique_ptr<record_writer> m_records;
    std::unique_ptr<live_source> m_live;
    std::unique_ptr<command_service> m_commands;
    control_service m_control;
    std::shared_ptr<http::server> m_server;
};

} // namespace ospreystair::agent

#endif
