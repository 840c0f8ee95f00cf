// Routes callers' requests, and completes the requests in flight before a stop.

#include "programs/entry/entry_server.hpp"

#include <algorithm>
#include <csignal>
#include <thread>
#include <utility>
#include <vector>

#include "programs/entry/replies.hpp"

namespace ospreystair::entry
{

namespace asio = http::asio;

namespace
{

constexpr std::string_view services_prefix = "/v1/services/";
constexpr std::chrono::milliseconds record_check_interval{5};
} // namespace

std::optional<std::unique_ptr<entry_server>>
entry_server::create(asio::io_context& io, const entry_settings& settings, base::error& reason)
{
    auto store = objects::http_object_store::create(io, settings.platform_addresses, reason);
    if (!store)
        return std::nullopt;
    std::unique_ptr<entry_server> result(new entry_server(io, settings, std::move(*store)));
    if (!result->listen(reason))
        return std::nullopt;
    return result;
}

entry_server::entry_server(asio::io_context& io, const entry_settings& settings,
                           std::unique_ptr<objects::http_object_store> store)
    : m_context(io, settings, base::system_seed()), m_queries(m_context),
      m_commands(m_context, std::move(store)), m_operators(m_context),
      m_agent(settings.agent_address.to_text(), settings.view_interval, m_context.views,
              m_context.records, m_context.log)
{
}

bool entry_server::listen(base::error& reason)
{
    const entry_settings& settings = m_context.settings;
    http::server_options caller_options;
    caller_options.address =
        http::make_endpoint(settings.caller_address.host, settings.caller_address.port);
    auto callers = http::server::create(
        m_context.io, caller_options,
        [this](const http::request& message, std::shared_ptr<http::exchange_context> exchange)
        { return route(message, std::move(exchange)); },
        reason);
    if (!callers)
        return false;
    m_caller_server = std::move(*callers);
    http::server_options operator_options;
    operator_options.address =
        http::make_endpoint(settings.operator_address.host, settings.operator_address.port);
    auto operators = http::server::create(
        m_context.io, operator_options,
        [this](const http::request& message,
               std::shared_ptr<http::exchange_context>) -> http::awaitable<http::response>
        { co_return m_operators.answer(message); },
        reason);
    if (!operators)
        return false;
    m_operator_server = std::move(*operators);
    return true;
}

void entry_server::run()
{
    m_context.log.write(observe::log_level::info, "started", "",
                        {{"caller_address", m_context.settings.caller_address.to_text()},
                         {"operator_address", m_context.settings.operator_address.to_text()}});
    m_agent.start([this](const auto& view) { apply_view(*view); });
    asio::co_spawn(
        m_context.io, [this] { return stop_on_signal(); }, asio::detached);
    std::vector<std::thread> threads;
    for (std::size_t index = 1; index < m_context.settings.thread_count; ++index)
        threads.emplace_back([this] { m_context.io.run(); });
    m_context.io.run();
    for (std::thread& thread : threads)
        thread.join();
    m_context.log.write(observe::log_level::info, "stopped", "");
}

void entry_server::apply_view(const configuration::view& view)
{
    m_context.policy.apply(view);
    m_context.upstreams.apply(view, [this](const configuration::replica& target)
                              { return m_context.policy.connection_limit(target); });
}

http::awaitable<http::response>
entry_server::route(const http::request& message, std::shared_ptr<http::exchange_context> exchange)
{
    const std::string_view target(message.target().data(), message.target().size());
    if (message.method() != http::verb::post || !target.starts_with(services_prefix))
        co_return make_refusal("",
                               {base::error_kind::not_found,
                                "no such path; use POST /v1/services/<service>/query or /command",
                                {}});
    const std::string_view rest = target.substr(services_prefix.size());
    const std::size_t slash = rest.find('/');
    const std::string_view action =
        slash == std::string_view::npos ? std::string_view{} : rest.substr(slash + 1);
    const std::string service_name(rest.substr(0, slash));
    if (action == "query")
        co_return co_await m_queries.answer(service_name, message, std::move(exchange));
    if (action == "command")
        co_return co_await m_commands.answer(service_name, message, std::move(exchange));
    co_return make_refusal("", {base::error_kind::not_found,
                                "no such path; use POST /v1/services/<service>/query or /command",
                                {}});
}

http::awaitable<void> entry_server::stop_on_signal()
{
    asio::signal_set signals(m_context.io, SIGTERM, SIGINT);
    co_await signals.async_wait(asio::use_awaitable);
    // The signal set still catches further signals, which are ignored.
    co_await stop_gracefully();
    m_context.io.stop();
}

http::awaitable<void> entry_server::stop_gracefully()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    m_context.is_serving.store(false);
    m_caller_server->announce_stop();
    m_context.log.write(observe::log_level::info, "stop_started", "",
                        {{"in_flight", m_caller_server->request_count()}});
    timer.expires_after(m_context.settings.drain_delay);
    co_await timer.async_wait(asio::use_awaitable);
    m_caller_server->stop_accepting();
    const base::time_point stop_deadline = m_context.clock.now() + m_context.settings.stop_timeout;
    const bool is_idle = co_await m_caller_server->wait_until_idle(stop_deadline);
    while (m_commands.unrecorded_count() != 0 && m_context.clock.now() < stop_deadline)
    {
        timer.expires_after(record_check_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    m_agent.stop();
    m_context.log.write(is_idle ? observe::log_level::info : observe::log_level::error,
                        "stop_drained", "", {{"cut_requests", m_caller_server->request_count()}});
}

} // namespace ospreystair::entry
