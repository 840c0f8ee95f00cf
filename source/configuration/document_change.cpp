// Applies changes to a configuration document, and finds the changes between two documents.

#include "configuration/document_change.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace ospreystair::configuration
{

namespace
{

bool refuse(base::error& reason, base::error_kind kind, std::string message)
{
    base::fail(reason, kind, std::move(message));
    return false;
}

template<class Value>
void assign_if(Value& target, const std::optional<Value>& value)
{
    if (value)
        target = *value;
}

void assign(service& target, const service_rules& rules)
{
    assign_if(target.prefer, rules.prefer);
    assign_if(target.deadline, rules.deadline);
    assign_if(target.max_concurrency, rules.max_concurrency);
    assign_if(target.hedge_percent, rules.hedge_percent);
    assign_if(target.retry_percent, rules.retry_percent);
}

void assign(replica& target, const replica_properties& properties)
{
    assign_if(target.address, properties.address);
    assign_if(target.data_centre, properties.data_centre);
    assign_if(target.slots, properties.slots);
    assign_if(target.connections, properties.connections);
}

template<class Item>
auto find_named(std::vector<Item>& items, const std::string& name)
{
    return std::find_if(items.begin(), items.end(),
                        [&](const Item& item) { return item.name == name; });
}

// Applies one change to a document. Each call fails with invalid_argument or not_found.
class change_applier
{
public:
    change_applier(document& target, base::error& reason) : m_target(target), m_reason(reason) {}

    bool operator()(const create_service& value)
    {
        service item;
        item.name = value.name;
        item.kind = value.kind;
        assign(item, value.rules);
        if (!m_target.services.emplace(value.name, std::move(item)).second)
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
        for (const shard& part : item->shards)
            forget_drains(part);
        m_target.services.erase(value.name);
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
        const shard* const part = find_shard(value.path);
        if (part == nullptr)
            return false;
        forget_drains(*part);
        std::vector<shard>& shards = m_target.services.at(value.path.service).shards;
        shards.erase(find_named(shards, value.path.shard));
        return true;
    }

    bool operator()(const create_replica& value)
    {
        shard* const part = find_shard(value.path);
        if (part == nullptr)
            return false;
        if (owner_of(value.name) != nullptr)
            return refuse_existing("replica", value.name);
        replica item;
        item.name = value.name;
        assign(item, value.properties);
        part->replicas.push_back(std::move(item));
        return true;
    }

    bool operator()(const alter_replica& value)
    {
        shard* const owner = find_owner(value.name);
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
        shard* const owner = find_owner(value.name);
        if (owner == nullptr)
            return false;
        owner->replicas.erase(find_named(owner->replicas, value.name));
        m_target.draining.erase(value.name);
        return true;
    }

    bool operator()(const drain_upstream& value)
    {
        if (find_owner(value.name) == nullptr)
            return false;
        m_target.draining.insert(value.name);
        return true;
    }

    bool operator()(const restore_upstream& value)
    {
        if (find_owner(value.name) == nullptr)
            return false;
        m_target.draining.erase(value.name);
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

    service* find_service(const std::string& name)
    {
        const auto position = m_target.services.find(name);
        if (position != m_target.services.end())
            return &position->second;
        base::fail(m_reason, base::error_kind::not_found,
                   fmt::format("service \"{}\" does not exist; see show services", name));
        return nullptr;
    }

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

    // Returns the shard that holds a replica, or null.
    shard* owner_of(const std::string& replica_name)
    {
        for (auto& [name, item] : m_target.services)
            for (shard& part : item.shards)
                if (find_named(part.replicas, replica_name) != part.replicas.end())
                    return &part;
        return nullptr;
    }

    shard* find_owner(const std::string& replica_name)
    {
        shard* const owner = owner_of(replica_name);
        if (owner == nullptr)
            base::fail(
                m_reason, base::error_kind::not_found,
                fmt::format("replica \"{}\" does not exist; see show replicas", replica_name));
        return owner;
    }

    void forget_drains(const shard& part)
    {
        for (const replica& item : part.replicas)
            m_target.draining.erase(item.name);
    }

    document& m_target;
    base::error& m_reason;
};

service_rules rules_of(const service& item)
{
    return {item.prefer, item.deadline, item.max_concurrency, item.hedge_percent,
            item.retry_percent};
}

// Keeps the values that differ.
template<class Value>
std::optional<Value> difference(const Value& before, const Value& after)
{
    return before == after ? std::nullopt : std::optional<Value>(after);
}

service_rules rules_between(const service& before, const service& after)
{
    return {difference(before.prefer, after.prefer), difference(before.deadline, after.deadline),
            difference(before.max_concurrency, after.max_concurrency),
            difference(before.hedge_percent, after.hedge_percent),
            difference(before.retry_percent, after.retry_percent)};
}

replica_properties properties_between(const replica& before, const replica& after)
{
    return {difference(before.address, after.address),
            difference(before.data_centre, after.data_centre),
            difference(before.slots, after.slots),
            difference(before.connections, after.connections)};
}

/// A replica and the shard that it belongs to.
struct placed_replica
{
    shard_path path;
    const replica* item = nullptr;
};

std::map<std::string, placed_replica> replicas_of(const document& value)
{
    std::map<std::string, placed_replica> result;
    for (const auto& [name, item] : value.services)
        for (const shard& part : item.shards)
            for (const replica& copy : part.replicas)
                result[copy.name] = {{name, part.name}, &copy};
    return result;
}

// A service whose kind changes is dropped and created again, because its requests get other
// guarantees. `before` loses what is dropped.
void drop_services(document& before, const document& after, std::vector<change>& changes)
{
    for (auto position = before.services.begin(); position != before.services.end();)
    {
        const auto kept = after.services.find(position->first);
        if (kept != after.services.end() && kept->second.kind == position->second.kind)
        {
            ++position;
            continue;
        }
        changes.emplace_back(drop_service{position->first});
        for (const shard& part : position->second.shards)
            for (const replica& item : part.replicas)
                before.draining.erase(item.name);
        position = before.services.erase(position);
    }
}

void change_services(const document& before, const document& after, std::vector<change>& changes)
{
    for (const auto& [name, item] : after.services)
    {
        const auto old = before.services.find(name);
        if (old == before.services.end())
        {
            changes.emplace_back(create_service{name, item.kind, rules_of(item)});
            continue;
        }
        const service_rules rules = rules_between(old->second, item);
        if (rules != service_rules{})
            changes.emplace_back(alter_service{name, rules});
    }
}

void drop_shards(document& before, const document& after, std::vector<change>& changes)
{
    for (auto& [name, item] : before.services)
    {
        const service& kept = after.services.at(name);
        std::erase_if(item.shards,
                      [&, &service_name = name](const shard& part)
                      {
                          if (kept.find_shard(part.name) != nullptr)
                              return false;
                          changes.emplace_back(drop_shard{{service_name, part.name}});
                          for (const replica& copy : part.replicas)
                              before.draining.erase(copy.name);
                          return true;
                      });
    }
}

void create_shards(const document& before, const document& after, std::vector<change>& changes)
{
    for (const auto& [name, item] : after.services)
    {
        const auto old = before.services.find(name);
        for (const shard& part : item.shards)
            if (old == before.services.end() || old->second.find_shard(part.name) == nullptr)
                changes.emplace_back(create_shard{{name, part.name}});
    }
}

void change_replicas(document& before, const document& after, std::vector<change>& changes)
{
    auto old_replicas = replicas_of(before);
    const auto new_replicas = replicas_of(after);
    // A replica that moves to another shard is dropped there first, because names are unique.
    for (auto position = old_replicas.begin(); position != old_replicas.end();)
    {
        const auto kept = new_replicas.find(position->first);
        if (kept != new_replicas.end() && kept->second.path == position->second.path)
        {
            ++position;
            continue;
        }
        changes.emplace_back(drop_replica{position->first});
        before.draining.erase(position->first);
        position = old_replicas.erase(position);
    }
    for (const auto& [name, placed] : new_replicas)
    {
        const replica& item = *placed.item;
        const auto old = old_replicas.find(name);
        if (old == old_replicas.end())
        {
            changes.emplace_back(create_replica{
                name, placed.path, {item.address, item.data_centre, item.slots, item.connections}});
            continue;
        }
        const replica_properties properties = properties_between(*old->second.item, item);
        if (properties != replica_properties{})
            changes.emplace_back(alter_replica{name, properties});
    }
}

void change_drains(const document& before, const document& after, std::vector<change>& changes)
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
        for (shard& part : item.shards)
            std::sort(part.replicas.begin(), part.replicas.end(), by_name);
    }
    return value;
}

std::optional<document> apply(const std::vector<change>& changes, const document& before,
                              base::error& reason)
{
    document result = before;
    std::size_t number = 0;
    for (const change& item : changes)
    {
        ++number;
        if (std::visit(change_applier(result, reason), item))
            continue;
        reason.message = fmt::format("statement {} ({}): {}", number, print(item), reason.message);
        return std::nullopt;
    }
    if (!check(result, reason))
        return std::nullopt;
    return normalize(std::move(result));
}

std::vector<change> changes_between(const document& before, const document& after)
{
    std::vector<change> changes;
    document rest = before;
    drop_services(rest, after, changes);
    drop_shards(rest, after, changes);
    change_services(rest, after, changes);
    create_shards(rest, after, changes);
    change_replicas(rest, after, changes);
    change_drains(rest, after, changes);
    return changes;
}

} // namespace ospreystair::configuration
