// Reads the settings of the operators' client.

#include "ctl_settings.hpp"

#include <cstring>

#include <fmt/format.h>

namespace ospreystair::ctl
{

namespace
{

const std::vector<settings::option> options{
    {"agent", "addresses (ip:port) of agents' control ports; the first that answers is used", ""},
    {"credential", "operators' credential; prefer the variable, because other users can see flags",
     ""},
    {"operator", "name written to the history", "operator"},
    {"command", "execute this command and exit; -c for short", ""},
    {"format", "table or json", "table"},
    {"timeout-ms", "time for one command", "10000"},
    {"wait-timeout-ms", "time for wait for version", "30000"},
    {"history-file", "file that keeps the prompt's history", ""},
};

// option_table supports long names only; command-line clients conventionally accept -c.
std::vector<const char*> expand_short_flags(int argc, const char** argv)
{
    std::vector<const char*> arguments(argv, argv + argc);
    for (const char*& argument : arguments)
        if (std::strcmp(argument, "-c") == 0)
            argument = "--command";
    arguments.push_back(nullptr);
    return arguments;
}

} // namespace

std::optional<ctl_settings> ctl_settings::create(int argc, const char** argv, base::error& reason)
{
    std::vector<const char*> arguments = expand_short_flags(argc, argv);
    const auto table = settings::option_table::create(
        "ospreystairctl",
        "Executes operators' commands: from -c, from a script on standard input, or from a prompt.",
        options, argc, arguments.data(), reason);
    if (!table)
        return std::nullopt;
    constexpr std::chrono::milliseconds max_timeout{3'600'000};
    const auto agents = table->addresses("agent", reason);
    const auto timeout =
        table->milliseconds("timeout-ms", std::chrono::milliseconds{1}, max_timeout, reason);
    const auto wait_timeout =
        table->milliseconds("wait-timeout-ms", std::chrono::milliseconds{1}, max_timeout, reason);
    if (!agents || !timeout || !wait_timeout)
        return std::nullopt;
    if (agents->empty())
        return base::fail(reason, base::error_kind::invalid_settings,
                          "there is no agent; give --agent ip:port or set OSPREYSTAIR_AGENT");
    if (!table->arguments().empty())
        return base::fail(reason, base::error_kind::invalid_settings,
                          "there are arguments without a flag; give the command with -c");
    const std::string& format = table->text("format");
    if (format != "table" && format != "json")
        return base::fail(reason, base::error_kind::invalid_settings,
                          fmt::format("--format is \"{}\"; give table or json", format));
    ctl_settings result;
    result.agents = *agents;
    result.credential = table->text("credential");
    result.operator_name = table->text("operator");
    if (!table->text("command").empty())
        result.command = table->text("command");
    result.is_json = format == "json";
    result.timeout = *timeout;
    result.wait_timeout = *wait_timeout;
    result.history_file = table->text("history-file");
    return result;
}

} // namespace ospreystair::ctl
