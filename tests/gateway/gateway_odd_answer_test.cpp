// Replicas whose answers have a status that is none, behind direct, gathered and handed-over
// requests.

#include <string>

#include <gtest/gtest.h>

#include "tests/gateway/platform_fleet.hpp"
#include "tests/integration/test_client.hpp"

namespace ospreystair::testing_support
{
namespace
{

using namespace std::chrono_literals;

/// Two VMs. One of two replicas of a service and of a shard is faulty.
class odd_status_test : public testing::TestWithParam<unsigned>
{
protected:
    static constexpr int rounds = 30;

    odd_status_test()
    {
        for (const char* id : {"single-0", "shard0-0"})
            m_fleet.change_replica(id, [](auto& each) { each.status = GetParam(); });
    }

    /// Sends reads of both kinds to the first VM, which must be answered in full.
    void expect_reads_are_served()
    {
        for (int round = 0; round < rounds; ++round)
        {
            EXPECT_EQ(m_fleet.send(0, {.path = "/one/q"}).status, 200U);
            const caller_answer gathered = m_fleet.send(0, {.path = "/all/q"});
            EXPECT_EQ(gathered.status, 200U);
            EXPECT_EQ(gathered.missing_parts(), 0);
        }
    }

    platform_fleet m_fleet{{.vms = 2, .has_routes = true}};
};

// Guards against an answer without a valid status that a caller gets, or for which a read waits
// until its time is over.
TEST_P(odd_status_test, reads_are_answered_by_the_other_replica)
{
    expect_reads_are_served();
    EXPECT_GT(m_fleet.replica("single-0").arrivals() + m_fleet.replica("shard0-0").arrivals(), 0U);
}

// Guards against the same by way of another VM.
TEST_P(odd_status_test, reads_that_are_handed_over_are_answered_by_the_other_replica)
{
    m_fleet.set_routes(0, "cut");
    ASSERT_TRUE(
        wait_until(5s, [this] { return m_fleet.send(0, {.path = "/one/q"}).status == 200U; }));
    sleep_for(1s);
    expect_reads_are_served();
}

// Guards against such an answer to a request that must not be repeated: it may have run.
TEST_P(odd_status_test, order_gets_502_or_the_answer_of_the_other_replica)
{
    for (int round = 0; round < rounds; ++round)
    {
        const std::string id = "order-" + std::to_string(round);
        const unsigned status =
            m_fleet.send(0, {.path = "/once/q", .method = "POST", .id = id, .body = "x"}).status;
        EXPECT_TRUE(status == 200U || status == 502U) << status;
        EXPECT_LE(m_fleet.executions(id), 1U);
    }
}

INSTANTIATE_TEST_SUITE_P(statuses, odd_status_test, testing::Values(0U, 1U, 99U, 600U, 999U),
                         [](const auto& instance) { return std::to_string(instance.param); });

} // namespace
} // namespace ospreystair::testing_support
