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

/// Events of all sources, and the sources that could not be read.
struct gathered_events
{
    std::vector<operators::timeline_event> events;
    std::vector<operators::missing_source> missing;
};

/// Asks all processes in parallel for the events in their ring buffers.
void gather_from_processes(const std::vector<settings::socket_address>& addresses,
                           std::chrono::milliseconds timeout, gathered_events& target);

/// Reads a file with the standard error of a process. Lines that are not events are skipped.
void gather_from_file(const std::string& path, gathered_events& target);

} // namespace ospreystair::timeline

#endif
