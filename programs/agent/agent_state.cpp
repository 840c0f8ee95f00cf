// Rules by which the agent adopts configuration and index versions.

#include "agent_state.hpp"

#include <utility>

#include <fmt/format.h>

#include "rpc/rpc_server.hpp"

namespace ospreystair::agent
{

using observe::log_level;

agent_state::agent_state(observe::event_log& events) : m_events(events)
{
    m_view.revision = 1;
}

bool agent_state::adopt_configuration(std::uint64_t version, const std::string& text,
                                      std::string_view source)
{
    if (version <= configuration_version())
        return false;
    base::error reason;
    const auto value = rpc::parse_json(text, reason);
    auto parsed = value ? configuration::document_from_json(*value, reason) : std::nullopt;
    const std::scoped_lock lock(m_mutex);
    if (!parsed)
    {
        log_refusal("configuration", version, source, reason);
        return false;
    }
    // Another thread may have adopted a version meanwhile.
    if (version <= m_view.configuration_version)
        return false;
    m_replica_names.clear();
    for (const auto& [name, service] : parsed->services)
        for (const auto& shard : service.shards)
            for (const auto& replica : shard.replicas)
                m_replica_names.insert(replica.name);
    const std::uint64_t previous = std::exchange(m_view.configuration_version, version);
    m_view.configuration = std::move(*parsed);
    m_configuration_text = text;
    ++m_view.revision;
    m_events.write(log_level::info, "configuration_adopted", "",
                   {{"version", version}, {"previous", previous}, {"source", source}});
    return true;
}

bool agent_state::adopt_index(const std::string& service, std::uint64_t version,
                              const std::string& text, std::string_view source)
{
    if (version <= index_version(service))
        return false;
    base::error reason;
    const auto value = rpc::parse_json(text, reason);
    auto parsed = value ? configuration::index_state_from_json(*value, reason) : std::nullopt;
    const std::scoped_lock lock(m_mutex);
    const std::string name = "index/" + service;
    const auto position = m_indexes.find(service);
    if (position != m_indexes.end() && position->second.version >= version)
        return false;
    if (parsed && position != m_indexes.end() && parsed->current < position->second.state.current)
    {
        base::fail(reason, base::error_kind::invalid_argument,
                   fmt::format("current index version {} is lower than {}, which is in force; "
                               "publish the content under a higher version",
                               parsed->current, position->second.state.current));
        parsed.reset();
    }
    if (!parsed)
    {
        log_refusal(name, version, source, reason);
        return false;
    }
    m_events.write(log_level::info, "index_adopted", "",
                   {{"service", service},
                    {"version", version},
                    {"current", parsed->current},
                    {"source", source}});
    m_indexes[service] = held_index{version, std::move(*parsed)};
    ++m_view.revision;
    return true;
}

void agent_state::set_draining(std::set<std::string> names)
{
    const std::scoped_lock lock(m_mutex);
    if (m_view.draining == names)
        return;
    m_view.draining = std::move(names);
    ++m_view.revision;
}

void agent_state::set_members(std::vector<configuration::member> members)
{
    const std::scoped_lock lock(m_mutex);
    if (m_view.members == members)
        return;
    m_view.members = std::move(members);
    ++m_view.revision;
}

held_document agent_state::configuration() const
{
    const std::scoped_lock lock(m_mutex);
    return {m_view.configuration_version, m_configuration_text};
}

std::uint64_t agent_state::configuration_version() const
{
    const std::scoped_lock lock(m_mutex);
    return m_view.configuration_version;
}

std::uint64_t agent_state::index_version(const std::string& service) const
{
    const std::scoped_lock lock(m_mutex);
    const auto position = m_indexes.find(service);
    return position == m_indexes.end() ? 0 : position->second.version;
}

std::vector<std::string> agent_state::service_names() const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<std::string> names;
    for (const auto& [name, service] : m_view.configuration.services)
        names.push_back(name);
    return names;
}

bool agent_state::is_replica(const std::string& name) const
{
    const std::scoped_lock lock(m_mutex);
    return m_replica_names.contains(name);
}

std::set<std::string> agent_state::draining() const
{
    const std::scoped_lock lock(m_mutex);
    return m_view.draining;
}

Json::Value agent_state::view_since(std::uint64_t since) const
{
    const std::scoped_lock lock(m_mutex);
    Json::Value result;
    if (since == m_view.revision)
    {
        result["revision"] = Json::UInt64{m_view.revision};
        result["changed"] = false;
        return result;
    }
    result = configuration::to_json(m_view);
    for (const auto& [service, index] : m_indexes)
        if (m_view.configuration.services.contains(service))
            result["indexes"][service] = configuration::to_json(index.state);
    result["changed"] = true;
    return result;
}

std::uint64_t agent_state::revision() const
{
    const std::scoped_lock lock(m_mutex);
    return m_view.revision;
}

void agent_state::log_refusal(std::string_view name, std::uint64_t version, std::string_view source,
                              const base::error& reason)
{
    std::uint64_t& logged = m_refused[std::string(name)];
    if (logged == version)
        return;
    logged = version;
    m_events.write(log_level::error, "document_refused", "",
                   {{"object", name},
                    {"version", version},
                    {"source", source},
                    {"kind", base::to_string(reason.kind)},
                    {"message", reason.message}});
}

} // namespace ospreystair::agent
