// Applies control documents to the behaviour of a replica.

#include "standins/upstream/behaviour.hpp"

#include <array>
#include <charconv>
#include <utility>

#include <fmt/format.h>

namespace ospreystair::standin_upstream
{

namespace
{

constexpr std::array<std::pair<std::string_view, fault_kind>, 9> fault_names{{
    {"error_body", fault_kind::error_body},
    {"empty", fault_kind::empty},
    {"wrong_version", fault_kind::wrong_version},
    {"truncate", fault_kind::truncate},
    {"freeze", fault_kind::freeze},
    {"lose_reply", fault_kind::lose_reply},
    {"late", fault_kind::late},
    {"shed", fault_kind::shed},
    {"internal_error", fault_kind::internal_error},
}};

bool set_number(double& target, const Json::Value& value)
{
    if (!value.isNumeric() || value.asDouble() < 0)
        return false;
    target = value.asDouble();
    return true;
}

template<class Integer>
bool set_integer(Integer& target, const Json::Value& value)
{
    if (!value.isUInt64())
        return false;
    target = static_cast<Integer>(value.asUInt64());
    return true;
}

bool set_flag(bool& target, const Json::Value& value)
{
    if (!value.isBool())
        return false;
    target = value.asBool();
    return true;
}

std::optional<std::set<std::string>> read_shards(const Json::Value& value)
{
    if (!value.isArray())
        return std::nullopt;
    std::set<std::string> shards;
    for (const Json::Value& item : value)
    {
        if (!item.isString())
            return std::nullopt;
        shards.insert(item.asString());
    }
    return shards;
}

std::optional<fault> read_fault(const Json::Value& value)
{
    if (!value.isObject() || !value["kind"].isString())
        return std::nullopt;
    fault result;
    bool is_known = false;
    for (const auto& [name, kind] : fault_names)
        if (name == value["kind"].asString())
        {
            result.kind = kind;
            is_known = true;
        }
    double delay_ms = 0;
    std::uint64_t count = 0;
    if (!is_known ||
        (value.isMember("probability") && !set_number(result.probability, value["probability"])) ||
        (value.isMember("delay_ms") && !set_number(delay_ms, value["delay_ms"])) ||
        (value.isMember("version") && !set_integer(result.version, value["version"])) ||
        (value.isMember("count") && !set_integer(count, value["count"])))
        return std::nullopt;
    result.delay = behaviour::to_microseconds(delay_ms);
    if (value.isMember("count"))
        result.remaining = count;
    if (value.isMember("only"))
    {
        if (value["only"] != "search" && value["only"] != "command")
            return std::nullopt;
        result.applies_to =
            value["only"] == "search" ? request_kind::search : request_kind::command;
    }
    return result;
}

} // namespace

behaviour::behaviour(const replica_settings& settings, base::time_point now)
    : slots(settings.slots), queue(settings.queue), connections(settings.connections),
      connect_ms(settings.connect_ms), base_ms(settings.base_ms), m_cold_until(now)
{
    versions[settings.version] = {settings.shards.begin(), settings.shards.end()};
}

std::optional<bool> behaviour::apply(const Json::Value& change, base::time_point now,
                                     base::error& reason)
{
    if (!change.isObject())
        return base::fail(reason, base::error_kind::invalid_argument,
                          "\"set\" is not an object; give an object of members to change");
    behaviour updated_behaviour = *this;
    for (const std::string& name : change.getMemberNames())
        if (!updated_behaviour.apply_member(name, change[name], now))
            return base::fail(reason, base::error_kind::invalid_argument,
                              fmt::format("\"set\" has an unknown or malformed member \"{}\"; "
                                          "correct or remove it",
                                          name));
    *this = std::move(updated_behaviour);
    return true;
}

bool behaviour::apply_member(const std::string& name, const Json::Value& value,
                             base::time_point now)
{
    if (name == "slots")
        return set_integer(slots, value) && slots > 0;
    if (name == "queue")
        return set_integer(queue, value);
    if (name == "connections")
        return set_integer(connections, value);
    if (name == "connect_ms")
        return set_number(connect_ms, value);
    if (name == "base_ms")
        return set_number(base_ms, value);
    if (name == "straggler_probability")
        return set_number(straggler_probability, value);
    if (name == "straggler_factor")
        return set_number(straggler_factor, value);
    if (name == "cold_start_factor")
        return set_number(cold_start_factor, value);
    if (name == "drain_refuse_after_ms")
        return set_number(drain_refuse_after_ms, value);
    if (name == "shed_probability")
        return set_number(shed_probability, value);
    if (name == "retry_after_s")
        return set_integer(retry_after_s, value);
    if (name == "request_limit")
    {
        request_limit.reset();
        return value.isNull() || set_number(request_limit.emplace(), value);
    }
    if (name == "ignore_cancellation")
        return set_flag(ignores_cancellation, value);
    if (name == "repeat_replies")
        return set_flag(repeats_replies, value);
    if (name == "frozen")
        return set_flag(is_frozen, value);
    if (name == "faults")
        return apply_faults(value);
    if (name == "versions" || name == "publish" || name == "drop")
        return apply_versions(name, value);
    if (name == "cold_start_ms")
    {
        double time = 0;
        if (!set_number(time, value))
            return false;
        m_cold_until = now + to_microseconds(time);
        return true;
    }
    if (name == "draining")
    {
        if (!value.isBool())
            return false;
        if (!value.asBool())
            m_drain_start.reset();
        else if (!m_drain_start)
            m_drain_start = now;
        return true;
    }
    if (name == "health")
    {
        reported_health.reset();
        if (value == "ok" || value == "failing")
            reported_health = value == "ok";
        return reported_health || value == "auto";
    }
    if (name == "load")
    {
        reported_load.reset();
        if (value.isObject())
            reported_load = value;
        return value.isObject() || value.isNull();
    }
    return false;
}

bool behaviour::apply_versions(const std::string& name, const Json::Value& value)
{
    if (name == "drop")
    {
        if (!value.isArray())
            return false;
        for (const Json::Value& item : value)
        {
            if (!item.isUInt64())
                return false;
            versions.erase(item.asUInt64());
        }
        return true;
    }
    if (name == "publish")
    {
        if (!value.isObject() || !value["version"].isUInt64())
            return false;
        const auto shards = read_shards(value["shards"]);
        if (shards)
            versions[value["version"].asUInt64()] = *shards;
        return shards.has_value();
    }
    if (!value.isObject())
        return false;
    versions.clear();
    for (const std::string& key : value.getMemberNames())
    {
        std::uint64_t version = 0;
        const char* const end = key.data() + key.size();
        const auto parsed = std::from_chars(key.data(), end, version);
        const auto shards = read_shards(value[key]);
        if (parsed.ec != std::errc{} || parsed.ptr != end || !shards)
            return false;
        versions[version] = *shards;
    }
    return true;
}

bool behaviour::apply_faults(const Json::Value& value)
{
    if (!value.isArray())
        return false;
    m_faults.clear();
    for (const Json::Value& item : value)
    {
        const auto parsed_fault = read_fault(item);
        if (!parsed_fault)
            return false;
        m_faults.push_back(*parsed_fault);
    }
    return true;
}

bool behaviour::holds_shard(std::uint64_t version, const std::string& shard) const
{
    const auto position = versions.find(version);
    return position != versions.end() && position->second.contains(shard);
}

bool behaviour::holds_shard_in_any_version(const std::string& shard) const
{
    for (const auto& [version, shards] : versions)
        if (shards.contains(shard))
            return true;
    return false;
}

std::string behaviour::versions_text() const
{
    std::string text;
    for (const auto& [version, shards] : versions)
        text += fmt::format("{}{}", text.empty() ? "" : ",", version);
    return text;
}

} // namespace ospreystair::standin_upstream
