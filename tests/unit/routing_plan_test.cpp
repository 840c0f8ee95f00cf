// Tests of the connection plan over all VMs.

#include <algorithm>
#include <numeric>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "routing/connection_plan.hpp"
#include "routing/connection_planner.hpp"
#include "routing/connection_quota.hpp"

namespace ospreystair::routing
{
namespace
{

std::vector<node_location> make_locations(const std::string& prefix, unsigned count,
                                          unsigned data_centre_count)
{
    std::vector<node_location> result;
    for (unsigned index = 0; index < count; ++index)
        result.push_back(
            {prefix + std::to_string(index), "zone" + std::to_string(index % data_centre_count)});
    return result;
}

struct fleet_plan
{
    std::vector<std::vector<std::uint32_t>> connections_by_vm;

    static fleet_plan create(const std::vector<node_location>& vms,
                             const std::vector<node_location>& replicas, std::uint32_t limit)
    {
        fleet_plan result;
        for (const node_location& vm : vms)
            result.connections_by_vm.push_back(
                plan_connections("s", vm.name, vms, replicas, limit));
        return result;
    }
};

// Guards against more connections than a replica accepts, which it would reset, and against VMs
// without a connection while others have two.
RC_GTEST_PROP(connection_plan_test, any_fleet_stays_within_limits_and_shares_evenly, ())
{
    const auto data_centre_count = *rc::gen::inRange(1U, 5U);
    const auto vms = make_locations("vm", *rc::gen::inRange(1U, 60U), data_centre_count);
    const auto replicas = make_locations("r", *rc::gen::inRange(1U, 6U), data_centre_count);
    const auto limit = *rc::gen::inRange(1U, 70U);
    const fleet_plan plan = fleet_plan::create(vms, replicas, limit);
    std::uint32_t fewest = UINT32_MAX;
    std::uint32_t most = 0;
    for (std::size_t replica = 0; replica < replicas.size(); ++replica)
    {
        std::uint32_t sum = 0;
        for (const auto& connections : plan.connections_by_vm)
            sum += connections[replica];
        RC_ASSERT(sum <= shared_connections(limit));
    }
    for (const auto& connections : plan.connections_by_vm)
    {
        const std::uint32_t sum = std::accumulate(connections.begin(), connections.end(), 0U);
        fewest = std::min(fewest, sum);
        most = std::max(most, sum);
    }
    RC_ASSERT(most - fewest <= 1U);
}

// Guards against a VM that is connected to only one replica of a shard although the limits allow
// two: it could not use another replica when the first one hangs.
TEST(connection_plan_test, second_connection_goes_to_another_replica)
{
    const auto vms = make_locations("vm", 82, 3);
    const auto replicas = make_locations("r", 3, 3);
    const fleet_plan plan = fleet_plan::create(vms, replicas, 63);
    for (const auto& connections : plan.connections_by_vm)
    {
        EXPECT_EQ(*std::max_element(connections.begin(), connections.end()), 1U);
        EXPECT_GE(std::accumulate(connections.begin(), connections.end(), 0U), 2U);
    }
}

// Guards against traffic between data centres although a replica in the VM's own one has
// connections left.
TEST(connection_plan_test, replica_of_own_data_centre_is_kept)
{
    const auto vms = make_locations("vm", 82, 3);
    const auto replicas = make_locations("r", 3, 3);
    const fleet_plan plan = fleet_plan::create(vms, replicas, 63);
    for (std::size_t vm = 0; vm < vms.size(); ++vm)
        EXPECT_EQ(plan.connections_by_vm[vm][vm % 3], 1U) << vms[vm].name;
}

// Guards against VMs that send most of the requests and have to wait for connections that others
// keep idle.
TEST(connection_plan_test, preferred_vms_have_two_connections_to_each_replica_within_the_limit)
{
    const auto vms = make_locations("vm", 82, 3);
    const auto replicas = make_locations("r", 3, 3);
    const std::set<std::string> preferred{"vm3", "vm4", "vm5"};
    std::vector<std::uint32_t> sums(replicas.size());
    for (const node_location& vm : vms)
    {
        const auto planned = plan_connections("s", vm.name, vms, replicas, 63, preferred);
        for (std::size_t replica = 0; replica < replicas.size(); ++replica)
            sums[replica] += planned[replica];
        if (preferred.contains(vm.name))
        {
            EXPECT_EQ(planned, (std::vector<std::uint32_t>{2, 2, 2}));
        }
    }
    for (const std::uint32_t sum : sums)
        EXPECT_LE(sum, shared_connections(63));
}

// Guards against a VM that opens connections before the others know of it.
TEST(connection_plan_test, unlisted_vm_has_no_connections)
{
    const auto vms = make_locations("vm", 3, 1);
    EXPECT_EQ(plan_connections("s", "other", vms, make_locations("r", 2, 1), 25),
              (std::vector<std::uint32_t>{0, 0}));
}

// Guards against VMs that keep connections which only gatherers need, and against gatherers of
// another data centre that are taken for their own.
TEST(connection_planner_test, only_gatherers_of_a_data_centre_keep_connections_to_shards)
{
    const auto vms = make_locations("vm", 12, 3);
    const auto replicas = make_locations("r", 3, 3);
    const auto plan_for = [&](const std::string& vm, bool is_shard)
    {
        connection_planner planner(vm);
        planner.set_vms(vms, {"vm0", "vm1"});
        return planner.plan("s", replicas, 100, is_shard);
    };
    EXPECT_EQ(plan_for("vm0", true), (std::vector<std::uint32_t>{2, 2, 2}));
    EXPECT_EQ(plan_for("vm3", true), (std::vector<std::uint32_t>{0, 0, 0}));
    EXPECT_EQ(plan_for("vm3", false), (std::vector<std::uint32_t>{2, 2, 2}));
    EXPECT_EQ(plan_for("vm5", true), (std::vector<std::uint32_t>{2, 2, 2}));
}

// Guards against a plan that is kept although its replicas, its limit or the VMs have changed, and
// against plans of all services after the change of one.
TEST(connection_planner_test, only_changed_services_are_planned_again)
{
    auto vms = make_locations("vm", 40, 3);
    auto replicas = make_locations("r", 3, 3);
    connection_planner planner("vm7");
    EXPECT_EQ(planner.plan("s", replicas, 20), std::vector<std::uint32_t>(3));
    EXPECT_TRUE(planner.set_vms(vms));
    EXPECT_FALSE(planner.set_vms(vms));
    const auto expect_plan = [&](const std::string& service, std::uint32_t limit)
    {
        EXPECT_EQ(planner.plan(service, replicas, limit),
                  plan_connections(service, "vm7", vms, replicas, limit));
    };
    expect_plan("s", 20);
    expect_plan("t", 20);
    const std::size_t count = planner.computed_count();
    expect_plan("s", 20);
    expect_plan("t", 20);
    EXPECT_EQ(planner.computed_count(), count);
    expect_plan("s", 90);
    replicas.pop_back();
    expect_plan("t", 20);
    EXPECT_EQ(planner.computed_count(), count + 2);
    vms.erase(vms.begin());
    EXPECT_TRUE(planner.set_vms(vms));
    expect_plan("s", 90);
    planner.forget_unless([](const std::string& service) { return service == "t"; });
    expect_plan("s", 90);
    EXPECT_EQ(planner.computed_count(), count + 4);
}

} // namespace
} // namespace ospreystair::routing
