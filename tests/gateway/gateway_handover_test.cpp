// VMs that lose all replicas while callers, the store and the other VMs still reach them.

#include <algorithm>
#include <string>
#include <thread>

#include <gtest/gtest.h>

#include "tests/gateway/platform_fleet.hpp"
#include "tests/integration/test_client.hpp"

namespace ospreystair::testing_support
{
namespace
{

using namespace std::chrono_literals;

/// The parameter is the mode of the routes to the replicas.
class gateway_handover_test : public testing::TestWithParam<const char*>
{
protected:
    static constexpr std::size_t vm_count = 4;
    // Four shards, each with two replicas, of which one answers for all.
    static constexpr std::size_t shard_count = 4;

    gateway_handover_test()
    {
        for (std::size_t vm = 0; vm < vm_count; ++vm)
            m_fleet.warm_up(vm);
    }

    void cut(std::size_t vm)
    {
        m_fleet.set_routes(vm, GetParam());
        // While a request hangs or fails, the VM notices the cut.
        for (int index = 0; index < 3; ++index)
            m_fleet.send(vm, {});
    }

    /// Sends for two seconds; returns the number of answers that are not complete.
    unsigned count_incomplete(std::size_t vm)
    {
        unsigned result = 0;
        const auto end = std::chrono::steady_clock::now() + 2s;
        while (std::chrono::steady_clock::now() < end)
        {
            const auto answer = m_fleet.send(vm, {});
            result += answer.status == 200U && answer.receipts().size() == shard_count ? 0 : 1;
            sleep_for(10ms);
        }
        return result;
    }

    platform_fleet m_fleet{{.vms = vm_count, .shards = shard_count, .has_routes = true}};
};

// Guards against callers that are refused by a VM without replicas although other VMs have them.
TEST_P(gateway_handover_test, vm_without_replicas_serves_its_callers_through_others)
{
    cut(0);
    EXPECT_EQ(count_incomplete(0), 0U);
    EXPECT_EQ(count_incomplete(1), 0U);
}

// Guards against callers of a VM without replicas that are refused as long as the other VMs have
// not read a new configuration yet.
TEST_P(gateway_handover_test, callers_are_served_while_the_other_vms_read_a_configuration)
{
    cut(0);
    EXPECT_EQ(count_incomplete(0), 0U);
    for (const std::size_t vm : {1U, 2U, 3U})
        m_fleet.delay_store(vm, 700ms);
    m_fleet.publish();
    EXPECT_EQ(count_incomplete(0), 0U);
}

// Guards against requests that are handed to a VM which is cut off too.
TEST_P(gateway_handover_test, one_connected_vm_serves_the_callers_of_all_others)
{
    for (const std::size_t vm : {0U, 1U, 2U})
        cut(vm);
    for (const std::size_t vm : {0U, 1U, 2U})
        EXPECT_LE(count_incomplete(vm), 1U);
}

// Guards against a second run of a request that must not be repeated.
TEST_P(gateway_handover_test, unrepeatable_request_runs_once_through_another_vm)
{
    cut(0);
    for (int index = 0; index < 20; ++index)
    {
        caller_message message;
        message.path = "/once/q";
        message.method = "POST";
        message.body = "a body";
        message.id = "once" + std::to_string(index);
        const auto answer = m_fleet.send(0, message);
        EXPECT_EQ(answer.status, 200U);
        EXPECT_EQ(m_fleet.executions(message.id), 1U);
    }
}

// Guards against work for callers that have left, now that two VMs are on the way.
TEST_P(gateway_handover_test, caller_that_leaves_cancels_the_work_at_the_replicas)
{
    cut(0);
    EXPECT_EQ(count_incomplete(0), 0U);
    m_fleet.change_all_replicas([](auto& behaviour) { behaviour.never_answers = true; });
    std::uint64_t arrivals = m_fleet.arrivals("shard");
    caller_message message;
    message.close_delay = 100ms - message.deadline;
    m_fleet.send(0, message);
    arrivals = m_fleet.arrivals("shard") - arrivals;
    ASSERT_GT(arrivals, 0U);
    const auto count_abandoned = [this]
    {
        std::uint64_t result = 0;
        for (const auto& [id, each] : m_fleet.replicas())
            result += each->abandoned();
        return result;
    };
    EXPECT_TRUE(wait_until(600ms, [&] { return count_abandoned() >= arrivals; }));
}

// Guards against a VM that goes on handing requests over after the cut has ended.
TEST_P(gateway_handover_test, vm_uses_its_replicas_again_after_the_cut)
{
    cut(0);
    EXPECT_EQ(count_incomplete(0), 0U);
    m_fleet.set_routes(0, "pass");
    const std::string own_ip = m_fleet.route_ip(0);
    const auto count_own = [&]
    {
        std::size_t result = 0;
        for (const auto& [id, each] : m_fleet.replicas())
            for (const auto& arrival : each->request_arrivals())
                result += arrival.sender == own_ip ? 1 : 0;
        return result;
    };
    const std::size_t before = count_own();
    EXPECT_TRUE(wait_until(6s,
                           [&]
                           {
                               EXPECT_EQ(m_fleet.send(0, {}).status, 200U);
                               return count_own() >= before + 10 * shard_count;
                           }));
}

INSTANTIATE_TEST_SUITE_P(connections, gateway_handover_test,
                         testing::Values("cut", "freeze", "refuse_new"),
                         [](const auto& instance) { return std::string(instance.param); });

} // namespace
} // namespace ospreystair::testing_support
