// Reads events from processes and from log files.

#ifndef OSPREYSTAIR_PROGRAMS_TIMELINE_EVENT_SOURCE_HPP
#define OSPREYSTAIR_PROGRAMS_TIMELINE_EVENT_SOURCE_HPP

#include <chrono>
#include <string>
#include <vector>

#include "operators/timeline.hpp"
#include "settings/option_table.hpp"

namespace ospreystair::timeline
{

/// What the sources gave.
struct gathered_events
{
    std::vector<operators::timeline_event> events;
    std::vector<operators::missing_source> missing;
};

/// Asks all processes at the same time for the events in their rings.
void gather_from_processes(const std::vector<settings::socket_address>& addresses,
                           std::chrono::milliseconds timeout, gathered_events& target);

/// Reads the standard error of a process as it was written to a file. Other lines are left out.
void gather_from_file(const std::string& path, gathered_events& target);

} // namespace ospreystair::timeline

#endif
