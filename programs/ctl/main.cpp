// ospreystairctl: the operators' command-line client.

#include <cstdio>
#include <iostream>
#include <string>

#include <fmt/format.h>
#include <unistd.h>

#include "agent_session.hpp"
#include "ctl_settings.hpp"
#include "operators/output_format.hpp"
#include "prompt.hpp"
#include "rpc/rpc_server.hpp"

namespace ospreystair::ctl
{

namespace
{

// The exit statuses are documented in docs/OPERATIONS.md; scripts depend on them.
enum exit_status : int
{
    exit_done = 0,
    exit_startup_failure = 1,
    exit_refused = 2,
    exit_conflict = 3,
    exit_unreachable = 4,
    exit_outcome_unknown = 5,
    exit_permission_denied = 6,
    exit_timeout = 7,
    exit_protocol = 8
};

exit_status status_of(base::error_kind kind)
{
    switch (kind)
    {
    case base::error_kind::none:
        return exit_done;
    case base::error_kind::conflict:
        return exit_conflict;
    case base::error_kind::unreachable:
    case base::error_kind::overloaded:
    case base::error_kind::draining:
    case base::error_kind::cancelled:
        return exit_unreachable;
    case base::error_kind::outcome_unknown:
        return exit_outcome_unknown;
    case base::error_kind::permission_denied:
        return exit_permission_denied;
    case base::error_kind::timeout:
        return exit_timeout;
    case base::error_kind::protocol:
    case base::error_kind::internal:
        return exit_protocol;
    case base::error_kind::invalid_argument:
    case base::error_kind::invalid_settings:
    case base::error_kind::address_in_use:
    case base::error_kind::not_found:
    case base::error_kind::version_not_held:
        return exit_refused;
    }
    return exit_protocol;
}

exit_status execute(agent_session& session, const std::string& command, bool is_json)
{
    base::error reason;
    const auto output = session.execute(command, reason);
    if (!output)
    {
        fmt::print(stderr, "ospreystairctl: {}: {}\n", base::to_string(reason.kind),
                   reason.message);
        return status_of(reason.kind);
    }
    if (is_json)
        fmt::print("{}\n", rpc::to_text(*output));
    else
        fmt::print("{}", operators::format_as_tables(*output));
    std::fflush(stdout);
    return exit_done;
}

// Reads the next command of a script: the lines up to a blank one. Lines that start with # are
// comments. Returns an empty string at the end of the script.
std::string read_script_command(std::istream& script)
{
    std::string command;
    std::string line;
    while (std::getline(script, line))
    {
        const std::size_t start = line.find_first_not_of(" \t\r");
        if (start == std::string::npos && !command.empty())
            break;
        if (start == std::string::npos || line[start] == '#')
            continue;
        command += line + '\n';
    }
    return command;
}

// Stops at the first command that fails: the later ones may depend on it.
exit_status run_script(agent_session& session, bool is_json)
{
    for (std::string command = read_script_command(std::cin); !command.empty();
         command = read_script_command(std::cin))
    {
        const exit_status status = execute(session, command, is_json);
        if (status != exit_done)
            return status;
    }
    return exit_done;
}

exit_status run_prompt(agent_session& session, const ctl_settings& client_settings)
{
    prompt input(client_settings.history_file);
    while (const auto line = input.read_line())
    {
        if (*line == "quit" || *line == "exit")
            break;
        if (line->find_first_not_of(" \t") != std::string::npos)
            execute(session, *line, client_settings.is_json);
    }
    return exit_done;
}

int run(int argc, const char** argv)
{
    base::error reason;
    const auto client_settings = ctl_settings::create(argc, argv, reason);
    if (!client_settings)
    {
        fmt::print(stderr, "ospreystairctl: {}: {}\n", base::to_string(reason.kind),
                   reason.message);
        return exit_startup_failure;
    }
    agent_session session(*client_settings);
    if (client_settings->command)
        return execute(session, *client_settings->command, client_settings->is_json);
    if (isatty(STDIN_FILENO) == 0)
        return run_script(session, client_settings->is_json);
    return run_prompt(session, *client_settings);
}

} // namespace

} // namespace ospreystair::ctl

int main(int argc, char** argv)
{
    return ospreystair::ctl::run(argc, const_cast<const char**>(argv));
}
