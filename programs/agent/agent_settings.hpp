// The agent's settings.

#ifndef OSPREYSTAIR_PROGRAMS_AGENT_AGENT_SETTINGS_HPP
#define OSPREYSTAIR_PROGRAMS_AGENT_AGENT_SETTINGS_HPP

#include <optional>
#include <string>
#include <vector>

#include "base/error.hpp"
#include "base/identifier.hpp"
#include "observe/event_log.hpp"
#include "settings/option_table.hpp"

namespace ospreystair::agent
{

struct agent_settings
{
    base::process_identity identity;
    /// TCP address of the control port and UDP address of the gossip port.
    settings::socket_address control_address;
    /// Where other VMs reach the control and gossip port; differs from control_address behind
    /// address translation.
    settings::socket_address advertised_address;
    std::vector<settings::socket_address> platform_addresses;
    std::vector<settings::socket_address> peer_addresses;
    /// Operator port of this VM's entry.
    settings::socket_address entry_address;
    /// Secret that operators must present with a command; commands are refused while it is empty.
    std::string operator_credential;
    /// Lowest level that is written to standard error.
    observe::log_level log_threshold = observe::log_level::info;
    /// Check the settings and exit.
    bool is_check_only = false;

    /// Reads flags and environment variables. Fails with invalid_settings.
    static std::optional<agent_settings> create(int argc, const char** argv, base::error& reason);
};

} // namespace ospreystair::agent

#endif
