// Flags and environment variables of the entry program.

#include "programs/entry/entry_settings.hpp"

#include <fmt/format.h>

#include "configuration/document.hpp"

namespace ospreystair::entry
{

namespace
{

constexpr std::uint64_t max_threads = 256;
constexpr std::chrono::milliseconds max_wait{3'600'000};

const std::vector<settings::option> options = {
    {"vm", "name of this VM, unique among all VMs", std::nullopt},
    {"data-centre", "name of the data centre that this VM is in", std::nullopt},
    {"caller-address", "ip:port for callers", "127.0.0.1:8080"},
    {"operator-address", "ip:port for operators (readiness, metrics, events, requests)",
     "127.0.0.1:8081"},
    {"agent-address", "ip:port of this VM's agent", "127.0.0.1:8082"},
    {"platform", "ip:port of the platform's object API, several separated by commas",
     "127.0.0.1:8090"},
    {"threads", "worker threads", "2"},
    {"drain-delay", "ms on a stop from the end of readiness to the closing of the caller port",
     "5000"},
    {"stop-timeout", "maximum ms that a stop waits for requests in flight", "60000"},
    {"view-interval", "ms between two polls of the agent", "100"},
    {"log-level", "debug, info, warning or error", "info"},
    {"check", "check the settings and exit", std::nullopt, true},
};

bool read_identity(const settings::option_table& table, entry_settings& result, base::error& reason)
{
    result.identity = {table.text("vm"), table.text("data-centre"),
                       std::chrono::duration_cast<std::chrono::milliseconds>(
                           std::chrono::system_clock::now().time_since_epoch())};
    if (configuration::is_valid_name(result.identity.vm) &&
        configuration::is_valid_name(result.identity.data_centre))
        return true;
    base::fail(reason, base::error_kind::invalid_settings,
               "--vm and --data-centre take letters, digits, '-', '_' and '.', at most 64");
    return false;
}

bool read_addresses(const settings::option_table& table, entry_settings& result,
                    base::error& reason)
{
    const auto caller = table.address("caller-address", reason);
    const auto operators = table.address("operator-address", reason);
    const auto agent = table.address("agent-address", reason);
    auto platform = table.addresses("platform", reason);
    if (!caller || !operators || !agent || !platform)
        return false;
    result.caller_address = *caller;
    result.operator_address = *operators;
    result.agent_address = *agent;
    result.platform_addresses = std::move(*platform);
    return true;
}

bool read_limits(const settings::option_table& table, entry_settings& result, base::error& reason)
{
    using std::chrono::milliseconds;
    const auto threads = table.number("threads", 1, max_threads, reason);
    const auto drain = table.milliseconds("drain-delay", milliseconds{0}, max_wait, reason);
    const auto stop = table.milliseconds("stop-timeout", milliseconds{1}, max_wait, reason);
    const auto interval = table.milliseconds("view-interval", milliseconds{10}, max_wait, reason);
    const auto level = observe::parse_log_level(table.text("log-level"), reason);
    if (!threads || !drain || !stop || !interval || !level)
        return false;
    result.thread_count = *threads;
    result.drain_delay = *drain;
    result.stop_timeout = *stop;
    result.view_interval = *interval;
    result.level = *level;
    return true;
}

} // namespace

std::optional<entry_settings> entry_settings::create(int argc, const char** argv,
                                                     base::error& reason)
{
    const auto table = settings::option_table::create(
        "ospreystair-entry", "Serves callers: scatters queries to shards and dispatches commands.",
        options, argc, argv, reason);
    if (!table)
        return std::nullopt;
    entry_settings result;
    result.is_check_only = table->is_set("check");
    if (!read_identity(*table, result, reason) || !read_addresses(*table, result, reason) ||
        !read_limits(*table, result, reason))
        return std::nullopt;
    return result;
}

} // namespace ospreystair::entry
