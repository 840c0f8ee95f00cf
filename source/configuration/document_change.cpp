// Applies changes to a configuration document, and finds the changes between two documents.

#include "configuration/document_change.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace ospreystair::configuration
{

namespace
{

// Sets the error and returns false.
bool refuse(base::error& reason, base::error_kind kind, std::string message)
{
    base::fail(reason, kind, std::move(message));
    return false;
}

template<class Value>
void assign_if_set(Value& target, const std::optional<Value>& value)
{
    if (value)
        target = *value;
}

void assign(service& target, const service_rules& rules)
{
    assign_if_set(target.prefer, rules.prefer);
    assign_if_set(target.deadline, rules.deadline);
    assign_if_set(target.max_concurrency, rules.max_concurrency);
    assign_if_set(target.hedge_percent, rules.hedge_percent);
    assign_if_set(target.retry_percent, rules.retry_percent);
}

void assign(replica& target, const replica_properties& properties)
{
    assign_if_set(target.address, properties.address);
    assign_if_set(target.data_centre, properties.data_centre);
    assign_if_set(target.slots, properties.slots);
    assign_if_set(target.connections, properties.connections);
}

template<class Item>
auto find_named(std::vector<Item>& items, const std::string& name)
{
    return std::find_if(items.begin(), items.end(),
                        [&](const Item& item) { return item.name == name; });
}

// Applies one change to a document per call. Each call fails with invalid_argument or not_found.
class change_applier
{
public:
    change_applier(document& target, base::error& reason) : m_document(target), m_reason(reason) {}

    bool operator()(const create_service& value)
    {
        service item;
        item.name = value.name;
        item.kind = value.kind;
        assign(item, value.rules);
        if (!m_document.services.emplace(value.name, std::move(item)).second)
            return refuse_existing("service", value.name);
        return true;
    }

    bool operator()(const alter_service& value)
    {
        service* const item = find_service(value.name);
        if (item == nullptr)
            return false;
        if (value.rules == service_rules{})
            return refuse(m_reason, base::error_kind::invalid_argument,
                          fmt::format("alter service \"{}\" sets nothing; name at least one rule",
                                      value.name));
        assign(*item, value.rules);
        return true;
    }

    bool operator()(const drop_service& value)
    {
        const service* const item = find_service(value.name);
        if (item == nullptr)
            return false;
        for (const shard& shard_item : item->shards)
            remove_drains(shard_item);
        m_document.services.erase(value.name);
        return true;
    }

    bool operator()(const create_shard& value)
    {
        service* const owner = find_service(value.path.service);
        if (owner == nullptr)
            return false;
        if (owner->find_shard(value.path.shard) != nullptr)
            return refuse_existing("shard", value.path.shard);
        owner->shards.push_back({value.path.shard, {}});
        return true;
    }

    bool operator()(const drop_shard& value)
    {
        const shard* const shard_item = find_shard(value.path);
        if (shard_item == nullptr)
            return false;
        remove_drains(*shard_item);
        std::vector<shard>& shards = m_document.services.at(value.path.service).shards;
        shards.erase(find_named(shards, value.path.shard));
        return true;
    }

    bool operator()(const create_replica& value)
    {
        shard* const shard_item = find_shard(value.path);
        if (shard_item == nullptr)
            return false;
        if (find_shard_of(value.name) != nullptr)
            return refuse_existing("replica", value.name);
        replica item;
        item.name = value.name;
        assign(item, value.properties);
        shard_item->replicas.push_back(std::move(item));
        return true;
    }

    bool operator()(const alter_replica& value)
    {
        shard* const owner = require_shard_of(value.name);
        if (owner == nullptr)
            return false;
        if (value.properties == replica_properties{})
            return refuse(m_reason, base::error_kind::invalid_argument,
                          fmt::format("alter replica \"{}\" sets nothing; name at least one "
                                      "property",
                                      value.name));
        assign(*find_named(owner->replicas, value.name), value.properties);
        return true;
    }

    bool operator()(const drop_replica& value)
    {
        shard* const owner = require_shard_of(value.name);
        if (owner == nullptr)
            return false;
        owner->replicas.erase(find_named(owner->replicas, value.name));
        m_document.draining.erase(value.name);
        return true;
    }

    bool operator()(const drain_upstream& value)
    {
        if (require_shard_of(value.name) == nullptr)
            return false;
        m_document.draining.insert(value.name);
        return true;
    }

    bool operator()(const restore_upstream& value)
    {
        if (require_shard_of(value.name) == nullptr)
            return false;
        m_document.draining.erase(value.name);
        return true;
    }

private:
    bool refuse_existing(const char* type, const std::string& name)
    {
        return refuse(m_reason, base::error_kind::invalid_argument,
                      fmt::format("{0} \"{1}\" exists already; choose another name, or alter {0} "
                                  "or drop it first",
                                  type, name));
    }

    // Sets the error and returns null if the service does not exist.
    service* find_service(const std::string& name)
    {
        const auto position = m_document.services.find(name);
        if (position != m_document.services.end())
            return &position->second;
        base::fail(m_reason, base::error_kind::not_found,
                   fmt::format("service \"{}\" does not exist; see show services", name));
        return nullptr;
    }

    // Sets the error and returns null if the shard does not exist.
    shard* find_shard(const shard_path& path)
    {
        service* const owner = find_service(path.service);
        if (owner == nullptr)
            return nullptr;
        const auto position = find_named(owner->shards, path.shard);
        if (position != owner->shards.end())
            return &*position;
        base::fail(m_reason, base::error_kind::not_found,
                   fmt::format("shard \"{}\" of service \"{}\" does not exist; see show shards",
                               path.shard, path.service));
        return nullptr;
    }

    // Returns the shard that a replica belongs to, or null.
    shard* find_shard_of(const std::string& replica_name)
    {
        for (auto& [name, item] : m_document.services)
            for (shard& shard_item : item.shards)
                if (find_named(shard_item.replicas, replica_name) != shard_item.replicas.end())
                    return &shard_item;
        return nullptr;
    }

    // Like find_shard_of(), but sets the error if the replica does not exist.
    shard* require_shard_of(const std::string& replica_name)
    {
        shard* const owner = find_shard_of(replica_name);
        if (owner == nullptr)
            base::fail(
                m_reason, base::error_kind::not_found,
                fmt::format("replica \"{}\" does not exist; see show replicas", replica_name));
        return owner;
    }

    void remove_drains(const shard& shard_item)
    {
        for (const replica& item : shard_item.replicas)
            m_document.draining.erase(item.name);
    }

    document& m_document;
    base::error& m_reason;
};

service_rules rules_of(const service& item)
{
    return {item.prefer, item.deadline, item.max_concurrency, item.hedge_percent,
            item.retry_percent};
}

// Returns `after` if it differs from `before`.
template<class Value>
std::optional<Value> value_if_changed(const Value& before, const Value& after)
{
    return before == after ? std::nullopt : std::optional<Value>(after);
}

service_rules rules_between(const service& before, const service& after)
{
    return {value_if_changed(before.prefer, after.prefer),
            value_if_changed(before.deadline, after.deadline),
            value_if_changed(before.max_concurrency, after.max_concurrency),
            value_if_changed(before.hedge_percent, after.hedge_percent),
            value_if_changed(before.retry_percent, after.retry_percent)};
}

replica_properties properties_between(const replica& before, const replica& after)
{
    return {value_if_changed(before.address, after.address),
            value_if_changed(before.data_centre, after.data_centre),
            value_if_changed(before.slots, after.slots),
            value_if_changed(before.connections, after.connections)};
}

// A replica and the shard that it belongs to.
struct placed_replica
{
    shard_path path;
    const replica* item = nullptr;
};

std::map<std::string, placed_replica> replicas_of(const document& value)
{
    std::map<std::string, placed_replica> result;
    for (const auto& [name, item] : value.services)
        for (const shard& shard_item : item.shards)
            for (const replica& replica_item : shard_item.replicas)
                result[replica_item.name] = {{name, shard_item.name}, &replica_item};
    return result;
}

// The append_* functions append the statements that lead from `before` to `after`. Dropped services
// and shards, and the drains of all dropped replicas, are also removed from `before`, so that later
// steps do not drop them again.

// A service whose kind changes is dropped and created again, because the guarantees for its
// requests change.
void append_service_drops(document& before, const document& after, std::vector<change>& changes)
{
    for (auto position = before.services.begin(); position != before.services.end();)
    {
        const auto service_after = after.services.find(position->first);
        if (service_after != after.services.end() &&
            service_after->second.kind == position->second.kind)
        {
            ++position;
            continue;
        }
        changes.emplace_back(drop_service{position->first});
        for (const shard& shard_item : position->second.shards)
            for (const replica& item : shard_item.replicas)
                before.draining.erase(item.name);
        position = before.services.erase(position);
    }
}

void append_service_changes(const document& before, const document& after,
                            std::vector<change>& changes)
{
    for (const auto& [name, item] : after.services)
    {
        const auto previous = before.services.find(name);
        if (previous == before.services.end())
        {
            changes.emplace_back(create_service{name, item.kind, rules_of(item)});
            continue;
        }
        const service_rules rules = rules_between(previous->second, item);
        if (rules != service_rules{})
            changes.emplace_back(alter_service{name, rules});
    }
}

void append_shard_drops(document& before, const document& after, std::vector<change>& changes)
{
    for (auto& [name, item] : before.services)
    {
        const service& service_after = after.services.at(name);
        std::erase_if(item.shards,
                      [&, &service_name = name](const shard& shard_item)
                      {
                          if (service_after.find_shard(shard_item.name) != nullptr)
                              return false;
                          changes.emplace_back(drop_shard{{service_name, shard_item.name}});
                          for (const replica& replica_item : shard_item.replicas)
                              before.draining.erase(replica_item.name);
                          return true;
                      });
    }
}

void append_shard_creations(const document& before, const document& after,
                            std::vector<change>& changes)
{
    for (const auto& [name, item] : after.services)
    {
        const auto previous = before.services.find(name);
        for (const shard& shard_item : item.shards)
            if (previous == before.services.end() ||
                previous->second.find_shard(shard_item.name) == nullptr)
                changes.emplace_back(create_shard{{name, shard_item.name}});
    }
}

void append_replica_changes(document& before, const document& after, std::vector<change>& changes)
{
    auto old_replicas = replicas_of(before);
    const auto new_replicas = replicas_of(after);
    // A replica that moves to another shard is dropped first, because replica names are unique.
    for (auto position = old_replicas.begin(); position != old_replicas.end();)
    {
        const auto replica_after = new_replicas.find(position->first);
        if (replica_after != new_replicas.end() &&
            replica_after->second.path == position->second.path)
        {
            ++position;
            continue;
        }
        changes.emplace_back(drop_replica{position->first});
        before.draining.erase(position->first);
        position = old_replicas.erase(position);
    }
    for (const auto& [name, placement] : new_replicas)
    {
        const replica& item = *placement.item;
        const auto previous = old_replicas.find(name);
        if (previous == old_replicas.end())
        {
            changes.emplace_back(
                create_replica{name,
                               placement.path,
                               {item.address, item.data_centre, item.slots, item.connections}});
            continue;
        }
        const replica_properties properties = properties_between(*previous->second.item, item);
        if (properties != replica_properties{})
            changes.emplace_back(alter_replica{name, properties});
    }
}

void append_drain_changes(const document& before, const document& after,
                          std::vector<change>& changes)
{
    for (const std::string& name : before.draining)
        if (!after.draining.contains(name))
            changes.emplace_back(restore_upstream{name});
    for (const std::string& name : after.draining)
        if (!before.draining.contains(name))
            changes.emplace_back(drain_upstream{name});
}

} // namespace

document normalize(document value)
{
    const auto by_name = [](const auto& left, const auto& right)
    {
        return left.name < right.name;
    };
    for (auto& [name, item] : value.services)
    {
        std::sort(item.shards.begin(), item.shards.end(), by_name);
        for (shard& shard_item : item.shards)
            std::sort(shard_item.replicas.begin(), shard_item.replicas.end(), by_name);
    }
    return value;
}

std::optional<document> apply(const std::vector<change>& changes, const document& before,
                              base::error& reason)
{
    document result = before;
    std::size_t statement_number = 0;
    for (const change& item : changes)
    {
        ++statement_number;
        if (std::visit(change_applier(result, reason), item))
            continue;
        reason.message =
            fmt::format("statement {} ({}): {}", statement_number, print(item), reason.message);
        return std::nullopt;
    }
    if (!check(result, reason))
        return std::nullopt;
    return normalize(std::move(result));
}

std::vector<change> changes_between(const document& before, const document& after)
{
    std::vector<change> changes;
    document remaining = before;
    append_service_drops(remaining, after, changes);
    append_shard_drops(remaining, after, changes);
    append_service_changes(remaining, after, changes);
    append_shard_creations(remaining, after, changes);
    append_replica_changes(remaining, after, changes);
    append_drain_changes(remaining, after, changes);
    return changes;
}

} // namespace ospreystair::configuration
