// Settings of the operators' client.

#ifndef OSPREYSTAIR_PROGRAMS_CTL_CTL_SETTINGS_HPP
#define OSPREYSTAIR_PROGRAMS_CTL_CTL_SETTINGS_HPP

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "base/error.hpp"
#include "settings/option_table.hpp"

namespace ospreystair::ctl
{

/// Validated settings.
struct ctl_settings
{
    /// At least one; tried in this order.
    std::vector<settings::socket_address> agents;
    /// Never logged or printed.
    std::string credential;
    std::string operator_name;
    /// The command given with -c; empty for a script or the prompt.
    std::optional<std::string> command;
    bool is_json = false;
    std::chrono::milliseconds timeout{0};
    std::chrono::milliseconds wait_timeout{0};
    /// Empty to keep the prompt's history in memory only.
    std::string history_file;

    /// Reads flags and environment variables; fails with invalid_settings.
    static std::optional<ctl_settings> create(int argc, const char** argv, base::error& reason);
};

} // namespace ospreystair::ctl

#endif
