// Merges events of several processes into one time line.

#ifndef OSPREYSTAIR_OPERATORS_TIMELINE_HPP
#define OSPREYSTAIR_OPERATORS_TIMELINE_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <json/json.h>

#include "base/error.hpp"
#include "observe/hybrid_clock.hpp"

namespace ospreystair::operators
{

/// An event and the process that logged it.
struct timeline_event
{
    observe::stamp when;
    std::string vm;
    std::string data_centre;
    std::string process;
    /// Order within the process; in a log file, the number of the line.
    std::uint64_t sequence = 0;
    std::string level;
    std::string name;
    std::string request_id;
    std::vector<std::pair<std::string, std::string>> fields;

    bool operator==(const timeline_event&) const = default;
};

/// Selects events; a member without a value matches all.
struct timeline_filter
{
    std::string request_id;
    std::string name;
    std::chrono::milliseconds since{0};
    /// With a request id: also selects events without a request on each VM that handled the
    /// request, from this long before the request's first event on that VM to its last one.
    std::chrono::milliseconds around{0};
};

/// A source of events that did not answer.
struct missing_source
{
    std::string name;
    std::string reason;
};

/// Parses a line written by observe::event_log or observe::json_log; empty for other lines, for
/// example those of a sanitizer.
std::optional<timeline_event> event_from_line(std::string_view line, std::uint64_t number);

/// Reads the document of `GET /events`. Fails with protocol.
std::optional<std::vector<timeline_event>> events_from_json(const Json::Value& document,
                                                            base::error& reason);

/// Filters events and sorts them by stamp, then VM, process and sequence. An event that was read
/// both from a log file and from a process's ring buffer appears once: a process gives each stamp
/// to one event only.
std::vector<timeline_event> merge(std::vector<timeline_event> events,
                                  const timeline_filter& filter);

/// Parses a time as milliseconds since the Unix epoch or as `2026-12-03T20:40:46Z`, with or without
/// a fraction; empty when the text has another form.
std::optional<std::chrono::milliseconds> time_from_text(const std::string& text);

/// Renders one line for each event, and one for each missing source.
std::string render_text(const std::vector<timeline_event>& events,
                        const std::vector<missing_source>& missing);
Json::Value render_json(const std::vector<timeline_event>& events,
                        const std::vector<missing_source>& missing);
/// Renders the events as an SVG drawing with one lane for each process and time from left to right.
std::string render_svg(const std::string& title, const std::vector<timeline_event>& events,
                       const std::vector<missing_source>& missing);

} // namespace ospreystair::operators

#endif
