// Dispatches requests of the control port to pages and JSON-RPC methods.

#include "control_service.hpp"

#include <charconv>
#include <string_view>
#include <utility>

#include <fmt/format.h>

#include "protocol/datagram.hpp"

namespace ospreystair::agent
{

using http::status;

control_service::control_service(agent_state& state, observe::event_log& events,
                                 observe::metrics& metrics)
    : m_state(state), m_events(events), m_metrics(metrics)
{
}

void control_service::add_method(const std::string& name, rpc::method_function method)
{
    m_server.add_method(
        name,
        [this, name, method = std::move(method)](const Json::Value& parameters,
                                                 base::error& reason) -> std::optional<Json::Value>
        {
            m_metrics.find_counter(fmt::format("ospreystair_rpc_total{{method=\"{}\"}}", name))
                .add();
            try
            {
                if (parameters.get("protocol", Json::UInt64{1}).asUInt64() >
                    protocol::protocol_version)
                    return base::fail(reason, base::error_kind::protocol,
                                      fmt::format("this agent speaks protocol {}; upgrade it or "
                                                  "use an older client",
                                                  protocol::protocol_version));
                if (const auto remote =
                        observe::stamp::from_text(parameters.get("stamp", "").asString()))
                    m_events.clock().observe(*remote);
                auto result = method(parameters, reason);
                if (result)
                {
                    (*result)["protocol"] = Json::UInt64{protocol::protocol_version};
                    (*result)["stamp"] = m_events.clock().tick().to_text();
                }
                return result;
            }
            catch (const Json::Exception& exception)
            {
                return base::fail(reason, base::error_kind::invalid_argument,
                                  fmt::format("a parameter of {} has the wrong type: {}; see the "
                                              "design page",
                                              name, exception.what()));
            }
        });
}

http::awaitable<http::response> control_service::answer(const http::request& message)
{
    const std::string target(message.target());
    const std::string path = target.substr(0, target.find('?'));
    if (path == "/rpc" && message.method() == http::verb::post)
        co_return co_await answer_rpc(message.body());
    if (message.method() != http::verb::get)
        co_return http::make_text_response(status::method_not_allowed,
                                           "use GET, or POST for /rpc\n");
    if (path == "/live")
        co_return http::make_text_response(status::ok, "live\n");
    if (path == "/ready")
    {
        const bool is_ready = !m_is_stopping.load() && m_state.configuration_version() != 0;
        co_return http::make_text_response(is_ready ? status::ok : status::service_unavailable,
                                           is_ready ? "ready\n" : "no configuration yet\n");
    }
    if (path == "/metrics")
        co_return http::make_text_response(status::ok, m_metrics.to_text());
    if (path == "/events")
    {
        constexpr std::string_view parameter = "?after=";
        std::uint64_t after = 0;
        if (const auto position = target.find(parameter); position != std::string::npos)
            std::from_chars(target.data() + position + parameter.size(),
                            target.data() + target.size(), after);
        co_return http::make_json_response(status::ok, m_events.to_json(after));
    }
    co_return http::make_text_response(
        status::not_found, "no such page; there are /live, /ready, /metrics, /events and /rpc\n");
}

http::awaitable<http::response> control_service::answer_rpc(std::string text)
{
    base::error reason;
    const auto parsed = rpc::parse_json(text, reason);
    const Json::Value method = parsed && parsed->isObject() ? (*parsed)["method"] : Json::Value();
    auto& pool = method == Json::Value("execute")   ? m_command_worker
                 : method == Json::Value("inspect") ? m_inspection_worker
                                                    : m_workers;
    std::string reply = co_await http::asio::co_spawn(
        pool.get_executor(),
        [this, &text]() -> http::awaitable<std::string> { co_return m_server.answer(text); },
        http::asio::use_awaitable);
    co_return http::make_json_response(status::ok, std::move(reply));
}

void control_service::join()
{
    m_workers.join();
    m_command_worker.join();
    m_inspection_worker.join();
}

} // namespace ospreystair::agent
