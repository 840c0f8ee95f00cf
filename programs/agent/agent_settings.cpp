// Options of the agent and their checks.

#include "agent_settings.hpp"

#include <chrono>

#include <fmt/format.h>

#include "configuration/document.hpp"

namespace ospreystair::agent
{

namespace
{

std::vector<settings::option> make_options()
{
    return {
        {"vm", "name of this VM", std::nullopt},
        {"data-centre", "data centre of this VM", std::nullopt},
        {"control-address", "ip:port for JSON-RPC (TCP) and membership (UDP); other VMs reach it",
         std::nullopt},
        {"advertised-address",
         "ip:port at which other VMs reach the control address, if it differs", ""},
        {"platform-addresses", "platform store, ip:port separated by commas", std::nullopt},
        {"peer-addresses", "control addresses of some other agents, separated by commas", ""},
        {"entry-address", "operator port of this VM's entry, ip:port", "127.0.0.1:8081"},
        {"operator-credential",
         "secret that operators must present; an empty one disables all commands", ""},
        {"log-level", "lowest level on standard error: debug, info, warning or error", "info"},
        {"check", "check the settings and exit", "", true},
    };
}

} // namespace

std::optional<agent_settings> agent_settings::create(int argc, const char** argv,
                                                     base::error& reason)
{
    const auto table = settings::option_table::create(
        "ospreystair-agent",
        "Keeps the configuration, membership and gossiped state of one entry VM.", make_options(),
        argc, argv, reason);
    if (!table)
        return std::nullopt;
    agent_settings result;
    result.identity.vm = table->text("vm");
    result.identity.data_centre = table->text("data-centre");
    result.identity.incarnation = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    for (const auto& [name, value] : {std::pair{"vm", result.identity.vm},
                                      std::pair{"data-centre", result.identity.data_centre}})
        if (!configuration::is_valid_name(value))
            return base::fail(reason, base::error_kind::invalid_settings,
                              fmt::format("--{} is \"{}\"; give 1 to 64 letters, digits, '-', '_' "
                                          "or '.'",
                                          name, value));
    const auto control = table->address("control-address", reason);
    const auto platform = table->addresses("platform-addresses", reason);
    const auto peers = table->addresses("peer-addresses", reason);
    const auto entry = table->address("entry-address", reason);
    const auto threshold = observe::parse_log_level(table->text("log-level"), reason);
    if (!control || !platform || !peers || !entry || !threshold)
        return std::nullopt;
    if (platform->empty())
        return base::fail(reason, base::error_kind::invalid_settings,
                          "--platform-addresses is empty; give at least one ip:port");
    result.control_address = *control;
    result.advertised_address = *control;
    if (table->is_set("advertised-address"))
    {
        const auto advertised = table->address("advertised-address", reason);
        if (!advertised)
            return std::nullopt;
        result.advertised_address = *advertised;
    }
    result.platform_addresses = *platform;
    result.peer_addresses = *peers;
    result.entry_address = *entry;
    result.operator_credential = table->text("operator-credential");
    result.log_threshold = *threshold;
    result.is_check_only = table->is_set("check");
    return result;
}

} // namespace ospreystair::agent
