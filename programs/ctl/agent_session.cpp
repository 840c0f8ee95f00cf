// Executes operators' commands through agents.

#include "agent_session.hpp"

#include <algorithm>
#include <thread>

#include <fmt/format.h>

#include "configuration/command.hpp"
#include "operators/agent_refusal.hpp"
#include "operators/selection.hpp"
#include "operators/version_wait.hpp"
#include "rpc/rpc_client.hpp"
#include "rpc/rpc_server.hpp"

namespace ospreystair::ctl
{

namespace
{

constexpr std::chrono::milliseconds poll_interval{200};
constexpr int protocol_version = 1;

// libjsonrpccpp reports CURLE_COULDNT_CONNECT (7) by this text only.
bool is_connection_refused(const std::string& text)
{
    return text.find("libcurl error: 7 ") != std::string::npos;
}

} // namespace

std::optional<Json::Value> agent_session::execute(const std::string& command, base::error& reason)
{
    if (operators::is_version_wait(command))
        return wait_for_version(command, reason);
    if (operators::is_live_inquiry(command))
    {
        if (!operators::parse_live_inquiry(command, reason))
            return std::nullopt;
        return send(command, true, reason);
    }
    const auto parsed = configuration::parse_command(command, reason);
    if (!parsed)
        return std::nullopt;
    return send(command, configuration::is_read_only(*parsed), reason);
}

std::optional<Json::Value> agent_session::send(const std::string& command, bool is_read_only,
                                               base::error& reason)
{
    for (const settings::socket_address& agent : m_settings.agents)
    {
        auto output = call(agent, command, is_read_only, reason);
        if (output || !is_read_only || reason.kind != base::error_kind::unreachable)
            return output;
    }
    return std::nullopt;
}

std::optional<Json::Value> agent_session::call(const settings::socket_address& agent,
                                               const std::string& command, bool is_read_only,
                                               base::error& reason)
{
    Json::Value parameters;
    parameters["command"] = command;
    parameters["credential"] = m_settings.credential;
    parameters["operator"] = m_settings.operator_name;
    parameters["protocol"] = protocol_version;
    parameters["stamp"] = m_clock.tick().to_text();
    rpc::rpc_client client(agent.to_text(), m_settings.timeout);
    std::string result;
    std::string error_text;
    const rpc::call_status status =
        client.call("execute", rpc::to_text(parameters), result, error_text);
    // Checked before the status, because the library interprets some error codes of earlier
    // releases as its own.
    if (const auto refusal = operators::read_refusal(client.refusal_kind(), error_text);
        refusal && status != rpc::call_status::answered)
    {
        reason = *refusal;
        return std::nullopt;
    }
    switch (status)
    {
    case rpc::call_status::answered:
        break;
    case rpc::call_status::refused:
        return base::fail(reason, base::error_kind::protocol,
                          fmt::format("agent {} refused the call: {}; check that it is of the same "
                                      "release",
                                      agent.to_text(), error_text));
    case rpc::call_status::unreachable:
        if (is_read_only || is_connection_refused(error_text))
            return base::fail(reason, base::error_kind::unreachable,
                              fmt::format("agent {} does not answer; nothing was changed, check "
                                          "that it runs or name another with --agent",
                                          agent.to_text()));
        [[fallthrough]];
    case rpc::call_status::malformed:
        return base::fail(
            reason, is_read_only ? base::error_kind::protocol : base::error_kind::outcome_unknown,
            fmt::format("agent {} gave no complete answer; see show history for "
                        "whether a change took effect before you repeat it",
                        agent.to_text()));
    }
    auto answer = rpc::parse_json(result, reason);
    if (!answer)
        return std::nullopt;
    if (answer->isObject() && answer->isMember("output"))
        return (*answer)["output"];
    return answer;
}

std::optional<Json::Value> agent_session::wait_for_version(const std::string& command,
                                                           base::error& reason)
{
    const auto version = operators::parse_version_wait(command, reason);
    if (!version)
        return std::nullopt;
    const auto deadline = std::chrono::steady_clock::now() + m_settings.wait_timeout;
    std::string last_state = "no agent answered";
    do
    {
        const auto output = send("show members", true, reason);
        if (output)
        {
            const auto lagging = operators::find_lagging_members(*output, *version, reason);
            if (!lagging)
                return std::nullopt;
            if (lagging->empty())
            {
                Json::Value line;
                line["title"] = "wait";
                line["lines"].append(
                    fmt::format("version {} is in force on all live members", *version));
                Json::Value result;
                result["results"].append(std::move(line));
                return result;
            }
            last_state = fmt::format("it is not in force on {}", fmt::join(*lagging, ", "));
        }
        else if (reason.kind != base::error_kind::unreachable)
            return std::nullopt;
        std::this_thread::sleep_for(poll_interval);
    } while (std::chrono::steady_clock::now() < deadline);
    return base::fail(reason, base::error_kind::timeout,
                      fmt::format("version {}: {}; see show members, and wait longer with "
                                  "--wait-timeout-ms",
                                  *version, last_state));
}

} // namespace ospreystair::ctl
