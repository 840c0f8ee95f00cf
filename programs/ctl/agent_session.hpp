// Sends operators' commands to agents by JSON-RPC.
#ifndef OSPREYSTAIR_PROGRAMS_CTL_AGENT_SESSION_HPP
#define OSPREYSTAIR_PROGRAMS_CTL_AGENT_SESSION_HPP

#include <optional>
#include <string>

#include <json/json.h>

#include "base/error.hpp"
#include "ctl_settings.hpp"
#include "observe/hybrid_clock.hpp"

namespace ospreystair::ctl
{

/// Executes commands through the configured agents.
class agent_session
{
public:
    explicit agent_session(const ctl_settings& client_settings) : m_settings(client_settings) {}

    /// Executes one command and returns its output. A read-only command is sent to the next agent
    /// when one does not answer; a change is sent to one agent only, because an agent that does not
    /// answer may have executed it. Fails with the agent's reason, unreachable, outcome_unknown for
    /// a change without an answer, or timeout for a wait.
    std::optional<Json::Value> execute(const std::string& command, base::error& reason);

private:
    std::optional<Json::Value> send(const std::string& command, bool is_read_only,
                                    base::error& reason);
    std::optional<Json::Value> call(const settings::socket_address& agent,
                                    const std::string& command, bool is_read_only,
                                    base::error& reason);
    std::optional<Json::Value> wait_for_version(const std::string& command, base::error& reason);

    const ctl_settings& m_settings;
    observe::hybrid_clock m_clock;
};

} // namespace ospreystair::ctl

#endif
