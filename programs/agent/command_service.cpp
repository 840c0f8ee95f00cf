// Runs operators' commands within a time limit.

#include "command_service.hpp"

#include <chrono>
#include <future>
#include <memory>
#include <utility>

#include <boost/asio/use_future.hpp>
#include <fmt/format.h>

#include "configuration/credential.hpp"
#include "operators/live_inquiry_executor.hpp"

namespace ospreystair::agent
{

namespace
{

// Allows two attempts of the executor of up to 2 s each. A graceful stop waits for a
// running command.
constexpr std::chrono::seconds command_timeout{5};
// Additional time for the executor to notice that its deadline has passed.
constexpr std::chrono::seconds command_grace{1};

// Shared with the coroutine, which may outlive the waiting thread if that gives up.
struct command_outcome
{
    std::optional<Json::Value> output;
    base::error reason;
};

} // namespace

command_service::command_service(http::asio::io_context& context, objects::http_object_store& store,
                                 live_source& live, std::string credential, agent_state& state,
                                 observe::event_log& events, std::function<void()> refresh)
    : m_context(context), m_live(live), m_credential(std::move(credential)), m_state(state),
      m_events(events), m_refresh(std::move(refresh)), m_tokens(events.identity()),
      m_executor(store, m_tokens)
{
}

std::optional<Json::Value> command_service::execute(const Json::Value& parameters,
                                                    base::error& reason)
{
    if (!configuration::is_credential_valid(m_credential, parameters["credential"].asString()))
    {
        m_events.write(observe::log_level::warning, "command_refused", "",
                       {{"reason", "credential"}});
        return base::fail(reason, base::error_kind::permission_denied,
                          m_credential.empty()
                              ? "this agent has no operator credential; start it with "
                                "--operator-credential"
                              : "the credential is missing or wrong; give that of this agent's "
                                "--operator-credential");
    }
    configuration::execution_context context;
    context.operator_name = parameters.get("operator", "operator").asString();
    context.current_view = m_state.current_view();
    std::string command = parameters["command"].asString();
    if (operators::is_live_inquiry(command))
        return execute_live(command, reason);
    const auto deadline = std::chrono::steady_clock::now() + command_timeout;
    const auto outcome = std::make_shared<command_outcome>();
    auto finished = http::asio::co_spawn(
        m_context,
        [this, outcome, command, context = std::move(context),
         deadline]() mutable -> http::awaitable<void> {
            outcome->output =
                co_await m_executor.execute(command, context, deadline, outcome->reason);
        },
        http::asio::use_future);
    if (finished.wait_until(deadline + command_grace) != std::future_status::ready)
        return base::fail(reason, base::error_kind::outcome_unknown,
                          "the command did not end in time; see show history before you repeat it");
    auto& output = outcome->output;
    reason = outcome->reason;
    m_events.write(observe::log_level::info, "command_executed", "",
                   {{"operator", parameters.get("operator", "operator").asString()},
                    {"outcome", output ? "done" : base::to_string(reason.kind)}});
    // Agents that watch the platform are notified of a change; this agent may not be one of them.
    m_refresh();
    if (!output)
        return std::nullopt;
    Json::Value result;
    result["output"] = std::move(*output);
    return result;
}

std::optional<Json::Value> command_service::execute_live(const std::string& command,
                                                         base::error& reason)
{
    const auto deadline = std::chrono::steady_clock::now() + command_timeout;
    const auto outcome = std::make_shared<command_outcome>();
    // One strand for the inquiry and the calls that it starts.
    auto finished = http::asio::co_spawn(
        http::asio::make_strand(m_context),
        [this, outcome, command, deadline]() -> http::awaitable<void>
        {
            outcome->output = co_await operators::execute_live_inquiry(m_live, command, deadline,
                                                                       outcome->reason);
        },
        http::asio::use_future);
    if (finished.wait_until(deadline + command_grace) != std::future_status::ready)
        return base::fail(reason, base::error_kind::timeout,
                          "the inquiry did not end in time; ask again or another VM");
    reason = outcome->reason;
    if (!outcome->output)
        return std::nullopt;
    Json::Value result;
    result["output"] = std::move(*outcome->output);
    return result;
}

} // namespace ospreystair::agent
