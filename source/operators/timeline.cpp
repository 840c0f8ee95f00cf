// Reads, merges and filters events.

#include "operators/timeline.hpp"

#include <algorithm>
#include <charconv>
#include <ctime>
#include <map>
#include <tuple>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include "rpc/rpc_server.hpp"

namespace ospreystair::operators
{

namespace
{

// Removes the next `name=value` field from `rest`; a quoted value may contain spaces.
std::optional<std::pair<std::string, std::string>> take_field(std::string_view& rest)
{
    const std::size_t start = rest.find_first_not_of(' ');
    if (start == std::string_view::npos)
        return std::nullopt;
    rest.remove_prefix(start);
    const std::size_t equals = rest.find('=');
    if (equals == std::string_view::npos || rest.substr(0, equals).find(' ') != std::string::npos)
        return std::nullopt;
    std::pair<std::string, std::string> result;
    result.first = rest.substr(0, equals);
    rest.remove_prefix(equals + 1);
    if (!rest.starts_with('"'))
    {
        const std::size_t end = std::min(rest.find(' '), rest.size());
        result.second = rest.substr(0, end);
        rest.remove_prefix(end);
        return result;
    }
    std::size_t position = 1;
    while (position < rest.size() && rest[position] != '"')
    {
        if (rest[position] == '\\' && position + 1 < rest.size())
            ++position;
        result.second += rest[position];
        ++position;
    }
    if (position >= rest.size())
        return std::nullopt;
    rest.remove_prefix(position + 1);
    return result;
}

std::string wall_time(std::chrono::milliseconds time)
{
    const auto seconds = std::chrono::floor<std::chrono::seconds>(time);
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z",
                       fmt::gmtime(static_cast<std::time_t>(seconds.count())),
                       (time - seconds).count());
}

auto process_of(const timeline_event& item)
{
    return std::tie(item.vm, item.process);
}

bool matches_filter(const timeline_event& item, const timeline_filter& filter)
{
    return (filter.request_id.empty() || item.request_id == filter.request_id) &&
           (filter.name.empty() || item.name == filter.name) && item.when.physical >= filter.since;
}

// By VM: the first and last time of the events without a request that belong to the filter's
// request.
using time_ranges =
    std::map<std::string, std::pair<std::chrono::milliseconds, std::chrono::milliseconds>>;

time_ranges find_time_ranges(const std::vector<timeline_event>& events,
                             const timeline_filter& filter)
{
    time_ranges result;
    if (filter.request_id.empty() || filter.around.count() == 0)
        return result;
    for (const timeline_event& item : events)
    {
        if (item.request_id != filter.request_id)
            continue;
        const auto time = item.when.physical;
        const auto found = result.try_emplace(item.vm, time - filter.around, time).first;
        found->second.first = std::min(found->second.first, time - filter.around);
        found->second.second = std::max(found->second.second, time);
    }
    return result;
}

bool is_in_time_range(const timeline_event& item, const time_ranges& ranges)
{
    const auto found = ranges.find(item.vm);
    return found != ranges.end() && item.request_id.empty() &&
           item.when.physical >= found->second.first && item.when.physical <= found->second.second;
}

std::string text_of(const Json::Value& value)
{
    if (value.isString())
        return value.asString();
    // fmt prints the shortest form; the JSON writer adds digits.
    return value.type() == Json::realValue ? fmt::format("{}", value.asDouble())
                                           : rpc::to_text(value);
}

// Parses a line of observe::json_log. It has no logical time, so the line number orders the events
// of one millisecond.
std::optional<timeline_event> event_from_json_line(std::string_view line, std::uint64_t number)
{
    base::error ignored;
    const auto document = rpc::parse_json(std::string(line), ignored);
    if (!document || !document->isObject() || !(*document)["time_ms"].isInt64() ||
        !(*document)["event"].isString())
        return std::nullopt;
    timeline_event result;
    result.sequence = number;
    result.process = "gateway";
    result.when.physical = std::chrono::milliseconds{(*document)["time_ms"].asInt64()};
    result.when.logical = static_cast<std::uint32_t>(number);
    for (const std::string& name : document->getMemberNames())
    {
        const Json::Value& value = (*document)[name];
        std::string text = text_of(value);
        if (name == "level")
            result.level = std::move(text);
        else if (name == "event")
            result.name = std::move(text);
        else if (name == "vm")
            result.vm = std::move(text);
        else if (name == "data_centre")
            result.data_centre = std::move(text);
        else if (name == "request")
            result.request_id = std::move(text);
        else if (name != "time_ms")
            result.fields.emplace_back(name, std::move(text));
    }
    return result;
}

// Throws Json::Exception when a member has another type.
timeline_event event_from_json(const Json::Value& value)
{
    timeline_event result;
    result.when = observe::stamp::from_text(value["stamp"].asString()).value_or(observe::stamp{});
    result.sequence = value["sequence"].asUInt64();
    result.level = value["level"].asString();
    result.name = value["event"].asString();
    result.request_id = value["request"].asString();
    for (const std::string& name : value["fields"].getMemberNames())
        result.fields.emplace_back(name, value["fields"][name].asString());
    return result;
}

} // namespace

std::optional<timeline_event> event_from_line(std::string_view line, std::uint64_t number)
{
    // A log collector may have added a prefix to the line.
    const std::size_t brace = line.find("{\"time_ms\":");
    if (brace != std::string_view::npos)
        return event_from_json_line(line.substr(brace), number);
    timeline_event result;
    result.sequence = number;
    while (!line.empty() && (line.back() == '\n' || line.back() == '\r'))
        line.remove_suffix(1);
    const std::size_t level_end = line.find(' ');
    if (level_end == std::string_view::npos)
        return std::nullopt;
    result.level = line.substr(0, level_end);
    const std::size_t time_end = line.find(' ', level_end + 1);
    if (time_end == std::string_view::npos)
        return std::nullopt;
    line.remove_prefix(time_end);
    bool has_stamp = false;
    while (const auto item = take_field(line))
    {
        const auto& [name, value] = *item;
        // The first fields are common to all events; a later one with the same name is specific to
        // this event.
        if (name == "stamp" && !has_stamp)
        {
            const auto when = observe::stamp::from_text(value);
            if (!when)
                return std::nullopt;
            result.when = *when;
            has_stamp = true;
        }
        else if (name == "vm" && result.vm.empty())
            result.vm = value;
        else if (name == "data_centre" && result.data_centre.empty())
            result.data_centre = value;
        else if (name == "process" && result.process.empty())
            result.process = value;
        else if (name == "event" && result.name.empty())
            result.name = value;
        else if (name == "request" && result.request_id.empty() && result.fields.empty())
            result.request_id = value;
        else
            result.fields.emplace_back(name, value);
    }
    if (!has_stamp || result.name.empty())
        return std::nullopt;
    return result;
}

std::optional<std::vector<timeline_event>> events_from_json(const Json::Value& document,
                                                            base::error& reason)
{
    std::vector<timeline_event> result;
    try
    {
        for (const Json::Value& item : document["events"])
        {
            timeline_event event = event_from_json(item);
            event.vm = document["vm"].asString();
            event.data_centre = document["data_centre"].asString();
            event.process = document["process"].asString();
            result.push_back(std::move(event));
        }
    }
    catch (const Json::Exception& exception)
    {
        return base::fail(reason, base::error_kind::protocol,
                          fmt::format("the events have a member of the wrong type: {}; check that "
                                      "the address is an operator or control port",
                                      exception.what()));
    }
    return result;
}

std::vector<timeline_event> merge(std::vector<timeline_event> events, const timeline_filter& filter)
{
    const time_ranges request_ranges = find_time_ranges(events, filter);
    std::erase_if(
        events, [&](const timeline_event& item)
        { return !matches_filter(item, filter) && !is_in_time_range(item, request_ranges); });
    std::stable_sort(events.begin(), events.end(),
                     [](const timeline_event& left, const timeline_event& right)
                     {
                         return std::tie(left.when, left.vm, left.process, left.sequence) <
                                std::tie(right.when, right.vm, right.process, right.sequence);
                     });
    const auto is_same = [](const timeline_event& left, const timeline_event& right)
    {
        return left.when == right.when && process_of(left) == process_of(right) &&
               left.name == right.name;
    };
    events.erase(std::unique(events.begin(), events.end(), is_same), events.end());
    return events;
}

std::optional<std::chrono::milliseconds> time_from_text(const std::string& text)
{
    const char* const end = text.data() + text.size();
    std::int64_t milliseconds = 0;
    const auto parsed = std::from_chars(text.data(), end, milliseconds);
    if (parsed.ec == std::errc{} && parsed.ptr == end)
        return std::chrono::milliseconds{milliseconds};

    std::tm parts{};
    const char* rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
    if (rest == nullptr)
        return std::nullopt;
    std::chrono::milliseconds result = std::chrono::seconds{timegm(&parts)};
    if (*rest == '.')
    {
        std::chrono::milliseconds unit{100};
        for (++rest; *rest >= '0' && *rest <= '9'; ++rest)
        {
            result += unit * (*rest - '0');
            unit /= 10;
        }
    }
    if (std::string_view(rest) != "Z")
        return std::nullopt;
    return result;
}

std::string render_text(const std::vector<timeline_event>& events,
                        const std::vector<missing_source>& missing)
{
    std::string text;
    for (const timeline_event& item : events)
    {
        text += fmt::format("{} +{} {} {} {} {}", wall_time(item.when.physical), item.when.logical,
                            item.vm, item.process, item.level, item.name);
        if (!item.request_id.empty())
            text += fmt::format(" request={}", item.request_id);
        for (const auto& [name, value] : item.fields)
            text += value.find(' ') == std::string::npos ? fmt::format(" {}={}", name, value)
                                                         : fmt::format(" {}=\"{}\"", name, value);
        text += '\n';
    }
    for (const missing_source& item : missing)
        text += fmt::format("missing: {}: {}\n", item.name, item.reason);
    return text;
}

Json::Value render_json(const std::vector<timeline_event>& events,
                        const std::vector<missing_source>& missing)
{
    Json::Value result;
    result["events"] = Json::arrayValue;
    for (const timeline_event& item : events)
    {
        Json::Value entry;
        entry["stamp"] = item.when.to_text();
        entry["vm"] = item.vm;
        entry["data_centre"] = item.data_centre;
        entry["process"] = item.process;
        entry["level"] = item.level;
        entry["event"] = item.name;
        if (!item.request_id.empty())
            entry["request"] = item.request_id;
        for (const auto& [name, value] : item.fields)
            entry["fields"][name] = value;
        result["events"].append(std::move(entry));
    }
    result["missing"] = Json::arrayValue;
    for (const missing_source& item : missing)
    {
        Json::Value entry;
        entry["source"] = item.name;
        entry["reason"] = item.reason;
        result["missing"].append(std::move(entry));
    }
    return result;
}

} // namespace ospreystair::operators
