// Implements the faults with signals to the gateways and with changes to the stand-ins.

#include "tests/chaos/gateway_system.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <utility>

#include <fmt/format.h>

#include "base/random.hpp"
#include "tests/integration/test_client.hpp"

namespace ospreystair::chaos
{

using standins::replica_behaviour;
using standins::store_mode;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace
{

constexpr milliseconds stop_timeout{10'000};
constexpr milliseconds recovery_timeout{20'000};
constexpr milliseconds slow_reply{300};
constexpr const char* deadly_prefix = "deadly";
constexpr milliseconds deadly_restart_delay{1'200};
constexpr std::uint64_t store_delay_ms = 300;
// Seconds for which a refusing replica wants no requests; see gateway_audit::closed_time.
constexpr const char* closed_time = "0.9";

// Whether the store has lost at the end of its outage what was written during it.
bool comes_back_from_copy(const scheduled_fault& fault)
{
    constexpr std::uint64_t copy_interval = 3;
    return fault.kind == fault_kind::platform_outage && fault.variant / 2 % copy_interval == 0;
}

// Returns the behaviour without any fault; only the body stays.
replica_behaviour without_faults(const replica_behaviour& behaviour)
{
    replica_behaviour result;
    result.body = behaviour.body;
    result.crash_text = behaviour.crash_text;
    result.restart_delay = behaviour.restart_delay;
    result.numbers_bodies = behaviour.numbers_bodies;
    return result;
}

} // namespace

testing_support::fleet_options gateway_system::make_options(std::size_t vm_count,
                                                            const std::string& program)
{
    testing_support::fleet_options options;
    options.vms = vm_count;
    options.has_routes = vm_count <= max_vms_with_routes;
    options.shards = shard_count;
    options.replicas = replica_count;
    if (!program.empty())
        options.program = program;
    return options;
}

gateway_system::gateway_system(gateway_audit& audit, disturbance_log& disturbances,
                               std::size_t vm_count, const std::string& program)
    : m_audit(audit), m_disturbances(disturbances), m_fleet(make_options(vm_count, program)),
      m_vms(vm_count)
{
    std::vector<std::string> shards;
    for (const Json::Value& shard : m_fleet.configuration()["routes"][0]["gather"])
        shards.push_back(shard.asString());
    m_audit.add_generation(std::move(shards), steady_clock::now());
    for (const auto& [id, ignored] : m_fleet.replicas())
        m_replicas.push_back(id);
    arm_replicas();
}

void gateway_system::arm_replicas()
{
    m_fleet.change_all_replicas(
        [](replica_behaviour& behaviour)
        {
            behaviour.crash_text = deadly_prefix;
            behaviour.restart_delay = deadly_restart_delay;
            behaviour.numbers_bodies = true;
        });
}

std::string gateway_system::deadly_content() const
{
    const std::uint64_t number = m_deadly_number.load();
    return number == 0 ? std::string() : fmt::format("{}{}", deadly_prefix, number);
}

// One replica in two, or all but one.
void gateway_system::crash_replicas(std::uint64_t variant)
{
    constexpr milliseconds restart_delay{800};
    const std::size_t spared = variant / 2 % m_replicas.size();
    for (std::size_t index = 0; index < m_replicas.size(); ++index)
        if (variant % 2 == 0 ? (index + variant / 2) % 2 == 0 : index != spared)
            m_fleet.replica(m_replicas[index]).crash(restart_delay);
}

void gateway_system::stutter(std::uint64_t variant)
{
    constexpr std::array<unsigned, 3> refused{0, 5, 25};
    constexpr std::array<unsigned, 3> failed{5, 15, 30};
    constexpr std::array<unsigned, 2> repeated{30, 60};
    constexpr std::array<unsigned, 2> cut{0, 30};
    constexpr std::array delays{milliseconds{8}, milliseconds{40}, milliseconds{300}};
    base::seeded_random random(variant);
    standins::stutter_settings settings;
    settings.refused_percent = refused.at(random.below(refused.size()));
    settings.failed_percent = failed.at(random.below(failed.size()));
    settings.repeated_percent = repeated.at(random.below(repeated.size()));
    settings.max_copy_delay = delays.at(random.below(delays.size()));
    settings.repeats_failures = random.below(2) == 0;
    settings.cut_percent = cut.at(random.below(cut.size()));
    settings.max_further_latency = milliseconds{20};
    m_fleet.change_all_replicas([&settings](replica_behaviour& behaviour)
                                { behaviour.stutter = settings; });
}

gateway_system::~gateway_system()
{
    for (vm_state& item : m_vms)
        if (item.restarter.joinable())
            item.restarter.join();
}

void gateway_system::apply(const scheduled_fault& fault)
{
    switch (fault.kind)
    {
    case fault_kind::kill_entry:
    case fault_kind::kill_agent:
    case fault_kind::freeze_entry:
    case fault_kind::freeze_agent:
        return disturb_vm(fault);
    case fault_kind::cut_route:
        return m_fleet.change_replica(choose_replica(fault), [](replica_behaviour& behaviour)
                                      { behaviour.never_answers = true; });
    case fault_kind::delay_route:
        return m_fleet.change_replica(choose_replica(fault), [](replica_behaviour& behaviour)
                                      { behaviour.latency = slow_reply; });
    case fault_kind::upstream_fault:
        return set_replica_fault(choose_replica(fault), fault.variant);
    case fault_kind::platform_outage:
    case fault_kind::slow_platform:
    case fault_kind::lose_write_answers:
        return change_store(fault);
    case fault_kind::publish_index:
        return publish_route();
    case fault_kind::repartition:
        return add_index();
    case fault_kind::drain_upstream:
        return drain(choose_replica(fault));
    case fault_kind::race_operators:
        publish_route();
        return publish_route();
    case fault_kind::lose_replicas:
        return lose_replicas(fault);
    case fault_kind::limit_replica:
        return limit_replica(choose_replica(fault), fault.variant);
    case fault_kind::endless_replies:
        return m_fleet.change_replica(choose_replica(fault),
                                      [&fault](replica_behaviour& behaviour)
                                      {
                                          behaviour.has_endless_head = fault.variant % 2 == 0;
                                          behaviour.has_endless_body = fault.variant % 2 == 1;
                                      });
    case fault_kind::signal_series:
        return send_signal_series(fault);
    case fault_kind::deadly_requests:
        m_deadly_number.store(1 + fault.variant);
        return;
    case fault_kind::crash_replicas:
        return crash_replicas(fault.variant);
    case fault_kind::stuttering_replicas:
        return stutter(fault.variant);
    }
}

void gateway_system::clear(const scheduled_fault& fault)
{
    switch (fault.kind)
    {
    case fault_kind::kill_entry:
    case fault_kind::kill_agent:
    case fault_kind::freeze_entry:
    case fault_kind::freeze_agent:
        return restore_vm(fault);
    case fault_kind::cut_route:
        return m_fleet.change_replica(find_target(fault), [](replica_behaviour& behaviour)
                                      { behaviour.never_answers = false; });
    case fault_kind::delay_route:
        return m_fleet.change_replica(find_target(fault), [](replica_behaviour& behaviour)
                                      { behaviour.latency = replica_behaviour{}.latency; });
    case fault_kind::upstream_fault:
        return clear_replica_fault(find_target(fault));
    case fault_kind::platform_outage:
    case fault_kind::slow_platform:
    case fault_kind::lose_write_answers:
        return restore_store(fault);
    case fault_kind::repartition:
        return publish_index();
    case fault_kind::drain_upstream:
        return check_drain(find_target(fault));
    case fault_kind::lose_replicas:
        return regain_replicas(fault);
    case fault_kind::limit_replica:
        return end_limit(find_target(fault));
    case fault_kind::endless_replies:
        for (std::size_t vm = 0; vm < m_vms.size(); ++vm)
            check_memory(vm);
        return m_fleet.change_replica(find_target(fault),
                                      [](replica_behaviour& behaviour)
                                      {
                                          behaviour.has_endless_head = false;
                                          behaviour.has_endless_body = false;
                                      });
    case fault_kind::publish_index:
    case fault_kind::race_operators:
    case fault_kind::signal_series:
    case fault_kind::crash_replicas:
        return;
    case fault_kind::deadly_requests:
        m_deadly_number.store(0);
        return;
    case fault_kind::stuttering_replicas:
        return m_fleet.change_all_replicas([](replica_behaviour& behaviour)
                                           { behaviour.stutter = {}; });
    }
}

const std::string& gateway_system::choose_replica(const scheduled_fault& fault)
{
    return m_fault_targets[{fault.kind, fault.target}] = m_replicas.at(fault.target);
}

void gateway_system::disturb_vm(const scheduled_fault& fault)
{
    vm_state& item = m_vms.at(fault.target);
    // A planned stop or an earlier fault is still active.
    if (item.is_disturbed.exchange(true))
        return;
    const bool is_stop = fault.kind == fault_kind::kill_agent;
    m_disturbances.begin(is_stop ? stop_component(fault.target) : vm_component(fault.target),
                         steady_clock::now());
    testing_support::child_process& process = *m_fleet.vm(fault.target).process;
    if (fault.kind == fault_kind::kill_entry)
        process.kill();
    else if (is_stop)
        process.terminate();
    else
        process.freeze();
    if (!is_stop)
        return;
    if (item.restarter.joinable())
        item.restarter.join();
    item.restarter = std::thread(
        [this, vm = fault.target]
        {
            const auto status = m_fleet.vm(vm).process->wait(stop_timeout);
            if (status != 0)
                m_audit.add_violation("processes end when they are told to",
                                      fmt::format("vm {} ended with status {}", vm,
                                                  status ? std::to_string(*status) : "none"));
            restart(vm);
        });
}

void gateway_system::restore_vm(const scheduled_fault& fault)
{
    vm_state& item = m_vms.at(fault.target);
    if (!item.is_disturbed.load() || fault.kind == fault_kind::kill_agent)
        return;
    if (item.restarter.joinable())
        item.restarter.join();
    if (!item.is_disturbed.load())
        return;
    if (fault.kind == fault_kind::kill_entry)
        return restart(fault.target);
    m_fleet.vm(fault.target).process->resume();
    m_disturbances.end(vm_component(fault.target), steady_clock::now());
    item.is_disturbed.store(false);
}

std::optional<std::size_t> gateway_system::find_sender(const std::string& address) const
{
    for (std::size_t vm = 0; vm < m_vms.size() && m_vms.size() <= max_vms_with_routes; ++vm)
        if (m_fleet.route_ip(vm) == address)
            return vm;
    return std::nullopt;
}

// Settings that are read again, stops and kills follow each other so closely that some meet a
// process that stops or starts.
void gateway_system::send_signal_series(const scheduled_fault& fault)
{
    const std::size_t vm = fault.target % m_vms.size();
    vm_state& item = m_vms.at(vm);
    if (item.is_disturbed.exchange(true))
        return;
    m_disturbances.begin(vm_component(vm), steady_clock::now());
    if (item.restarter.joinable())
        item.restarter.join();
    item.restarter = std::thread(
        [this, vm, variant = fault.variant]
        {
            constexpr std::uint64_t max_gap_ms = 400;
            constexpr int rounds = 3;
            base::seeded_random random(variant);
            for (int round = 0; round < rounds; ++round)
            {
                testing_support::child_process& process = *m_fleet.vm(vm).process;
                process.send_signal(SIGHUP);
                process.send_signal(random.below(2) == 0 ? SIGTERM : SIGHUP);
                std::this_thread::sleep_for(
                    milliseconds{static_cast<std::int64_t>(random.below(max_gap_ms))});
                process.send_signal(random.below(2) == 0 ? SIGTERM : SIGKILL);
                if (!process.wait(stop_timeout))
                    m_audit.add_violation("processes end when they are told to",
                                          fmt::format("vm {} in a series of signals", vm));
                m_vms.at(vm).incarnation.fetch_add(1);
                m_fleet.start(vm);
                std::this_thread::sleep_for(
                    milliseconds{static_cast<std::int64_t>(random.below(max_gap_ms))});
            }
            m_disturbances.end(vm_component(vm), steady_clock::now());
            m_vms.at(vm).is_disturbed.store(false);
        });
}

// One VM loses its links, or all but one.
std::vector<std::size_t> gateway_system::cut_targets(const scheduled_fault& fault) const
{
    const std::size_t spared = fault.target % m_vms.size();
    if (fault.variant % 2 == 0)
        return {spared};
    std::vector<std::size_t> result;
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm)
        if (vm != spared)
            result.push_back(vm);
    return result;
}

void gateway_system::lose_replicas(const scheduled_fault& fault)
{
    if (m_vms.size() > max_vms_with_routes)
        return;
    constexpr std::array modes{"cut", "freeze", "refuse_new"};
    for (const std::size_t vm : cut_targets(fault))
    {
        m_disturbances.begin(links_component(vm), steady_clock::now());
        m_cut_vms[vm] = steady_clock::now();
        m_fleet.set_routes(vm, modes.at(fault.variant / 2 % modes.size()));
    }
}

void gateway_system::regain_replicas(const scheduled_fault& fault)
{
    if (m_vms.size() > max_vms_with_routes)
        return;
    const auto now = steady_clock::now();
    const std::vector<std::size_t> targets = cut_targets(fault);
    m_audit.add_reach_loss(
        {{targets.begin(), targets.end()}, m_vms.size(), m_cut_vms[targets.front()], now});
    for (const std::size_t vm : targets)
    {
        m_fleet.set_routes(vm, "pass");
        m_disturbances.end(links_component(vm), steady_clock::now());
        m_cut_vms.erase(vm);
    }
}

void gateway_system::limit_replica(const std::string& id, std::uint64_t variant)
{
    constexpr std::uint64_t max_rate = 10;
    const auto rate = static_cast<double>(1 + variant % max_rate);
    m_fleet.change_replica(id, [rate](replica_behaviour& behaviour)
                           { behaviour.request_limit = fmt::format("{:.1f}", rate); });
    m_audit.begin_limit(id, rate, steady_clock::now());
}

void gateway_system::end_limit(const std::string& id)
{
    m_audit.end_limit(id, steady_clock::now());
    m_fleet.change_replica(id,
                           [](replica_behaviour& behaviour) { behaviour.request_limit.clear(); });
}

void gateway_system::check_memory(std::size_t vm)
{
    // The smallest VMs of the platform have 112 MB.
    constexpr std::size_t max_bytes = 64U << 20U;
    if (m_vms.at(vm).is_disturbed.load())
        return;
    m_audit.count_check("memory");
    const std::size_t bytes = m_fleet.peak_memory_bytes(vm);
    if (bytes > max_bytes)
        m_audit.add_violation("memory stays bounded", fmt::format("{} bytes at vm {}", bytes, vm));
}

void gateway_system::restart(std::size_t vm)
{
    m_vms.at(vm).incarnation.fetch_add(1);
    m_fleet.start(vm);
    m_disturbances.end(vm_component(vm), steady_clock::now());
    m_disturbances.end(stop_component(vm), steady_clock::now());
    m_vms.at(vm).is_disturbed.store(false);
}

void gateway_system::change_store(const scheduled_fault& fault)
{
    m_disturbances.begin(store_component, steady_clock::now());
    if (fault.kind == fault_kind::slow_platform)
        return m_fleet.store().set_delay(
            milliseconds{store_delay_ms + fault.variant % store_delay_ms});
    if (fault.kind == fault_kind::lose_write_answers)
        return m_fleet.store().set_losing_answers(true);
    // What is written from now on is missing in the copy.
    if (comes_back_from_copy(fault))
        m_fleet.store().keep_copy();
    constexpr std::array modes{store_mode::refusing, store_mode::silent, store_mode::limiting};
    m_fleet.store().set_mode(modes.at(fault.variant % modes.size()));
    m_fleet.store().cut_connections();
}

void gateway_system::restore_store(const scheduled_fault& fault)
{
    if (fault.kind == fault_kind::slow_platform)
        m_fleet.store().set_delay(milliseconds{0});
    else if (fault.kind == fault_kind::lose_write_answers)
        m_fleet.store().set_losing_answers(false);
    else
    {
        // A store may have lost its history in an outage.
        if (fault.variant % 2 == 0)
            m_fleet.store().drop_history();
        if (comes_back_from_copy(fault))
            m_fleet.store().restore_copy();
        m_fleet.store().set_mode(store_mode::serving);
        if (comes_back_from_copy(fault))
            m_fleet.write_again();
    }
    m_disturbances.end(store_component, steady_clock::now());
}

void gateway_system::set_replica_fault(const std::string& id, std::uint64_t variant)
{
    constexpr std::array<bool replica_behaviour::*, 7> faults{
        &replica_behaviour::refuses,         &replica_behaviour::loses_answers,
        &replica_behaviour::truncates,       &replica_behaviour::repeats_answers,
        &replica_behaviour::appends_garbage, &replica_behaviour::is_unframed,
        &replica_behaviour::closes};
    constexpr unsigned internal_error = 500;
    // One fault in four announces that the replica stops; a refusal states a time in the others.
    constexpr std::uint64_t announcement_interval = 4;
    if (variant / (faults.size() + 1) % announcement_interval == 0)
    {
        m_fleet.change_replica(id,
                               [](replica_behaviour& behaviour) { behaviour.is_leaving = true; });
        m_audit.begin_leaving(id, steady_clock::now());
        return;
    }
    m_fleet.change_replica(id,
                           [&](replica_behaviour& behaviour)
                           {
                               const std::size_t index = variant % (faults.size() + 1);
                               if (index == faults.size())
                                   behaviour.status = internal_error;
                               else
                                   behaviour.*faults.at(index) = true;
                               if (behaviour.refuses)
                                   behaviour.retry_after = closed_time;
                           });
}

void gateway_system::clear_replica_fault(const std::string& id)
{
    bool was_leaving = false;
    m_fleet.change_replica(id,
                           [&was_leaving](replica_behaviour& behaviour)
                           {
                               was_leaving = behaviour.is_leaving;
                               // The others are faults of other kinds, which may be active.
                               replica_behaviour repaired = without_faults(behaviour);
                               repaired.never_answers = behaviour.never_answers;
                               repaired.latency = behaviour.latency;
                               repaired.stutter = behaviour.stutter;
                               repaired.request_limit = behaviour.request_limit;
                               repaired.has_endless_head = behaviour.has_endless_head;
                               repaired.has_endless_body = behaviour.has_endless_body;
                               behaviour = repaired;
                           });
    if (!was_leaving)
        return;
    m_audit.end_leaving(id, steady_clock::now());
    m_fleet.restart_replica(id);
}

void gateway_system::drain(const std::string& id)
{
    m_fleet.register_replica(id, "draining");
    m_drained_at = steady_clock::now();
}

void gateway_system::check_drain(const std::string& id)
{
    const auto now = steady_clock::now();
    const auto due = m_drained_at + gateway_audit::drain_bound;
    std::size_t late_count = 0;
    for (const auto& arrived_at : m_fleet.replica(id).arrival_times())
        late_count += arrived_at > due ? 1 : 0;
    const bool is_undisturbed = m_disturbances.is_undisturbed(
        store_component, m_drained_at - gateway_audit::stable_window, now);
    bool are_vms_undisturbed = true;
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm)
        are_vms_undisturbed =
            are_vms_undisturbed &&
            m_disturbances.is_undisturbed(vm_component(vm),
                                          m_drained_at - gateway_audit::stable_window, now);
    if (is_undisturbed && are_vms_undisturbed)
        m_audit.count_check("drains");
    if (late_count > 0 && is_undisturbed && are_vms_undisturbed)
        m_audit.add_violation("draining replicas get no late request",
                              fmt::format("{} requests at {}", late_count, id));
    m_fleet.register_replica(id, "ready");
}

// The new shards' replicas start before a configuration names them.
void gateway_system::add_index()
{
    ++m_generation;
    for (std::size_t shard = 0; shard < shard_count; ++shard)
        for (std::size_t index = 0; index < replica_count; ++index)
            m_fleet.add_replica(fmt::format("index{}x{}", m_generation, shard), index);
    arm_replicas();
}

void gateway_system::publish_index()
{
    std::vector<std::string> shards;
    // Replaces all replicas but those of the `single` service by those of the new shards.
    std::erase_if(m_replicas, [](const std::string& id) { return !id.starts_with("single-"); });
    Json::Value& gather = m_fleet.configuration()["routes"][0]["gather"];
    gather = Json::arrayValue;
    for (std::size_t shard = 0; shard < shard_count; ++shard)
    {
        shards.push_back(fmt::format("index{}x{}", m_generation, shard));
        gather.append(shards.back());
        for (std::size_t index = 0; index < replica_count; ++index)
            m_replicas.push_back(fmt::format("{}-{}", shards.back(), index));
    }
    // Added before it is published, because a VM may use it before the store's answer arrives.
    m_audit.add_generation(std::move(shards), steady_clock::now());
    m_fleet.publish();
}

void gateway_system::publish_route()
{
    const std::string name = fmt::format("more{}", ++m_route);
    Json::Value& routes = m_fleet.configuration()["routes"];
    constexpr Json::ArrayIndex max_routes = 8;
    if (routes.size() >= max_routes)
        routes.resize(3);
    routes.append(testing_support::platform_fleet::make_route(name, "/" + name + "/"));
    m_fleet.publish();
}

void gateway_system::clear_all()
{
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm)
    {
        vm_state& item = m_vms.at(vm);
        if (item.restarter.joinable())
            item.restarter.join();
        if (!item.is_disturbed.load())
            continue;
        if (m_fleet.vm(vm).process->is_running())
            m_fleet.vm(vm).process->resume();
        else
            restart(vm);
    }
    for (const auto& [vm, ignored] : m_cut_vms)
        m_fleet.set_routes(vm, "pass");
    m_fleet.store().set_mode(store_mode::serving);
    m_fleet.store().set_delay(milliseconds{0});
    m_fleet.store().set_losing_answers(false);
    for (const auto& [id, ignored] : m_fleet.replicas())
        clear_replica_fault(id);
    m_fleet.change_all_replicas([](replica_behaviour& behaviour)
                                { behaviour = without_faults(behaviour); });
    for (const auto& [fault, id] : m_fault_targets)
        m_fleet.register_replica(id, "ready");
}

bool gateway_system::wait_until_recovered()
{
    constexpr unsigned ok = 200;
    const auto is_answer_complete = [this](std::size_t vm)
    {
        testing_support::caller_message message;
        message.id = fmt::format("after-{}", vm);
        const auto answer = m_fleet.send(vm, std::move(message));
        return answer.status == ok && answer.receipts().size() == shard_count;
    };
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm)
        if (!testing_support::wait_until(
                recovery_timeout,
                [&] { return m_fleet.readiness(vm) == ok && is_answer_complete(vm); }))
            return false;
    return true;
}

} // namespace ospreystair::chaos
