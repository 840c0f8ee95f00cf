// Queries that VMs with little processor time let others gather.

#include <chrono>
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

// The first and the third VM are in one data centre; the third has much more processor time.
class gateway_gather_test : public testing::Test
{
protected:
    static constexpr std::size_t small_vm = 0;
    static constexpr std::size_t large_vm = 2;
    static constexpr std::size_t shard_count = 12;

    gateway_gather_test()
    {
        m_fleet.warm_up(large_vm);
        m_fleet.warm_up(small_vm);
    }

    bool is_gathered_elsewhere()
    {
        const std::string name = "ospreystair_queries_gathered_elsewhere_total ";
        const std::string metrics = m_fleet.metrics(small_vm);
        const auto found = metrics.find("\n" + name);
        return found != std::string::npos &&
               std::stoul(metrics.substr(found + 1 + name.size())) > 0;
    }

    bool wait_until_gathered_elsewhere()
    {
        const auto end = std::chrono::steady_clock::now() + 5s;
        while (std::chrono::steady_clock::now() < end)
        {
            m_fleet.send(small_vm, {});
            if (is_gathered_elsewhere())
                return true;
            sleep_for(50ms);
        }
        return false;
    }

    /// Sends for two seconds; returns the number of answers that are not complete.
    unsigned count_incomplete()
    {
        unsigned result = 0;
        const auto end = std::chrono::steady_clock::now() + 2s;
        while (std::chrono::steady_clock::now() < end)
        {
            const auto answer = m_fleet.send(small_vm, {});
            result += answer.status == 200U && answer.receipts().size() == shard_count ? 0 : 1;
            sleep_for(10ms);
        }
        return result;
    }

    platform_fleet m_fleet{{.vms = 3, .shards = shard_count, .core_shares = {0.02, 0.5, 0.5}}};
};

// Guards against a small VM that takes longer to process a query than its callers wait.
TEST_F(gateway_gather_test, queries_of_a_small_vm_are_gathered_by_a_larger_one)
{
    ASSERT_TRUE(wait_until_gathered_elsewhere());
    EXPECT_EQ(count_incomplete(), 0U);
    const auto answer = m_fleet.send(small_vm, {.path = "/one/q"});
    EXPECT_EQ(answer.status, 200U);
}

// Guards against callers that depend on one gatherer.
TEST_F(gateway_gather_test, queries_are_gathered_here_after_the_gatherer_was_killed)
{
    ASSERT_TRUE(wait_until_gathered_elsewhere());
    m_fleet.vm(large_vm).process->kill();
    EXPECT_LE(count_incomplete(), 1U);
}

// Guards against callers that wait for a gatherer which no longer responds.
TEST_F(gateway_gather_test, queries_are_gathered_here_while_the_gatherer_is_frozen)
{
    ASSERT_TRUE(wait_until_gathered_elsewhere());
    m_fleet.vm(large_vm).process->freeze();
    // The parts of the query that was under way may have run.
    EXPECT_LE(count_incomplete(), 1U);
    m_fleet.vm(large_vm).process->resume();
}

// Guards against queries that are lost when their gatherer is replaced.
TEST_F(gateway_gather_test, no_query_is_lost_while_the_gatherer_stops)
{
    ASSERT_TRUE(wait_until_gathered_elsewhere());
    m_fleet.vm(large_vm).process->terminate();
    EXPECT_EQ(count_incomplete(), 0U);
}

} // namespace
} // namespace ospreystair::testing_support
