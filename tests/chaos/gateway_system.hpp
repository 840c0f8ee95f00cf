// The gateway under the faults of a schedule: processes on loopback, and the stand-ins of the store
// and of the replicas.

#ifndef OSPREYSTAIR_TESTS_CHAOS_GATEWAY_SYSTEM_HPP
#define OSPREYSTAIR_TESTS_CHAOS_GATEWAY_SYSTEM_HPP

#include <atomic>
#include <map>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "tests/chaos/disturbance_log.hpp"
#include "tests/chaos/fault_schedule.hpp"
#include "tests/chaos/gateway_audit.hpp"
#include "tests/gateway/platform_fleet.hpp"

namespace ospreystair::chaos
{

/// Used by one thread, except for `fleet().send`, `fleet().readiness` and `incarnation`.
///
/// The kinds of faults are named after the entry and the agent. Here `kill_entry` and
/// `freeze_entry` apply to the gateway, `kill_agent` is a planned stop of it, `freeze_agent`
/// another freeze, `cut_route` a replica that stops answering, `delay_route` a slow replica, and
/// `race_operators` publishes configurations in quick succession.
class gateway_system
{
public:
    static constexpr std::size_t default_vm_count = 3;
    /// VMs of larger fleets read the store through each other and have no routes of their own to
    /// the replicas, so that links are not cut there.
    static constexpr std::size_t max_vms_with_routes = 24;

    /// `program` is the gateway to run; empty for that of this build.
    gateway_system(gateway_audit& audit, disturbance_log& disturbances, std::size_t vm_count,
                   const std::string& program);
    ~gateway_system();
    gateway_system(const gateway_system&) = delete;
    gateway_system& operator=(const gateway_system&) = delete;

    testing_support::platform_fleet& fleet() { return m_fleet; }
    std::size_t vm_count() const { return m_vms.size(); }
    /// The VM whose requests reach the replicas from this address; empty when that is not known.
    std::optional<std::size_t> find_sender(const std::string& address) const;
    /// Counts the starts of a VM's process.
    unsigned incarnation(std::size_t vm) const { return m_vms.at(vm).incarnation.load(); }
    /// The content of the request that crashes replicas and that callers send now; empty when there
    /// is none.
    std::string deadly_content() const;
    schedule_options make_schedule_options() const
    {
        return {m_vms.size(), replica_total, pause_factor};
    }

    void apply(const scheduled_fault& fault);
    void clear(const scheduled_fault& fault);
    /// Clears every fault that may still be active.
    void clear_all();
    /// Waits until each VM is ready and answers in full. Returns whether this came true in time.
    bool wait_until_recovered();

private:
    static constexpr std::size_t shard_count = 4;
    static constexpr std::size_t replica_count = 2;
    // The replicas of the current shards and of the `single` service.
    static constexpr std::size_t replica_total = (shard_count + 1) * replica_count;
    static constexpr int pause_factor = 4;

    struct vm_state
    {
        std::atomic<unsigned> incarnation{0};
        // Restarts the process once a planned stop has ended.
        std::thread restarter;
        // Whether a process fault or a planned stop is active.
        std::atomic<bool> is_disturbed{false};
    };

    static testing_support::fleet_options make_options(std::size_t vm_count,
                                                       const std::string& program);
    void clear_replica_fault(const std::string& id);
    const std::string& choose_replica(const scheduled_fault& fault);
    const std::string& find_target(const scheduled_fault& fault) const
    {
        return m_fault_targets.at({fault.kind, fault.target});
    }
    void disturb_vm(const scheduled_fault& fault);
    void send_signal_series(const scheduled_fault& fault);
    std::vector<std::size_t> cut_targets(const scheduled_fault& fault) const;
    void lose_replicas(const scheduled_fault& fault);
    void regain_replicas(const scheduled_fault& fault);
    void limit_replica(const std::string& id, std::uint64_t variant);
    void end_limit(const std::string& id);
    void check_memory(std::size_t vm);
    void restore_vm(const scheduled_fault& fault);
    void crash_replicas(std::uint64_t variant);
    void stutter(std::uint64_t variant);
    // Lets all replicas crash under requests with deadly content, and makes their bodies differ.
    void arm_replicas();
    void restart(std::size_t vm);
    void change_store(const scheduled_fault& fault);
    void restore_store(const scheduled_fault& fault);
    void set_replica_fault(const std::string& id, std::uint64_t variant);
    void drain(const std::string& id);
    void check_drain(const std::string& id);
    void add_index();
    void publish_index();
    void publish_route();

    gateway_audit& m_audit;
    disturbance_log& m_disturbances;
    testing_support::platform_fleet m_fleet;
    // Replicas of the current configuration, which are the possible targets of faults.
    std::vector<std::string> m_replicas;
    // The replica that each fault was applied to, by kind and target.
    std::map<std::pair<fault_kind, std::size_t>, std::string> m_fault_targets;
    std::vector<vm_state> m_vms;
    // VMs without links to replicas, and since when.
    std::map<std::size_t, disturbance_log::time_point> m_cut_vms;
    // Number of the deadly content that callers send now; 0 for none.
    std::atomic<std::uint64_t> m_deadly_number{0};
    std::size_t m_generation = 0;
    std::size_t m_route = 0;
    disturbance_log::time_point m_drained_at{};
};

} // namespace ospreystair::chaos

#endif
