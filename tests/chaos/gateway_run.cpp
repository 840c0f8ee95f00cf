// Runs the gateway with callers and a seeded schedule of faults, and checks its guarantees. The
// seed determines the schedule; the interleaving with the callers differs from run to run.

#include <algorithm>
#include <cstdio>
#include <map>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "tests/chaos/gateway_callers.hpp"
#include "tests/chaos/gateway_system.hpp"
#include "tests/chaos/run_support.hpp"

namespace ospreystair::chaos
{

namespace
{

constexpr const char* invariants[] = {"answers are whole and their own",
                                      "parts and missing parts are one configuration's shards",
                                      "configurations are in force in time",
                                      "configurations never revert",
                                      "proper requests are not denied",
                                      "every request is answered",
                                      "processes end when they are told to",
                                      "draining replicas get no late request",
                                      "leaving replicas get no new request",
                                      "closed replicas get no requests",
                                      "at most once",
                                      "refused requests have not run",
                                      "only callers' requests run",
                                      "no work for callers that left",
                                      "repeats stay within their budget",
                                      "limits of replicas are kept",
                                      "callers of VMs without replicas are served",
                                      "memory stays bounded",
                                      "requests that crash replicas are stopped",
                                      "innocent requests are not refused as deadly",
                                      "each success is the answer to a sending of its own attempt"};

std::string service_of(const std::string& replica)
{
    return replica.substr(0, replica.rfind('-'));
}

void check_replicas(gateway_audit& audit, gateway_system& system)
{
    const auto find_sender = [&system](const std::string& address)
    {
        return system.find_sender(address);
    };
    std::map<std::string, unsigned> executions;
    std::map<std::string, std::vector<disturbance_log::time_point>> arrivals;
    std::map<std::string, disturbance_log::time_point> work_ends;
    std::vector<standins::request_crash> crashes;
    std::vector<standins::request_arrival> all_arrivals;
    std::vector<standins::replica_answer> answers;
    std::uint64_t second_copies = 0;
    for (const auto& [id, target] : system.fleet().replicas())
    {
        for (const auto& [request, count] : target->executions())
            executions[request] += count;
        for (const auto& [request, ended_at] : target->work_ends())
            work_ends[request] = std::max(work_ends[request], ended_at);
        audit.check_announcements(id, target->request_arrivals(), find_sender);
        audit.check_limits(id, target->request_arrivals(), find_sender);
        const auto replica_crashes = target->request_crashes();
        crashes.insert(crashes.end(), replica_crashes.begin(), replica_crashes.end());
        const auto request_arrivals = target->request_arrivals();
        all_arrivals.insert(all_arrivals.end(), request_arrivals.begin(), request_arrivals.end());
        const auto replica_answers = target->answers();
        answers.insert(answers.end(), replica_answers.begin(), replica_answers.end());
        second_copies += target->second_copies();
        const auto times = target->arrival_times();
        auto& service_arrivals = arrivals[service_of(id)];
        service_arrivals.insert(service_arrivals.end(), times.begin(), times.end());
    }
    audit.check_deadly_requests(std::move(crashes), all_arrivals, find_sender);
    audit.check_sources(answers);
    fmt::print("{} answers of replicas, {} of them sent twice\n", answers.size(), second_copies);
    audit.check_reach_losses();
    audit.check_executions(executions);
    audit.check_disconnects(work_ends);
    for (const auto& [service, times] : arrivals)
        audit.check_repeats(service, times);
}

bool run(const run_settings& settings)
{
    disturbance_log disturbances;
    gateway_audit audit(disturbances);
    gateway_system system(audit, disturbances,
                          settings.vms == 0 ? gateway_system::default_vm_count : settings.vms,
                          settings.gateway);
    auto schedule = make_schedule(settings.seed, settings.duration, system.make_schedule_options());
    const auto fleet_faults =
        make_fleet_schedule(settings.seed, settings.duration, system.make_schedule_options());
    schedule.insert(schedule.end(), fleet_faults.begin(), fleet_faults.end());
    print_schedule(settings, schedule);
    gateway_callers callers(audit, system, settings.seed);
    run_schedule(system, schedule, settings.duration);
    system.clear_all();
    callers.stop();
    check_replicas(audit, system);
    const bool is_recovered = system.wait_until_recovered();

    fmt::print("{}\n", audit.summary());
    // Allowed, for example when a hedge is refused after the first sending was answered.
    const auto before_failures = audit.successes_before_failures();
    fmt::print("{} successes of which a later sending did not succeed\n", before_failures.size());
    for (const std::string& each : before_failures)
        fmt::print("     {}\n", each);
    report results(settings.seed);
    results.add("recovered", is_recovered ? std::vector<std::string>()
                                          : std::vector<std::string>{"a VM is not ready, or does "
                                                                     "not answer in full"});
    for (const char* const invariant : invariants)
        results.add(invariant, audit.violations(invariant));
    const bool is_passed = results.finish();
    // The fleet keeps its logs when a test failed.
    if (!is_passed)
        ADD_FAILURE() << "seed " << settings.seed;
    return is_passed && !testing::Test::HasFailure();
}

} // namespace

} // namespace ospreystair::chaos

int main(int argc, const char** argv)
{
    using namespace ospreystair;
    return chaos::run_program("gateway_run",
                              "Checks the platform's program under a seeded schedule of faults.",
                              argc, argv, chaos::run);
}
