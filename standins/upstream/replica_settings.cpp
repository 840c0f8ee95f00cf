// Parses the --replicas setting.

#include "standins/upstream/replica_settings.hpp"

#include <charconv>
#include <set>
#include <string_view>

#include <fmt/format.h>

namespace ospreystair::standin_upstream
{

namespace
{

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty())
    {
        const std::size_t position = text.find(separator);
        if (position != 0)
            parts.emplace_back(text.substr(0, position));
        text = position == std::string_view::npos ? std::string_view{} : text.substr(position + 1);
    }
    return parts;
}

template<class Number>
bool parse_number(const std::string& text, Number& result)
{
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, result);
    return parsed.ec == std::errc{} && parsed.ptr == end && result >= 0;
}

bool set_member(replica_settings& replica, const std::string& key, const std::string& value)
{
    if (key == "name")
        replica.name = value;
    else if (key == "address")
    {
        const auto address = settings::socket_address::from_text(value);
        if (!address)
            return false;
        replica.address = *address;
    }
    else if (key == "shards")
        replica.shards = split(value, '+');
    else if (key == "version")
        return parse_number(value, replica.version);
    else if (key == "slots")
        return parse_number(value, replica.slots);
    else if (key == "queue")
        return parse_number(value, replica.queue);
    else if (key == "connections")
        return parse_number(value, replica.connections);
    else if (key == "connect_ms")
        return parse_number(value, replica.connect_ms);
    else if (key == "base_ms")
        return parse_number(value, replica.base_ms);
    else
        return false;
    return true;
}

std::nullopt_t fail_settings(base::error& reason, const std::string& what)
{
    return base::fail(reason, base::error_kind::invalid_settings,
                      fmt::format("--replicas: {}; give entries such as "
                                  "name=a,address=127.0.0.1:9000,shards=s0+s1,version=1,slots=2,"
                                  "queue=16,connections=25,connect_ms=6,base_ms=1 separated by ;",
                                  what));
}

} // namespace

std::optional<std::vector<replica_settings>> parse_replicas(const std::string& text,
                                                            base::error& reason)
{
    std::vector<replica_settings> replicas;
    std::set<std::string> names;
    for (const std::string& entry : split(text, ';'))
    {
        replica_settings replica;
        for (const std::string& item : split(entry, ','))
        {
            const std::size_t equals = item.find('=');
            if (equals == std::string::npos ||
                !set_member(replica, item.substr(0, equals), item.substr(equals + 1)))
                return fail_settings(reason, fmt::format("\"{}\" is not valid", item));
        }
        if (replica.name.empty() || replica.address.host.empty() || replica.shards.empty() ||
            replica.slots == 0)
            return fail_settings(reason,
                                 fmt::format("\"{}\" lacks name, address, shards or slots", entry));
        if (!names.insert(replica.name).second)
            return fail_settings(reason, fmt::format("the name \"{}\" occurs twice", replica.name));
        replicas.push_back(std::move(replica));
    }
    if (replicas.empty())
        return fail_settings(reason, "the list is empty");
    return replicas;
}

} // namespace ospreystair::standin_upstream
