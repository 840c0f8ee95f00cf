// What the chaos programs share: their command line, the play of a schedule, and the report.

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
};

/// The main function of a chaos program: reads --seed, --minutes and --seconds, and returns 0 when
/// `run` returns true, 1 when it does not, and 2 when the settings are wrong.
int run_program(const std::string& program, const std::string& description, int argc,
                const char** argv, bool (*run)(const run_settings&));

void print_schedule(const run_settings& settings, const std::vector<scheduled_fault>& schedule);

/// Begins and ends each fault at its time.
template<class System>
void play(System& system, const std::vector<scheduled_fault>& schedule,
          std::chrono::milliseconds duration)
{
    struct step
    {
        std::chrono::milliseconds when;
        const scheduled_fault* fault;
        bool is_end;
    };
    std::vector<step> steps;
    for (const scheduled_fault& fault : schedule)
    {
        steps.push_back({fault.start, &fault, false});
        steps.push_back({fault.end(), &fault, true});
    }
    std::stable_sort(steps.begin(), steps.end(),
                     [](const step& left, const step& right) { return left.when < right.when; });
    const auto start = std::chrono::steady_clock::now();
    for (const step& item : steps)
    {
        std::this_thread::sleep_until(start + item.when);
        if (item.is_end)
            system.lift(*item.fault);
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
    /// Prints the sum, and returns whether all have passed.
    bool finish() const;

private:
    const std::uint64_t m_seed;
    int m_passed = 0;
    int m_failed = 0;
};

} // namespace ospreystair::chaos

#endif
