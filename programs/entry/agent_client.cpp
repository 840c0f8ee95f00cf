// Polls the agent for the view and sends it reports.

#include "programs/entry/agent_client.hpp"

#include <utility>

#include <json/json.h>

#include "rpc/rpc_server.hpp"

namespace ospreystair::entry
{

namespace
{

constexpr std::chrono::milliseconds call_timeout{1000};
constexpr std::chrono::seconds refresh_interval{1};
constexpr int agent_protocol_version = 1;

} // namespace

agent_client::agent_client(std::string agent_address, std::chrono::milliseconds interval,
                           view_holder& views, query::record_store& records,
                           observe::event_log& log)
    : m_agent_address(std::move(agent_address)), m_interval(interval), m_views(views),
      m_records(records), m_log(log), m_client(m_agent_address, call_timeout)
{
}

agent_client::~agent_client()
{
    stop();
}

void agent_client::start(view_function on_view)
{
    m_on_view = std::move(on_view);
    m_thread = std::thread([this] { run(); });
}

void agent_client::stop()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_is_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void agent_client::run()
{
    base::time_point next_refresh = std::chrono::steady_clock::now();
    std::unique_lock lock(m_mutex);
    while (!m_is_stopping)
    {
        lock.unlock();
        fetch_view();
        send_report();
        // Connection shares change and drains expire even while the view stays the same.
        const auto view = m_views.expire_drains(std::chrono::steady_clock::now());
        if (view && std::chrono::steady_clock::now() >= next_refresh)
        {
            m_on_view(view);
            next_refresh = std::chrono::steady_clock::now() + refresh_interval;
        }
        lock.lock();
        m_wake.wait_for(lock, m_interval, [this] { return m_is_stopping; });
    }
    lock.unlock();
    send_report();
}

std::string agent_client::call(const std::string& method, const std::string& parameters)
{
    std::string result;
    std::string error_text;
    const rpc::call_status status = m_client.call(method, parameters, result, error_text);
    record_reachability(status == rpc::call_status::answered, error_text);
    return status == rpc::call_status::answered ? result : std::string();
}

void agent_client::record_reachability(bool is_reachable, const std::string& error_text)
{
    if (is_reachable == m_is_reachable)
        return;
    m_is_reachable = is_reachable;
    if (is_reachable)
    {
        // A restarted agent restarts its revision count.
        m_revision = 0;
        m_log.write(observe::log_level::info, "agent_reachable", "", {{"agent", m_agent_address}});
    }
    else
        m_log.write(
            observe::log_level::warning, "agent_unreachable", "",
            {{"agent", m_agent_address},
             {"error", error_text},
             {"remedy", "start ospreystair-agent; requests are served with the last view"}});
}

void agent_client::fetch_view()
{
    Json::Value parameters;
    parameters["protocol"] = agent_protocol_version;
    parameters["stamp"] = m_log.clock().tick().to_text();
    parameters["since"] = Json::UInt64{m_revision};
    const std::string text = call("view", rpc::to_text(parameters));
    if (text.empty())
        return;
    base::error reason;
    const auto document = rpc::parse_json(text, reason);
    if (!document || !document->isObject())
        return;
    if (const auto stamp = observe::stamp::from_text((*document)["stamp"].asString()))
        m_log.clock().observe(*stamp);
    if (document->isMember("changed") && !(*document)["changed"].asBool())
        return;
    auto view = configuration::view_from_json(*document, reason);
    if (!view)
    {
        m_log.write(observe::log_level::error, "view_refused", "", {{"error", reason.message}});
        return;
    }
    m_revision = view->revision;
    const auto adopted = m_views.adopt(std::move(*view), std::chrono::steady_clock::now());
    if (!adopted)
        return;
    m_log.write(observe::log_level::debug, "view_adopted", "",
                {{"revision", adopted->revision},
                 {"configuration_version", adopted->configuration_version},
                 {"members", adopted->members.size()}});
    m_on_view(adopted);
}

void agent_client::send_report()
{
    const std::vector<std::string> drains = m_views.take_new_drains();
    auto records = m_records.take_pending();
    if (drains.empty() && records.empty())
        return;
    Json::Value parameters;
    parameters["protocol"] = agent_protocol_version;
    parameters["stamp"] = m_log.clock().tick().to_text();
    parameters["draining"] = Json::arrayValue;
    for (const std::string& name : drains)
        parameters["draining"].append(name);
    parameters["records"] = Json::arrayValue;
    for (const auto& record : records)
        parameters["records"].append(query::to_json(*record));
    if (!call("report", rpc::to_text(parameters)).empty())
        return;
    m_records.return_pending(std::move(records));
    for (const std::string& name : drains)
        m_views.retry_drain_report(name);
}

} // namespace ospreystair::entry
