// Polls the agent and reports to it.

#include "programs/entry/agent_link.hpp"

#include <utility>

#include <json/json.h>

#include "rpc/rpc_server.hpp"

namespace ospreystair::entry
{

namespace
{

constexpr std::chrono::milliseconds call_timeout{1000};
constexpr std::chrono::seconds refresh_interval{1};
constexpr int inner_protocol_version = 1;

} // namespace

agent_link::agent_link(std::string agent_address, std::chrono::milliseconds interval,
                       view_holder& views, query::record_store& records, observe::event_log& log)
    : m_agent_address(std::move(agent_address)), m_interval(interval), m_views(views),
      m_records(records), m_log(log), m_client(m_agent_address, call_timeout)
{
}

agent_link::~agent_link()
{
    stop();
}

void agent_link::start(view_function on_view)
{
    m_on_view = std::move(on_view);
    m_thread = std::thread([this] { run(); });
}

void agent_link::stop()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_is_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void agent_link::run()
{
    base::time_point next_refresh = std::chrono::steady_clock::now();
    std::unique_lock lock(m_mutex);
    while (!m_is_stopping)
    {
        lock.unlock();
        ask_for_view();
        hand_over();
        // Connection shares and drains change with time also when the view does not.
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
    hand_over();
}

std::string agent_link::call(const std::string& method, const std::string& parameters)
{
    std::string result;
    std::string error_text;
    const rpc::call_status status = m_client.call(method, parameters, result, error_text);
    note_reachable(status == rpc::call_status::answered, error_text);
    return status == rpc::call_status::answered ? result : std::string();
}

void agent_link::note_reachable(bool is_reachable, const std::string& why)
{
    if (is_reachable == m_is_reachable)
        return;
    m_is_reachable = is_reachable;
    if (is_reachable)
    {
        // A restarted agent counts revisions from the start.
        m_revision = 0;
        m_log.write(observe::log_level::info, "agent_reachable", "", {{"agent", m_agent_address}});
    }
    else
        m_log.write(
            observe::log_level::warning, "agent_unreachable", "",
            {{"agent", m_agent_address},
             {"error", why},
             {"remedy", "start ospreystair-agent; requests are served with the last view"}});
}

void agent_link::ask_for_view()
{
    Json::Value parameters;
    parameters["protocol"] = inner_protocol_version;
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

void agent_link::hand_over()
{
    const std::vector<std::string> drains = m_views.take_new_drains();
    auto records = m_records.take_pending();
    if (drains.empty() && records.empty())
        return;
    Json::Value parameters;
    parameters["protocol"] = inner_protocol_version;
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
