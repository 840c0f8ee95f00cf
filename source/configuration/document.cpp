// Validation and JSON conversion of the configuration document.

#include "configuration/document.hpp"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace ospreystair::configuration
{

namespace
{

constexpr std::size_t max_name_length = 64;
constexpr std::chrono::milliseconds max_deadline{600'000};
constexpr std::uint32_t max_percent = 100;

// Sets the error and returns false.
bool refuse(base::error& reason, std::string message)
{
    base::fail(reason, base::error_kind::invalid_argument, std::move(message));
    return false;
}

bool check_replica(const service& owner, const shard& shard_item, const replica& item,
                   std::set<std::string>& names, base::error& reason)
{
    if (!is_valid_name(item.name))
        return refuse(reason, fmt::format("replica name \"{}\" of shard \"{}\" is not valid; use "
                                          "letters, digits, '-', '_' and '.', at most 64",
                                          item.name, shard_item.name));
    if (!names.insert(item.name).second)
        return refuse(reason, fmt::format("replica \"{}\" occurs twice; give each replica a name "
                                          "of its own",
                                          item.name));
    if (item.slots == 0 || item.connections == 0)
        return refuse(reason, fmt::format("replica \"{}\" of service \"{}\" has no slots or no "
                                          "connections; give at least 1 of each",
                                          item.name, owner.name));
    if (item.address.port == 0)
        return refuse(reason,
                      fmt::format("replica \"{}\" has no address; give ip:port", item.name));
    return true;
}

bool check_service(const service& item, std::set<std::string>& replica_names, base::error& reason)
{
    if (!is_valid_name(item.name))
        return refuse(reason, fmt::format("service name \"{}\" is not valid; use letters, digits, "
                                          "'-', '_' and '.', at most 64",
                                          item.name));
    if (item.deadline.count() <= 0 || item.deadline > max_deadline)
        return refuse(reason, fmt::format("service \"{}\" has a deadline of {} ms; give 1 to {}",
                                          item.name, item.deadline.count(), max_deadline.count()));
    if (item.max_concurrency == 0)
        return refuse(
            reason, fmt::format("service \"{}\" admits no request; give max_concurrency 1 or more",
                                item.name));
    if (item.hedge_percent > max_percent || item.retry_percent > max_percent)
        return refuse(reason, fmt::format("service \"{}\" has a budget over 100 percent; give 0 to "
                                          "100",
                                          item.name));
    std::set<std::string> shard_names;
    for (const shard& shard_item : item.shards)
    {
        if (!is_valid_name(shard_item.name) || !shard_names.insert(shard_item.name).second)
            return refuse(reason,
                          fmt::format("shard \"{}\" of service \"{}\" is not valid or occurs "
                                      "twice; give each shard a name of its own",
                                      shard_item.name, item.name));
        for (const replica& replica_item : shard_item.replicas)
            if (!check_replica(item, shard_item, replica_item, replica_names, reason))
                return false;
    }
    return true;
}

Json::Value to_json(const replica& item)
{
    Json::Value value;
    value["name"] = item.name;
    value["address"] = item.address.to_text();
    value["data_centre"] = item.data_centre;
    value["slots"] = item.slots;
    value["connections"] = item.connections;
    return value;
}

Json::Value to_json(const service& item)
{
    Json::Value value;
    value["name"] = item.name;
    value["kind"] = std::string(to_string(item.kind));
    value["prefer"] = std::string(to_string(item.prefer));
    value["deadline_ms"] = Json::Int64{item.deadline.count()};
    value["max_concurrency"] = item.max_concurrency;
    value["hedge_percent"] = item.hedge_percent;
    value["retry_percent"] = item.retry_percent;
    value["shards"] = Json::arrayValue;
    for (const shard& shard_item : item.shards)
    {
        Json::Value entry;
        entry["name"] = shard_item.name;
        entry["replicas"] = Json::arrayValue;
        for (const replica& replica_item : shard_item.replicas)
            entry["replicas"].append(to_json(replica_item));
        value["shards"].append(std::move(entry));
    }
    return value;
}

// Throws Json::Exception if a member has the wrong type.
replica replica_from_json(const Json::Value& value)
{
    replica item;
    item.name = value["name"].asString();
    item.address = settings::socket_address::from_text(value["address"].asString())
                       .value_or(settings::socket_address{});
    item.data_centre = value["data_centre"].asString();
    item.slots = value.get("slots", item.slots).asUInt();
    item.connections = value.get("connections", item.connections).asUInt();
    return item;
}

// Throws Json::Exception if a member has the wrong type.
service service_from_json(const Json::Value& value)
{
    service item;
    item.name = value["name"].asString();
    item.kind = value["kind"].asString() == "command" ? service_kind::command : service_kind::query;
    item.prefer =
        value["prefer"].asString() == "coverage" ? preference::coverage : preference::latency;
    item.deadline = std::chrono::milliseconds{
        value.get("deadline_ms", Json::Int64{item.deadline.count()}).asInt64()};
    item.max_concurrency = value.get("max_concurrency", item.max_concurrency).asUInt();
    item.hedge_percent = value.get("hedge_percent", item.hedge_percent).asUInt();
    item.retry_percent = value.get("retry_percent", item.retry_percent).asUInt();
    for (const Json::Value& entry : value["shards"])
    {
        shard shard_item;
        shard_item.name = entry["name"].asString();
        for (const Json::Value& replica_entry : entry["replicas"])
            shard_item.replicas.push_back(replica_from_json(replica_entry));
        item.shards.push_back(std::move(shard_item));
    }
    return item;
}

} // namespace

const shard* service::find_shard(const std::string& shard_name) const
{
    const auto position =
        std::find_if(shards.begin(), shards.end(),
                     [&](const shard& shard_item) { return shard_item.name == shard_name; });
    return position == shards.end() ? nullptr : &*position;
}

bool is_valid_name(const std::string& name)
{
    const auto is_allowed = [](char character)
    {
        return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
               (character >= '0' && character <= '9') || character == '-' || character == '_' ||
               character == '.';
    };
    return !name.empty() && name.size() <= max_name_length &&
           std::all_of(name.begin(), name.end(), is_allowed);
}

bool check(const document& candidate, base::error& reason)
{
    std::set<std::string> replica_names;
    for (const auto& [name, item] : candidate.services)
    {
        if (name != item.name)
            return refuse(reason, fmt::format("service \"{}\" is filed under \"{}\"; use one name",
                                              item.name, name));
        if (!check_service(item, replica_names, reason))
            return false;
    }
    for (const std::string& name : candidate.draining)
        if (!replica_names.contains(name))
            return refuse(reason,
                          fmt::format("draining upstream \"{}\" is no replica; create it or "
                                      "restore the upstream",
                                      name));
    return true;
}

Json::Value to_json(const document& value)
{
    Json::Value result;
    result["services"] = Json::arrayValue;
    for (const auto& [name, item] : value.services)
        result["services"].append(to_json(item));
    result["draining"] = Json::arrayValue;
    for (const std::string& name : value.draining)
        result["draining"].append(name);
    return result;
}

std::optional<document> document_from_json(const Json::Value& value, base::error& reason)
{
    document result;
    try
    {
        for (const Json::Value& entry : value["services"])
        {
            service item = service_from_json(entry);
            const std::string name = item.name;
            if (!result.services.emplace(name, std::move(item)).second)
                return base::fail(reason, base::error_kind::invalid_argument,
                                  fmt::format("service \"{}\" occurs twice; remove one", name));
        }
        for (const Json::Value& name : value["draining"])
            result.draining.insert(name.asString());
    }
    catch (const Json::Exception& exception)
    {
        return base::fail(reason, base::error_kind::protocol,
                          fmt::format("the configuration document has a member of the wrong type: "
                                      "{}; write it with ospreystairctl",
                                      exception.what()));
    }
    if (!check(result, reason))
        return std::nullopt;
    return result;
}

std::string_view to_string(service_kind kind)
{
    return kind == service_kind::query ? "query" : "command";
}

std::string_view to_string(preference prefer)
{
    return prefer == preference::latency ? "latency" : "coverage";
}

} // namespace ospreystair::configuration
