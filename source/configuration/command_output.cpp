// Converts results of commands to JSON.

#include "configuration/command_output.hpp"

#include <fmt/format.h>

#include "configuration/document_change.hpp"

namespace ospreystair::configuration
{

namespace
{

Json::Value json_text(std::string_view value)
{
    return Json::Value(std::string(value));
}

Json::Value json_integer(std::uint64_t value)
{
    return Json::Value(Json::UInt64{value});
}

Json::Value show_services(const document& value)
{
    Json::Value table =
        make_table("services", {"service", "kind", "prefer", "deadline_ms", "max_concurrency",
                                "hedge_percent", "retry_percent", "shards"});
    for (const auto& [name, item] : value.services)
        add_row(table, {name, json_text(to_string(item.kind)), json_text(to_string(item.prefer)),
                        Json::Int64{item.deadline.count()}, item.max_concurrency,
                        item.hedge_percent, item.retry_percent, json_integer(item.shards.size())});
    return table;
}

Json::Value show_shards(const document& value)
{
    Json::Value table = make_table("shards", {"service", "shard", "replicas"});
    for (const auto& [name, item] : value.services)
        for (const shard& shard_item : item.shards)
            add_row(table, {name, shard_item.name, json_integer(shard_item.replicas.size())});
    return table;
}

Json::Value show_replicas(const view& current_view)
{
    Json::Value table = make_table("replicas", {"replica", "service", "shard", "address",
                                                "data_centre", "slots", "connections", "state"});
    for (const auto& [name, item] : current_view.configuration.services)
        for (const shard& shard_item : item.shards)
            for (const replica& replica_item : shard_item.replicas)
            {
                const bool is_draining =
                    current_view.draining.contains(replica_item.name) ||
                    current_view.configuration.draining.contains(replica_item.name);
                add_row(table,
                        {replica_item.name, name, shard_item.name, replica_item.address.to_text(),
                         replica_item.data_centre, replica_item.slots, replica_item.connections,
                         is_draining ? "draining" : "in_use"});
            }
    return table;
}

Json::Value show_members(const view& current_view)
{
    Json::Value table = make_table("members", {"vm", "data_centre", "address", "state",
                                               "incarnation", "configuration_version"});
    for (const member& item : current_view.members)
        add_row(table, {item.vm, item.data_centre, item.address.to_text(), item.state,
                        json_integer(item.incarnation), json_integer(item.configuration_version)});
    return table;
}

Json::Value show_indexes(const view& current_view)
{
    Json::Value table = make_table("indexes", {"service", "version", "current", "shards"});
    for (const auto& [name, state] : current_view.indexes)
        for (const auto& [version, shards] : state.versions)
            add_row(table, {name, json_integer(version), version == state.current_version,
                            fmt::format("{}", fmt::join(shards, ", "))});
    return table;
}

Json::Value show_draining(const view& current_view)
{
    Json::Value table = make_table("draining", {"upstream", "source"});
    for (const std::string& name : current_view.configuration.draining)
        add_row(table, {name, "operator"});
    for (const std::string& name : current_view.draining)
        if (!current_view.configuration.draining.contains(name))
            add_row(table, {name, "upstream"});
    return table;
}

} // namespace

Json::Value make_table(const std::string& title, const std::vector<std::string>& columns)
{
    Json::Value table;
    table["title"] = title;
    table["columns"] = Json::arrayValue;
    for (const std::string& column : columns)
        table["columns"].append(column);
    table["rows"] = Json::arrayValue;
    return table;
}

void add_row(Json::Value& table, const std::vector<Json::Value>& cells)
{
    Json::Value row = Json::arrayValue;
    for (const Json::Value& cell : cells)
        row.append(cell);
    table["rows"].append(std::move(row));
}

Json::Value show_view(show_topic topic, const view& current_view)
{
    switch (topic)
    {
    case show_topic::services:
        return show_services(current_view.configuration);
    case show_topic::shards:
        return show_shards(current_view.configuration);
    case show_topic::replicas:
        return show_replicas(current_view);
    case show_topic::members:
        return show_members(current_view);
    case show_topic::indexes:
        return show_indexes(current_view);
    case show_topic::draining:
        return show_draining(current_view);
    case show_topic::configuration:
    case show_topic::history:
        break;
    }
    return show_document(current_view.configuration, current_view.configuration_version);
}

Json::Value show_history(const stored_configuration& stored)
{
    Json::Value table =
        make_table("history", {"version", "previous_version", "operator", "token", "statements"});
    for (const change_record& record : stored.history)
        add_row(table, {json_integer(record.version), json_integer(record.base_version),
                        record.operator_name, record.token, record.statements});
    return table;
}

Json::Value show_document(const document& value, std::uint64_t version)
{
    return show_statements(fmt::format("configuration version {}", version),
                           changes_between(document{}, value));
}

Json::Value show_statements(const std::string& title, const std::vector<change>& changes)
{
    Json::Value table = make_table(title, {"statement"});
    for (const change& item : changes)
        add_row(table, {print(item)});
    return table;
}

Json::Value make_accepted(std::uint64_t version, std::uint64_t previous_version)
{
    Json::Value result;
    result["accepted"] = true;
    result["version"] = Json::UInt64{version};
    result["previous_version"] = Json::UInt64{previous_version};
    return result;
}

} // namespace ospreystair::configuration
