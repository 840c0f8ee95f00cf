// The JSON-RPC method `execute`: checks the operator's credential and runs a command.

#ifndef OSPREYSTAIR_PROGRAMS_AGENT_COMMAND_SERVICE_HPP
#define OSPREYSTAIR_PROGRAMS_AGENT_COMMAND_SERVICE_HPP

#include <functional>
#include <optional>
#include <string>

#include <json/json.h>

#include "agent_state.hpp"
#include "base/error.hpp"
#include "base/identifier.hpp"
#include "configuration/command_executor.hpp"
#include "http/asio.hpp"
#include "live_source.hpp"
#include "objects/http_object_store.hpp"
#include "observe/event_log.hpp"

namespace ospreystair::agent
{

/// Thread-safe.
class command_service
{
public:
    /// `refresh` is called after each command, so that this agent reads the result from the
    /// platform; it must not block. All references must outlive the service.
    command_service(http::asio::io_context& context, objects::http_object_store& store,
                    live_source& live, std::string credential, agent_state& state,
                    observe::event_log& events, std::function<void()> refresh);

    /// Blocks until the command ends. Must not be called on a network thread.
    std::optional<Json::Value> execute(const Json::Value& parameters, base::error& reason);

private:
    std::optional<Json::Value> execute_live(const std::string& command, base::error& reason);

    http::asio::io_context& m_context;
    live_source& m_live;
    const std::string m_credential;
    agent_state& m_state;
    observe::event_log& m_events;
    const std::function<void()> m_refresh;
    base::identifier_factory m_tokens;
    configuration::command_executor<objects::http_object_store> m_executor;
};

} // namespace ospreystair::agent

#endif
