// Reads the command line and prints the results of a chaos run.

#include "tests/chaos/run_support.hpp"

#include <cstdio>

#include <fmt/format.h>

#include "settings/option_table.hpp"

namespace ospreystair::chaos
{

namespace
{

constexpr std::size_t max_violations_printed = 5;
constexpr int exit_invalid_settings = 2;

std::optional<run_settings> read_settings(const std::string& program,
                                          const std::string& description, int argc,
                                          const char** argv, base::error& reason)
{
    const std::vector<settings::option> options{
        {"seed", "Seed of the schedule", "1"},
        {"minutes", "Length of the run in minutes", "0"},
        {"seconds", "Length of the run in seconds, added to the minutes", "0"},
        {"vms", "Number of VMs, for programs that support it; 0 for the default", "0"},
        {"gateway", "Gateway program, for programs that support it; empty for this build's", ""}};
    const auto table =
        settings::option_table::create(program, description, options, argc, argv, reason);
    if (!table)
        return std::nullopt;
    const auto seed = table->number("seed", 0, UINT64_MAX, reason);
    const auto minutes = table->number("minutes", 0, 600, reason);
    const auto seconds = table->number("seconds", 0, 36'000, reason);
    const auto vms = table->number("vms", 0, 300, reason);
    if (!seed || !minutes || !seconds || !vms)
        return std::nullopt;
    std::chrono::milliseconds duration = std::chrono::minutes(static_cast<std::int64_t>(*minutes)) +
                                         std::chrono::seconds(static_cast<std::int64_t>(*seconds));
    if (duration.count() == 0)
        duration = std::chrono::minutes{1};
    return run_settings{*seed, duration, static_cast<std::size_t>(*vms), table->text("gateway")};
}

} // namespace

int run_program(const std::string& program, const std::string& description, int argc,
                const char** argv, bool (*run)(const run_settings&))
{
    base::error reason;
    const auto settings = read_settings(program, description, argc, argv, reason);
    if (!settings)
    {
        fmt::print(stderr, "error {}: {}\n", base::to_string(reason.kind), reason.message);
        return exit_invalid_settings;
    }
    return run(*settings) ? 0 : 1;
}

void print_schedule(const run_settings& settings, const std::vector<scheduled_fault>& schedule)
{
    fmt::print("seed {}, {} ms, {} faults\n", settings.seed, settings.duration.count(),
               schedule.size());
    for (const scheduled_fault& fault : schedule)
        fmt::print("  {}\n", to_text(fault));
    std::fflush(stdout);
}

void report::add(const std::string& invariant, const std::vector<std::string>& violations)
{
    ++(violations.empty() ? m_passed : m_failed);
    fmt::print("{} {}\n", violations.empty() ? "pass" : "FAIL", invariant);
    for (std::size_t index = 0; index < std::min(violations.size(), max_violations_printed);
         ++index)
        fmt::print("     {}\n", violations[index]);
    if (violations.size() > max_violations_printed)
        fmt::print("     and {} more\n", violations.size() - max_violations_printed);
}

bool report::finish() const
{
    fmt::print("seed {}: {} passed, {} failed\n", m_seed, m_passed, m_failed);
    std::fflush(stdout);
    return m_failed == 0;
}

} // namespace ospreystair::chaos
