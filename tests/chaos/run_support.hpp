// Shared by the chaos programs: the command line, the execution of a schedule, and the report.

#ifndef OSPREYSTAIR_TESTS_CHAOS_RUN_SUPPORT_HPP
#define OSPREYSTAIR_TESTS_CHAOS_RUN_SUPPORT_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "base/error.hpp"
#include "tests/chaos/fault_schedule.hpp"

namespace ospreystair::chaos
{

struct run_settings
{
    std::uint64_t seed = 0;
    std::chrono::milliseconds duration{0};
    /// Number of VMs; 0 for the program's default.
    std::size_t vms = 0;
    /// The gateway to run; empty for that of this build.
    std::string gateway = {};
};

/// The main function of a chaos program: reads --seed, --minutes and --seconds, and returns 0 when
/// `run` returns true, 1 when it does not, and 2 when the settings are wrong.
int run_program(const std::string& program, const std::string& description, int argc,
                const char** argv, bool (*run)(const run_settings&));

void print_schedule(const run_settings& settings, const std::vector<scheduled_fault>& schedule);

/// Applies and clears each fault at its time, and returns at the end of the duration.
template<class System>
void run_schedule(System& system, const std::vector<scheduled_fault>& schedule,
                  std::chrono::milliseconds duration)
{
    struct fault_event
    {
        std::chrono::milliseconds time;
        const scheduled_fault* fault;
        bool is_end;
    };
    std::vector<fault_event> events;
    for (const scheduled_fault& fault : schedule)
    {
        events.push_back({fault.start, &fault, false});
        events.push_back({fault.end(), &fault, true});
    }
    std::stable_sort(events.begin(), events.end(),
                     [](const fault_event& left, const fault_event& right)
                     { return left.time < right.time; });
    const auto start = std::chrono::steady_clock::now();
    for (const fault_event& item : events)
    {
        std::this_thread::sleep_until(start + item.time);
        if (item.is_end)
            system.clear(*item.fault);
        else
            system.apply(*item.fault);
    }
    std::this_thread::sleep_until(start + duration);
}

/// Prints one line for each invariant and counts them.
class report
{
public:
    explicit report(std::uint64_t seed) : m_seed(seed) {}

    void add(const std::string& invariant, const std::vector<std::string>& violations);
    /// Prints the totals, and returns whether all invariants hold.
    bool finish() const;

private:
    const std::uint64_t m_seed;
    int m_passed = 0;
    int m_failed = 0;
};

} // namespace ospreystair::chaos

#endif
