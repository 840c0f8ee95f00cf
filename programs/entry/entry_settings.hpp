// The settings of the entry program.

#ifndef OSPREYSTAIR_PROGRAMS_ENTRY_ENTRY_SETTINGS_HPP
#define OSPREYSTAIR_PROGRAMS_ENTRY_ENTRY_SETTINGS_HPP

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/error.hpp"
#include "base/identifier.hpp"
#include "observe/event_log.hpp"
#include "settings/option_table.hpp"

namespace ospreystair::entry
{

/// Validated settings.
struct entry_settings
{
    static std::optional<entry_settings> create(int argc, const char** argv, base::error& reason);

    base::process_identity identity;
    settings::socket_address caller_address;
    settings::socket_address operator_address;
    settings::socket_address agent_address;
    std::vector<settings::socket_address> platform_addresses;
    std::size_t thread_count = 2;
    /// Time on a stop between the end of readiness and the end of accepting connections, so that
    /// load balancers notice the stop.
    std::chrono::milliseconds drain_delay{5000};
    /// Maximum time that a stop waits for requests in flight.
    std::chrono::milliseconds stop_timeout{60'000};
    std::chrono::milliseconds view_interval{100};
    observe::log_level level = observe::log_level::info;
    /// Only check the settings, then exit.
    bool is_check_only = false;
};

} // namespace ospreystair::entry

#endif
