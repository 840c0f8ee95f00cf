// ospreystair-agent: keeps configuration, membership and news of one entry VM.

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <memory>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include "agent_settings.hpp"
#include "agent_state.hpp"
#include "control_service.hpp"
#include "http/client_connection.hpp"
#include "http/server.hpp"

namespace
{

using namespace ospreystair;
using namespace std::chrono_literals;

int report_startup_failure(const base::error& reason)
{
    fmt::print(stderr, "ospreystair-agent: {}: {}\n", base::to_string(reason.kind), reason.message);
    return EXIT_FAILURE;
}

struct platform_object
{
    std::uint64_t version = 0;
    std::string text;
};

http::awaitable<std::optional<platform_object>> read_object(http::asio::io_context& context,
                                                            settings::socket_address address,
                                                            std::string key, base::error& reason)
{
    http::request message{http::verb::get, "/v1/objects/" + key, 11};
    message.set(http::field::host, address.to_text());
    http::exchange_progress progress{};
    const auto reply = co_await http::exchange_once(
        context, http::make_endpoint(address.host, address.port), std::move(message),
        std::chrono::steady_clock::now() + 2s, progress, reason);
    if (!reply)
        co_return std::nullopt;
    if (reply->result() != http::status::ok)
        co_return base::fail(
            reason, base::error_kind::not_found,
            fmt::format("the platform answers {} for {}", reply->result_int(), key));
    std::string tag((*reply)[http::field::etag]);
    std::erase(tag, '"');
    co_return platform_object{std::strtoull(tag.c_str(), nullptr, 10), reply->body()};
}

http::awaitable<void> poll_platform(http::asio::io_context& context,
                                    settings::socket_address address, agent::agent_state& state)
{
    http::asio::steady_timer timer(context);
    for (;;)
    {
        base::error reason;
        if (const auto object = co_await read_object(context, address, "configuration", reason))
            state.adopt_configuration(object->version, object->text, "platform");
        for (const std::string& service : state.service_names())
            if (const auto object =
                    co_await read_object(context, address, "index/" + service, reason))
                state.adopt_index(service, object->version, object->text, "platform");
        timer.expires_after(500ms);
        co_await timer.async_wait(http::asio::use_awaitable);
    }
}

} // namespace

int main(int argc, const char** argv)
{
    base::error reason;
    const auto settings = agent::agent_settings::create(argc, argv, reason);
    if (!settings)
        return report_startup_failure(reason);
    if (settings->is_check)
        return EXIT_SUCCESS;

    observe::event_log events("agent", settings->identity, settings->threshold);
    observe::metrics metrics;
    agent::agent_state state(events);
    state.set_members(
        {{settings->identity.vm, settings->identity.data_centre, settings->control_address, "alive",
          static_cast<std::uint64_t>(settings->identity.incarnation.count()), 0}});
    agent::control_service service(state, events, metrics);
    service.add_method("view", [&](const Json::Value& parameters, base::error&)
                       { return state.view_since(parameters["since"].asUInt64()); });
    service.add_method(
        "report",
        [&](const Json::Value& parameters, base::error&) -> std::optional<Json::Value>
        {
            std::set<std::string> names = state.draining();
            for (const Json::Value& name : parameters["draining"])
                names.insert(name.asString());
            state.set_draining(std::move(names));
            return Json::Value(Json::objectValue);
        });
    service.add_method("execute",
                       [](const Json::Value&, base::error& why) -> std::optional<Json::Value>
                       {
                           return base::fail(why, base::error_kind::not_found,
                                             "this release executes no commands; upgrade it");
                       });

    http::asio::io_context context;
    const auto server = http::server::create(
        context,
        {.address =
             http::make_endpoint(settings->control_address.host, settings->control_address.port)},
        [&service](const http::request& message, std::shared_ptr<http::exchange_context>)
        { return service.answer(message); },
        reason);
    if (!server)
        return report_startup_failure(reason);
    http::asio::co_spawn(context,
                         poll_platform(context, settings->platform_addresses.front(), state),
                         http::asio::detached);
    http::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
    events.write(observe::log_level::info, "started", "",
                 {{"address", settings->control_address.to_text()}});
    context.run();
    service.join();
    return EXIT_SUCCESS;
}
