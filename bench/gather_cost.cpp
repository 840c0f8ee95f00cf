// Measures the processor time that a real gateway process spends on a gathered query, by
// sub-request. Prints a table; processor times are user plus system time of the gateway alone.
// Arguments: the number of queries of a run, and the path of another gateway to measure.

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "base/number.hpp"
#include "tests/gateway/platform_fleet.hpp"

namespace
{

using namespace ospreystair;
using testing_support::caller_message;
using testing_support::fleet_options;
using testing_support::persistent_connection;
using testing_support::platform_fleet;

constexpr int run_count = 5;

std::chrono::nanoseconds processor_time(int process)
{
    clockid_t clock{};
    timespec time{};
    if (clock_getcpuclockid(process, &clock) != 0 || clock_gettime(clock, &time) != 0)
        return {};
    return std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec};
}

// Returns the number of answers without missing parts.
int send_queries(platform_fleet& fleet, int count)
{
    persistent_connection caller(fleet.caller_address(0));
    int result = 0;
    for (int index = 0; index < count; ++index)
    {
        caller_message query;
        query.id = fmt::format("cost-{}", index);
        const auto answer = caller.send(query);
        result += answer.status == 200 && answer.missing_parts() == 0 ? 1 : 0;
    }
    return result;
}

void measure(std::size_t shards, int queries, const std::string& program)
{
    fleet_options options;
    options.shards = shards;
    options.replicas = 3;
    options.objective = std::chrono::milliseconds{400};
    if (!program.empty())
        options.program = program;
    platform_fleet fleet(options);
    fleet.warm_up(0);
    const int process = fleet.vm(0).process->id();
    std::vector<double> costs;
    int complete = 0;
    for (int run = 0; run < run_count; ++run)
    {
        const auto before = processor_time(process);
        complete += send_queries(fleet, queries);
        const std::chrono::duration<double, std::micro> used = processor_time(process) - before;
        costs.push_back(used.count() / queries / static_cast<double>(shards));
    }
    std::sort(costs.begin(), costs.end());
    fmt::print("{:>6} {:>8} {:>8} {:>12.1f} {:>6.1f} {:>6.1f}\n", shards, queries * run_count,
               complete, costs[costs.size() / 2], costs.front(), costs.back());
}

} // namespace

int main(int argument_count, char** arguments)
{
    testing::InitGoogleTest(&argument_count, arguments);
    constexpr int default_queries = 100;
    const int queries = argument_count > 1
                            ? base::parse_number<int>(arguments[1]).value_or(default_queries)
                            : default_queries;
    fmt::print("shards  queries complete us_per_sub_request (median, lowest, highest run)\n");
    for (const std::size_t shards : {20, 135})
        measure(shards, queries, argument_count > 2 ? arguments[2] : "");
    return testing::Test::HasFailure() ? EXIT_FAILURE : EXIT_SUCCESS;
}
