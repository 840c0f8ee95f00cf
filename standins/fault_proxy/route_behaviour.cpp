// Applies control documents to the behaviour of a route.

#include "standins/fault_proxy/route_behaviour.hpp"

#include <algorithm>
#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace ospreystair::fault_proxy
{

namespace
{

constexpr std::array<std::pair<std::string_view, route_mode>, 7> mode_names{{
    {"pass", route_mode::pass},
    {"cut", route_mode::cut},
    {"refuse_new", route_mode::refuse_new},
    {"freeze", route_mode::freeze},
    {"drop_forward", route_mode::drop_forward},
    {"drop_backward", route_mode::drop_backward},
    {"half_open", route_mode::half_open},
}};

bool is_not_negative(const Json::Value& value)
{
    return value.isNumeric() && value.asDouble() >= 0;
}

base::duration to_duration(double seconds)
{
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(seconds));
}

} // namespace

std::optional<bool> route_behaviour::apply(const Json::Value& change, base::error& reason)
{
    if (!change.isObject())
        return base::fail(reason, base::error_kind::invalid_argument,
                          "\"set\" is not an object; give an object of members to change");
    route_behaviour updated_behaviour = *this;
    for (const std::string& name : change.getMemberNames())
        if (!updated_behaviour.apply_member(name, change[name]))
            return base::fail(reason, base::error_kind::invalid_argument,
                              fmt::format("\"set\" has an unknown or malformed member \"{}\"; "
                                          "correct or remove it",
                                          name));
    *this = updated_behaviour;
    return true;
}

bool route_behaviour::apply_member(const std::string& name, const Json::Value& value)
{
    if (name == "mode")
        return apply_mode(value);
    if (name == "lose_reply")
        return apply_lose_reply(value);
    if (!is_not_negative(value))
        return false;
    const double number = value.asDouble();
    if (name == "delay_forward_ms")
        m_delay[0] = to_duration(number / 1000);
    else if (name == "delay_backward_ms")
        m_delay[1] = to_duration(number / 1000);
    else if (name == "loss_forward")
        m_loss[0] = number;
    else if (name == "loss_backward")
        m_loss[1] = number;
    else if (name == "bytes_per_second")
        m_bytes_per_second = number;
    else
        return false;
    return true;
}

bool route_behaviour::apply_mode(const Json::Value& value)
{
    for (const auto& [name, mode] : mode_names)
        if (value == std::string(name))
        {
            m_mode = mode;
            return true;
        }
    return false;
}

bool route_behaviour::apply_lose_reply(const Json::Value& value)
{
    m_reply_limit.reset();
    m_replies_to_lose = 0;
    if (value.isNull())
        return true;
    if (!value.isObject() || !value["after_bytes"].isUInt64() ||
        (value.isMember("count") && !value["count"].isUInt64()))
        return false;
    m_reply_limit = value["after_bytes"].asUInt64();
    m_replies_to_lose = value.isMember("count") ? value["count"].asUInt64() : unlimited;
    return true;
}

base::time_point route_behaviour::due_time(direction way, base::time_point now,
                                           base::time_point previous, std::size_t size) const
{
    const base::time_point earliest = std::max(now + m_delay[index(way)], previous);
    if (m_bytes_per_second == 0)
        return earliest;
    return earliest + to_duration(static_cast<double>(size) / m_bytes_per_second);
}

} // namespace ospreystair::fault_proxy
