// Formatting of events as key=value lines and as JSON.

#include "observe/event_log.hpp"

#include <cstdio>
#include <utility>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <json/json.h>

namespace ospreystair::observe
{

namespace
{

bool needs_quotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \t\r\n\"=\\") != std::string_view::npos;
}

void append_value(std::string& line, std::string_view value)
{
    if (!needs_quotes(value))
    {
        line += value;
        return;
    }
    line += '"';
    for (const char character : value)
    {
        if (character == '"' || character == '\\')
            line += '\\';
        line += character == '\n' || character == '\r' ? ' ' : character;
    }
    line += '"';
}

} // namespace

std::string_view to_string(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

std::optional<log_level> parse_log_level(std::string_view text, base::error& reason)
{
    for (const auto level :
         {log_level::debug, log_level::info, log_level::warning, log_level::error})
        if (text == to_string(level))
            return level;
    return base::fail(
        reason, base::error_kind::invalid_settings,
        fmt::format("--log-level is \"{}\"; give debug, info, warning or error", text));
}

event_log::event_log(std::string process, base::process_identity identity, log_level threshold)
    : m_process(std::move(process)), m_identity(std::move(identity)), m_threshold(threshold)
{
}

void event_log::write(log_level level, std::string_view name, std::string_view request_id,
                      std::initializer_list<field> fields)
{
    event entry{0, m_clock.tick(), level, std::string(name), std::string(request_id), fields};
    if (level >= m_threshold.load(std::memory_order_relaxed))
    {
        const std::string line = format_line(entry);
        std::fwrite(line.data(), 1, line.size(), stderr);
    }
    const std::scoped_lock lock(m_mutex);
    entry.sequence = ++m_last_sequence;
    m_ring.push_back(std::move(entry));
    if (m_ring.size() > ring_capacity)
        m_ring.pop_front();
}

std::string event_log::format_line(const event& entry) const
{
    const std::chrono::sys_time<std::chrono::milliseconds> wall{entry.timestamp.physical};
    const auto seconds = std::chrono::floor<std::chrono::seconds>(wall);
    std::string line = fmt::format(
        "{} {:%Y-%m-%dT%H:%M:%S}.{:03}Z stamp={} vm={} data_centre={} process={} event={}",
        to_string(entry.level), fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)),
        (wall - seconds).count(), entry.timestamp.to_text(), m_identity.vm, m_identity.data_centre,
        m_process, entry.name);
    if (!entry.request_id.empty())
        line += fmt::format(" request={}", entry.request_id);
    for (const field& item : entry.fields)
    {
        line += fmt::format(" {}=", item.name);
        append_value(line, item.value);
    }
    line += '\n';
    return line;
}

std::string event_log::to_json(std::uint64_t sequence) const
{
    Json::Value document;
    document["vm"] = m_identity.vm;
    document["data_centre"] = m_identity.data_centre;
    document["process"] = m_process;
    document["events"] = Json::arrayValue;
    const std::scoped_lock lock(m_mutex);
    for (const event& entry : m_ring)
    {
        if (entry.sequence <= sequence)
            continue;
        Json::Value item;
        item["sequence"] = Json::UInt64{entry.sequence};
        item["stamp"] = entry.timestamp.to_text();
        item["level"] = std::string(to_string(entry.level));
        item["event"] = entry.name;
        if (!entry.request_id.empty())
            item["request"] = entry.request_id;
        for (const field& pair : entry.fields)
            item["fields"][pair.name] = pair.value;
        document["events"].append(std::move(item));
    }
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, document);
}

} // namespace ospreystair::observe
