// Formats statements as text.

#include "configuration/command.hpp"

#include <fmt/format.h>

namespace ospreystair::configuration
{

namespace
{

std::string print_rules(const service_rules& rules)
{
    std::string text;
    if (rules.prefer)
        text += fmt::format(" prefer {}", to_string(*rules.prefer));
    if (rules.deadline)
        text += fmt::format(" deadline {}ms", rules.deadline->count());
    if (rules.max_concurrency)
        text += fmt::format(" max_concurrency {}", *rules.max_concurrency);
    if (rules.hedge_percent)
        text += fmt::format(" hedge_percent {}", *rules.hedge_percent);
    if (rules.retry_percent)
        text += fmt::format(" retry_percent {}", *rules.retry_percent);
    return text;
}

std::string print_properties(const replica_properties& properties)
{
    std::string text;
    if (properties.address)
        text += fmt::format(" at {}", properties.address->to_text());
    if (properties.data_centre)
        text += fmt::format(" data_centre {}", *properties.data_centre);
    if (properties.slots)
        text += fmt::format(" slots {}", *properties.slots);
    if (properties.connections)
        text += fmt::format(" connections {}", *properties.connections);
    return text;
}

// The dotted form is ambiguous if a name contains a dot.
std::string print_path(const shard_path& path)
{
    const bool has_dot =
        path.service.find('.') != std::string::npos || path.shard.find('.') != std::string::npos;
    return has_dot ? fmt::format("{} of {}", path.shard, path.service)
                   : fmt::format("{}.{}", path.service, path.shard);
}

struct change_printer
{
    std::string operator()(const create_service& value) const
    {
        return fmt::format("create service {} kind {}{}", value.name, to_string(value.kind),
                           print_rules(value.rules));
    }
    std::string operator()(const alter_service& value) const
    {
        return fmt::format("alter service {} set{}", value.name, print_rules(value.rules));
    }
    std::string operator()(const drop_service& value) const
    {
        return fmt::format("drop service {}", value.name);
    }
    std::string operator()(const create_shard& value) const
    {
        return fmt::format("create shard {} in {}", value.path.shard, value.path.service);
    }
    std::string operator()(const drop_shard& value) const
    {
        return fmt::format("drop shard {} in {}", value.path.shard, value.path.service);
    }
    std::string operator()(const create_replica& value) const
    {
        return fmt::format("create replica {} in {}{}", value.name, print_path(value.path),
                           print_properties(value.properties));
    }
    std::string operator()(const alter_replica& value) const
    {
        return fmt::format("alter replica {} set{}", value.name,
                           print_properties(value.properties));
    }
    std::string operator()(const drop_replica& value) const
    {
        return fmt::format("drop replica {}", value.name);
    }
    std::string operator()(const drain_upstream& value) const
    {
        return fmt::format("drain upstream {}", value.name);
    }
    std::string operator()(const restore_upstream& value) const
    {
        return fmt::format("restore upstream {}", value.name);
    }
};

struct inquiry_printer
{
    std::string operator()(const show& value) const
    {
        return fmt::format("show {}", to_string(value.topic));
    }
    std::string operator()(const show_version& value) const
    {
        return fmt::format("show configuration version {}", value.version);
    }
    std::string operator()(const compare_versions& value) const
    {
        return fmt::format("compare version {} with {}", value.from, value.to);
    }
    std::string operator()(const check_changes& value) const
    {
        return fmt::format("check {{ {} }}", print(value.changes));
    }
};

struct command_printer
{
    std::string operator()(const change_set& value) const
    {
        const std::string changes = print(value.changes);
        return value.expected_version
                   ? fmt::format("expect version {}; {}", *value.expected_version, changes)
                   : changes;
    }
    std::string operator()(const publish_index& value) const
    {
        std::string text = fmt::format("publish index {} version {}", value.service, value.version);
        if (!value.shards.empty())
            text += fmt::format(" shards {}", fmt::join(value.shards, ", "));
        if (value.set_current)
            text += " set current";
        return text;
    }
    std::string operator()(const std::vector<inquiry>& value) const
    {
        std::string text;
        for (const inquiry& item : value)
        {
            if (!text.empty())
                text += "; ";
            text += std::visit(inquiry_printer{}, item);
        }
        return text;
    }
};

} // namespace

bool is_read_only(const command& value)
{
    return std::holds_alternative<std::vector<inquiry>>(value);
}

std::string print(const change& value)
{
    return std::visit(change_printer{}, value);
}

std::string print(const std::vector<change>& changes)
{
    std::string text;
    for (const change& item : changes)
    {
        if (!text.empty())
            text += "; ";
        text += print(item);
    }
    return text;
}

std::string print(const command& value)
{
    return std::visit(command_printer{}, value);
}

std::string_view to_string(show_topic topic)
{
    switch (topic)
    {
    case show_topic::services:
        return "services";
    case show_topic::shards:
        return "shards";
    case show_topic::replicas:
        return "replicas";
    case show_topic::members:
        return "members";
    case show_topic::configuration:
        return "configuration";
    case show_topic::indexes:
        return "indexes";
    case show_topic::draining:
        return "draining";
    case show_topic::history:
        return "history";
    }
    return "configuration";
}

} // namespace ospreystair::configuration
