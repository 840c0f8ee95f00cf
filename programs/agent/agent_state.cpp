// Rules by which the agent adopts configuration and index versions.

#include "agent_state.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "configuration/stored_configuration.hpp"
#include "rpc/rpc_server.hpp"

namespace ospreystair::agent
{

using observe::log_level;

namespace
{

// Reads the form that operators' commands write. An object without a list of services is refused,
// because it would otherwise be read as an empty configuration.
std::optional<configuration::document>
parse_configuration(const std::string& text, std::uint64_t version, base::error& reason)
{
    const auto value = rpc::parse_json(text, reason);
    if (!value)
        return std::nullopt;
    if (!value->isObject() || !(*value)["configuration"].isObject() ||
        !(*value)["configuration"]["services"].isArray())
        return base::fail(reason, base::error_kind::protocol,
                          "the configuration object has no list of services; write it with "
                          "ospreystairctl");
    auto stored = configuration::stored_configuration_from_json(*value, version, reason);
    if (!stored)
        return std::nullopt;
    return std::move(stored->configuration);
}

} // namespace

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
    auto parsed = parse_configuration(text, version, reason);
    const std::scoped_lock lock(m_mutex);
    if (!parsed)
    {
        log_refusal("configuration", version, source, reason);
        return false;
    }
    // Another thread may have adopted a version meanwhile.
    if (version <= m_view.configuration_version)
        return false;
    m_replica_addresses.clear();
    for (const auto& [name, service] : parsed->services)
        for (const auto& shard : service.shards)
            for (const auto& replica : shard.replicas)
                m_replica_addresses.emplace(replica.name, replica.address);
    const std::uint64_t previous = std::exchange(m_view.configuration_version, version);
    m_view.configuration = std::move(*parsed);
    update_draining();
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
    if (parsed && position != m_indexes.end() &&
        parsed->current_version < position->second.state.current_version)
    {
        base::fail(reason, base::error_kind::invalid_argument,
                   fmt::format("current index version {} is lower than {}, which is in force; "
                               "publish the content under a higher version",
                               parsed->current_version, position->second.state.current_version));
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
                    {"current", parsed->current_version},
                    {"source", source}});
    m_indexes[service] = versioned_index{version, std::move(*parsed)};
    ++m_view.revision;
    return true;
}

void agent_state::set_draining(std::set<std::string> names)
{
    const std::scoped_lock lock(m_mutex);
    m_gossip_draining = std::move(names);
    update_draining();
}

void agent_state::update_draining()
{
    std::set<std::string> names = m_gossip_draining;
    names.insert(m_view.configuration.draining.begin(), m_view.configuration.draining.end());
    if (m_view.draining == names)
        return;
    m_view.draining = std::move(names);
    ++m_view.revision;
}

void agent_state::set_members(std::vector<configuration::member> members)
{
    const std::scoped_lock lock(m_mutex);
    const bool is_same =
        std::equal(members.begin(), members.end(), m_view.members.begin(), m_view.members.end(),
                   [](configuration::member left, const configuration::member& right)
                   {
                       left.configuration_version = right.configuration_version;
                       return left == right;
                   });
    m_view.members = std::move(members);
    if (!is_same)
        ++m_view.revision;
}

configuration_object agent_state::current_configuration() const
{
    const std::scoped_lock lock(m_mutex);
    Json::Value result;
    result["configuration"] = configuration::to_json(m_view.configuration);
    return {m_view.configuration_version, rpc::to_text(result)};
}

configuration::view agent_state::make_view() const
{
    configuration::view result = m_view;
    for (const auto& [service, index] : m_indexes)
        if (m_view.configuration.services.contains(service))
            result.indexes[service] = index.state;
    return result;
}

configuration::view agent_state::current_view() const
{
    const std::scoped_lock lock(m_mutex);
    return make_view();
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

std::string agent_state::index_text(const std::string& service) const
{
    const std::scoped_lock lock(m_mutex);
    const auto position = m_indexes.find(service);
    return position == m_indexes.end()
               ? std::string()
               : rpc::to_text(configuration::to_json(position->second.state));
}

bool agent_state::is_replica(const std::string& name) const
{
    const std::scoped_lock lock(m_mutex);
    return m_replica_addresses.contains(name);
}

std::optional<settings::socket_address> agent_state::replica_address(const std::string& name) const
{
    const std::scoped_lock lock(m_mutex);
    const auto position = m_replica_addresses.find(name);
    if (position == m_replica_addresses.end())
        return std::nullopt;
    return position->second;
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
    result = configuration::to_json(make_view());
    result["changed"] = true;
    return result;
}

void agent_state::log_refusal(std::string_view name, std::uint64_t version, std::string_view source,
                              const base::error& reason)
{
    std::uint64_t& last_logged_version = m_refused_versions[std::string(name)];
    if (last_logged_version == version)
        return;
    last_logged_version = version;
    m_events.write(log_level::error, "document_refused", "",
                   {{"object", name},
                    {"version", version},
                    {"source", source},
                    {"kind", base::to_string(reason.kind)},
                    {"message", reason.message}});
}

} // namespace ospreystair::agent
