// The faults of a chaos run and their times, determined by a seed.

#ifndef OSPREYSTAIR_TESTS_CHAOS_FAULT_SCHEDULE_HPP
#define OSPREYSTAIR_TESTS_CHAOS_FAULT_SCHEDULE_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace ospreystair::chaos
{

enum class fault_kind
{
    kill_entry,
    kill_agent,
    freeze_entry,
    freeze_agent,
    cut_route,
    delay_route,
    platform_outage,
    slow_platform,
    lose_write_answers,
    publish_index,
    repartition,
    upstream_fault,
    drain_upstream,
    race_operators,
    /// Faults of `make_fleet_schedule` only.
    lose_replicas, ///< VMs lose their links to all replicas.
    limit_replica, ///< A replica names the requests a second that it takes from all VMs.
    endless_replies,
    signal_series,   ///< Several signals to one VM, some of which meet its stop or its start.
    deadly_requests, ///< Callers send requests that crash each replica which runs them.
    crash_replicas,  ///< Several replicas crash at once, whatever they run.
    /// All replicas refuse, fail and answer twice, each at random.
    stuttering_replicas
};

/// One fault; it is cleared at its end.
struct scheduled_fault
{
    std::chrono::milliseconds start{0};
    std::chrono::milliseconds length{0};
    fault_kind kind = fault_kind::kill_entry;
    /// Index of the VM or replica, depending on the kind.
    std::size_t target = 0;
    /// Selects a variant of the kind, for example a platform that fails or one that hangs.
    std::uint64_t variant = 0;

    std::chrono::milliseconds end() const { return start + length; }
    bool operator==(const scheduled_fault&) const = default;
};

/// The number of possible targets, and the density of the faults.
struct schedule_options
{
    std::size_t vms = 4;
    std::size_t replicas = 8;
    /// Factor of the pauses between faults. Time bounds are checked only in undisturbed intervals,
    /// which a dense schedule does not have.
    int pause_factor = 1;
};

/// Returns the faults in the order of their starts. The same arguments give the same schedule.
/// Faults overlap, but never on the same process, route or platform setting, so that each can be
/// cleared alone. No process is killed or frozen, and the replica's route stays open, while an
/// upstream drains: a paused entry cannot learn of a drain, and the bound counts from the first
/// request that the draining upstream receives.
std::vector<scheduled_fault> make_schedule(std::uint64_t seed, std::chrono::milliseconds duration,
                                           const schedule_options& options);

/// Returns faults of the kinds that only the gateway has, for the same duration and in addition to
/// `make_schedule`, whose seeds keep their meaning. Losses of links and limits last long enough for
/// their bounds to apply.
std::vector<scheduled_fault> make_fleet_schedule(std::uint64_t seed,
                                                 std::chrono::milliseconds duration,
                                                 const schedule_options& options);

std::string_view to_string(fault_kind kind);
/// One line for the log of a run.
std::string to_text(const scheduled_fault& value);

} // namespace ospreystair::chaos

#endif
