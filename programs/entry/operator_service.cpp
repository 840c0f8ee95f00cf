// Answers requests to the operator port.

#include "programs/entry/operator_service.hpp"

#include <charconv>
#include <chrono>

#include <fmt/format.h>

#include "rpc/rpc_server.hpp"

namespace ospreystair::entry
{

namespace
{

constexpr std::string_view requests_prefix = "/requests/";
constexpr std::size_t max_listed_requests = 1000;

std::uint64_t read_after(std::string_view query)
{
    constexpr std::string_view name = "after=";
    std::uint64_t value = 0;
    const std::size_t position = query.find(name);
    if (position != std::string_view::npos)
        std::from_chars(query.data() + position + name.size(), query.data() + query.size(), value);
    return value;
}

std::string_view state_of(const routing::replica_snapshot& observed, bool is_draining)
{
    if (is_draining)
        return "draining";
    if (observed.is_ejected)
        return "ejected";
    if (observed.is_probe_due)
        return "probe_due";
    if (observed.is_shedding)
        return "shedding";
    return observed.warm_up_share < 1 ? "warming_up" : "in_use";
}

Json::Value describe_upstream(const configuration::replica& replica,
                              const routing::replica_snapshot& observed, bool is_in_drain_list)
{
    const bool is_draining = observed.is_draining || is_in_drain_list;
    Json::Value row;
    row["upstream"] = replica.name;
    row["replica_data_centre"] = replica.data_centre;
    row["address"] = replica.address.to_text();
    row["state"] = std::string(state_of(observed, is_draining));
    row["draining"] = is_draining;
    row["in_flight"] = observed.in_flight;
    row["slots"] = observed.slots;
    row["failures"] = observed.failures;
    if (observed.latency)
        row["latency_ms"] = std::chrono::duration<double, std::milli>(*observed.latency).count();
    return row;
}

} // namespace

http::response operator_service::answer(const http::request& message)
{
    const std::string_view target(message.target().data(), message.target().size());
    const std::string_view path = target.substr(0, target.find('?'));
    const std::string_view query = target.substr(path.size());
    if (message.method() == http::verb::put && path == "/log-level")
        return change_log_level(message.body());
    if (message.method() != http::verb::get)
        return http::make_text_response(http::status::method_not_allowed, "use GET\n");
    if (path == "/live")
        return http::make_text_response(http::status::ok, "live\n");
    if (path == "/ready")
        return answer_ready();
    if (path == "/metrics")
        return http::make_text_response(http::status::ok, m_context.metrics.to_text());
    if (path == "/events")
        return http::make_json_response(http::status::ok, m_context.log.to_json(read_after(query)));
    if (path == "/requests")
        return answer_requests(query == "?summary");
    if (path == "/upstreams")
        return answer_upstreams();
    if (path.starts_with(requests_prefix))
        return answer_request(path.substr(requests_prefix.size()));
    return http::make_text_response(
        http::status::not_found, "use /live, /ready, /metrics, /events, /requests or /upstreams\n");
}

http::response operator_service::answer_ready() const
{
    if (!m_context.is_serving.load())
        return http::make_text_response(http::status::service_unavailable, "stopping\n");
    if (!m_context.views.current())
        return http::make_text_response(http::status::service_unavailable,
                                        "no configuration yet; start ospreystair-agent\n");
    if (m_context.policy.is_cut_off())
        return http::make_text_response(http::status::service_unavailable,
                                        "no upstream answers; check this VM's network\n");
    return http::make_text_response(http::status::ok, "ready\n");
}

http::response operator_service::answer_request(std::string_view request_id) const
{
    const auto record = m_context.records.find(std::string(request_id));
    if (!record)
        return http::make_json_response(
            http::status::not_found,
            fmt::format(
                R"({{"error":{{"kind":"not_found","message":"no record of this request remains here; ask the VM that its id names, or the durable records"}}}})"));
    return http::make_json_response(http::status::ok, rpc::to_text(query::to_json(*record)));
}

http::response operator_service::answer_requests(bool is_summary) const
{
    Json::Value document;
    document["requests"] = Json::arrayValue;
    for (const auto& record : m_context.records.recent(max_listed_requests))
        document["requests"].append(is_summary ? query::to_summary_json(*record)
                                               : query::to_json(*record));
    return http::make_json_response(http::status::ok, rpc::to_text(document));
}

http::response operator_service::answer_upstreams() const
{
    Json::Value document;
    document["upstreams"] = Json::arrayValue;
    if (const auto view = m_context.views.current())
        for (const auto& [service_name, service] : view->configuration.services)
            for (const configuration::shard& shard : service.shards)
                for (const configuration::replica& replica : shard.replicas)
                {
                    Json::Value row = describe_upstream(
                        replica, m_context.policy.replica_snapshot_of(replica.name),
                        view->draining.contains(replica.name));
                    row["service"] = service_name;
                    row["shard"] = shard.name;
                    const auto pool = m_context.upstreams.find_pool(replica.name);
                    row["connections"] = Json::UInt64{pool ? pool->open_count() : 0};
                    document["upstreams"].append(std::move(row));
                }
    return http::make_json_response(http::status::ok, rpc::to_text(document));
}

http::response operator_service::change_log_level(const std::string& text)
{
    base::error ignored;
    if (const auto level = observe::parse_log_level(text, ignored))
    {
        m_context.log.set_threshold(*level);
        return http::make_text_response(http::status::ok, "log level changed\n");
    }
    return http::make_text_response(http::status::bad_request,
                                    "send debug, info, warning or error as the body\n");
}

} // namespace ospreystair::entry
