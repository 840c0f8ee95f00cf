// ospreystair-timeline: merges the events of all processes into one time line.

#include <cstdio>
#include <fstream>

#include <fmt/format.h>

#include "event_source.hpp"
#include "rpc/rpc_server.hpp"

namespace ospreystair::timeline
{

namespace
{

constexpr int exit_failure = 1;
constexpr int exit_incomplete = 2;

const std::vector<settings::option> options{
    {"from", "addresses (ip:port) of entries' operator ports and agents' control ports", ""},
    {"request", "only events of this request id", ""},
    {"around-ms", "with --request: also what its VMs logged without a request, this long before it",
     "0"},
    {"event", "only events of this name", ""},
    {"since", "only events from this time on: Unix time in ms, or 2026-12-03T20:40:46Z", "0"},
    {"format", "text or json", "text"},
    {"svg", "also draw the request into this file; needs --request", ""},
    {"timeout-ms", "time within which the processes must answer", "5000"},
};

struct run_settings
{
    std::vector<settings::socket_address> addresses;
    std::vector<std::string> files;
    operators::timeline_filter filter;
    bool is_json = false;
    std::string svg_file;
    std::chrono::milliseconds timeout{0};
};

std::nullopt_t reject_settings(base::error& reason, std::string message)
{
    return base::fail(reason, base::error_kind::invalid_settings, std::move(message));
}

std::optional<run_settings> read_settings(int argc, const char** argv, base::error& reason)
{
    const auto table = settings::option_table::create(
        "ospreystair-timeline",
        "Merges the events of processes and of log files, given as arguments.", options, argc, argv,
        reason);
    if (!table)
        return std::nullopt;
    run_settings result;
    auto addresses = table->addresses("from", reason);
    const auto timeout = table->milliseconds("timeout-ms", std::chrono::milliseconds{1},
                                             std::chrono::milliseconds{600'000}, reason);
    const auto around = table->milliseconds("around-ms", std::chrono::milliseconds{0},
                                            std::chrono::milliseconds{600'000}, reason);
    if (!addresses || !timeout || !around)
        return std::nullopt;
    result.filter.around = *around;
    result.addresses = std::move(*addresses);
    result.timeout = *timeout;
    result.files = table->arguments();
    if (result.addresses.empty() && result.files.empty())
        return reject_settings(reason, "there is no source of events; give --from or log files");
    result.filter.request_id = table->text("request");
    result.filter.name = table->text("event");
    const auto since = operators::time_from_text(table->text("since"));
    if (!since)
        return reject_settings(reason,
                               fmt::format("--since is \"{}\"; give Unix time in ms or a time like "
                                           "2026-12-03T20:40:46Z",
                                           table->text("since")));
    result.filter.since = *since;
    const std::string& format = table->text("format");
    if (format != "text" && format != "json")
        return reject_settings(reason,
                               fmt::format("--format is \"{}\"; give text or json", format));
    result.is_json = format == "json";
    result.svg_file = table->text("svg");
    if (!result.svg_file.empty() && result.filter.request_id.empty())
        return reject_settings(reason, "--svg draws one request; give --request too");
    return result;
}

bool write_svg(const run_settings& parsed_settings,
               const std::vector<operators::timeline_event>& events,
               const std::vector<operators::missing_source>& missing, base::error& reason)
{
    std::ofstream file(parsed_settings.svg_file);
    file << operators::render_svg(fmt::format("request {}", parsed_settings.filter.request_id),
                                  events, missing);
    file.close();
    if (file)
        return true;
    base::fail(reason, base::error_kind::invalid_argument,
               fmt::format("cannot write {}; give --svg a file in a folder that you may write to",
                           parsed_settings.svg_file));
    return false;
}

int report_failure(const base::error& reason)
{
    fmt::print(stderr, "ospreystair-timeline: {}: {}\n", base::to_string(reason.kind),
               reason.message);
    return exit_failure;
}

int run(int argc, const char** argv)
{
    base::error reason;
    const auto parsed_settings = read_settings(argc, argv, reason);
    if (!parsed_settings)
        return report_failure(reason);
    gathered_events gathered;
    gather_from_processes(parsed_settings->addresses, parsed_settings->timeout, gathered);
    for (const std::string& path : parsed_settings->files)
        gather_from_file(path, gathered);
    const auto events = operators::merge(std::move(gathered.events), parsed_settings->filter);
    if (!parsed_settings->svg_file.empty() &&
        !write_svg(*parsed_settings, events, gathered.missing, reason))
        return report_failure(reason);
    if (parsed_settings->is_json)
        fmt::print("{}\n", rpc::to_text(operators::render_json(events, gathered.missing)));
    else
        fmt::print("{}", operators::render_text(events, {}));
    for (const operators::missing_source& item : gathered.missing)
        fmt::print(stderr, "missing: {}: {}\n", item.name, item.reason);
    return gathered.missing.empty() ? 0 : exit_incomplete;
}

} // namespace

} // namespace ospreystair::timeline

int main(int argc, char** argv)
{
    return ospreystair::timeline::run(argc, const_cast<const char**>(argv));
}
