// Construction of the components, methods of the control port, and graceful stop.

#include "agent_process.hpp"

#include <chrono>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include "http/client_connection.hpp"

namespace ospreystair::agent
{

namespace
{

using namespace std::chrono_literals;
namespace asio = http::asio;
using observe::log_level;

constexpr unsigned network_thread_count = 2;
// Time limits of the graceful stop. Their sum is below 10 s, after which platforms usually kill a
// process. A command takes up to 6 s.
constexpr auto request_stop_timeout = 6s;
constexpr auto record_flush_timeout = 3s;

} // namespace

agent_process::agent_process(const agent_settings& settings)
    : m_settings(settings), m_events("agent", settings.identity, settings.log_threshold),
      m_state(m_events), m_signals(m_context), m_control(m_state, m_events, m_metrics)
{
}

std::optional<std::unique_ptr<agent_process>> agent_process::create(const agent_settings& settings,
                                                                    base::error& reason)
{
    std::unique_ptr<agent_process> result(new agent_process(settings));
    if (!result->open(reason))
        return std::nullopt;
    return result;
}

bool agent_process::open(base::error& reason)
{
    auto store =
        objects::http_object_store::create(m_context, m_settings.platform_addresses, reason);
    if (!store)
        return false;
    m_store = std::move(*store);
    auto gossip =
        gossip_service::create(m_context, m_settings, m_state, m_events, m_metrics, reason);
    if (!gossip)
        return false;
    m_gossip = std::move(*gossip);
    m_peers = std::make_unique<peer_exchange>(m_state, *m_gossip, m_events, m_metrics);
    std::set<std::string> seeds;
    for (const auto& address : m_settings.peer_addresses)
        seeds.insert(address.to_text());
    m_follower = std::make_unique<platform_follower>(m_context, *m_store, std::move(seeds), m_state,
                                                     *m_gossip, m_events, m_metrics);
    m_records = std::make_unique<record_writer>(*m_store, m_settings.identity, m_events, m_metrics);
    m_live = std::make_unique<live_source>(m_context, *m_store, m_settings, m_state, *m_records,
                                           m_events);
    m_commands = std::make_unique<command_service>(m_context, *m_store, *m_live,
                                                   m_settings.operator_credential, m_state,
                                                   m_events, [this] { m_follower->refresh(); });
    add_methods();
    http::server_options options;
    options.address =
        http::make_endpoint(m_settings.control_address.host, m_settings.control_address.port);
    auto server = http::server::create(
        m_context, options,
        [this](const http::request& message, std::shared_ptr<http::exchange_context>)
        { return m_control.answer(message); },
        reason);
    if (!server)
        return false;
    m_server = std::move(*server);
    return true;
}

void agent_process::add_methods()
{
    m_control.add_method("view", [this](const Json::Value& parameters, base::error&)
                         { return m_state.view_since(parameters["since"].asUInt64()); });
    m_control.add_method("report", [this](const Json::Value& parameters, base::error&)
                         { return handle_report(parameters); });
    m_control.add_method("fetch", [this](const Json::Value& parameters, base::error& reason)
                         { return m_peers->answer_fetch(parameters, reason); });
    m_control.add_method("inspect", [this](const Json::Value& parameters, base::error& reason)
                         { return m_live->answer_inspect(parameters, reason); });
    m_control.add_method("execute", [this](const Json::Value& parameters, base::error& reason)
                         { return m_commands->execute(parameters, reason); });
}

std::optional<Json::Value> agent_process::handle_report(const Json::Value& parameters)
{
    for (const char* const list_name : {"draining", "serving"})
        for (const Json::Value& name : parameters[list_name])
            // A register for a name that is not in the configuration would only occupy memory.
            if (m_state.is_replica(name.asString()))
                m_gossip->publish_drain(name.asString(), list_name == std::string_view("draining"));
    m_records->add(parameters["records"]);
    return Json::Value(Json::objectValue);
}

void agent_process::run()
{
    m_signals.add(SIGTERM);
    m_signals.add(SIGINT);
    wait_for_signal();
    m_gossip->start([this](const std::string& holder) { m_peers->fetch_from(holder); });
    m_follower->start();
    asio::co_spawn(m_context, m_peers->run(m_settings.peer_addresses), asio::detached);
    asio::co_spawn(m_context, m_records->run(), asio::detached);
    m_events.write(log_level::info, "started", "",
                   {{"address", m_settings.control_address.to_text()},
                    {"incarnation", m_settings.identity.incarnation.count()}});
    std::vector<std::thread> threads;
    for (unsigned index = 1; index < network_thread_count; ++index)
        threads.emplace_back([this] { m_context.run(); });
    m_context.run();
    for (std::thread& thread : threads)
        thread.join();
    m_peers->stop();
    m_control.join();
}

void agent_process::wait_for_signal()
{
    m_signals.async_wait(
        [this](const boost::system::error_code& code, int)
        {
            if (code)
                return;
            if (!std::exchange(m_is_stopping, true))
                asio::co_spawn(m_context, stop(), asio::detached);
            wait_for_signal();
        });
}

asio::awaitable<void> agent_process::stop()
{
    m_events.write(log_level::info, "stopping", "");
    m_control.set_stopping();
    m_gossip->leave();
    m_server->stop_accepting();
    co_await m_server->wait_until_idle(std::chrono::steady_clock::now() + request_stop_timeout);
    const bool is_flushed =
        co_await m_records->flush(std::chrono::steady_clock::now() + record_flush_timeout);
    log_stopped(is_flushed);
    m_context.stop();
}

void agent_process::log_stopped(bool is_flushed)
{
    m_events.write(is_flushed ? log_level::info : log_level::warning, "stopped", "",
                   {{"records_flushed", is_flushed}});
}

} // namespace ospreystair::agent
