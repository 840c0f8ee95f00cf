// A replica in need names the requests a second that it takes from all VMs together.

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "tests/gateway/platform_fleet.hpp"
#include "tests/integration/test_client.hpp"

namespace ospreystair::testing_support
{
namespace
{

using namespace std::chrono_literals;

class gateway_limit_test : public testing::Test
{
protected:
    static constexpr std::size_t vm_count = 3;

    gateway_limit_test()
    {
        for (std::size_t vm = 1; vm < vm_count; ++vm)
            m_fleet.wait_until_ready(vm);
    }

    /// Sends through all VMs for `duration`; returns how many requests were not answered with 200.
    unsigned send_for(std::chrono::milliseconds duration)
    {
        std::vector<unsigned> failures(vm_count);
        std::vector<std::thread> callers;
        for (std::size_t vm = 0; vm < vm_count; ++vm)
            callers.emplace_back(
                [this, vm, duration, &failures]
                {
                    const auto end = std::chrono::steady_clock::now() + duration;
                    while (std::chrono::steady_clock::now() < end)
                    {
                        failures[vm] += m_fleet.send(vm, {}).status == 200U ? 0 : 1;
                        sleep_for(20ms);
                    }
                });
        for (std::thread& caller : callers)
            caller.join();
        return failures[0] + failures[1] + failures[2];
    }

    platform_fleet m_fleet{{vm_count}};
};

// Guards against VMs that go on sending a replica in need as much as before.
TEST_F(gateway_limit_test, limited_replica_gets_its_rate_from_all_vms_and_queries_are_answered)
{
    const std::string limited = "shard0-0";
    constexpr double limit = 10;
    EXPECT_EQ(send_for(1s), 0U);
    m_fleet.change_replica(limited, [](auto& behaviour) { behaviour.request_limit = "10.0"; });
    EXPECT_EQ(send_for(1s), 0U);
    const auto from = std::chrono::steady_clock::now();
    EXPECT_EQ(send_for(4s), 0U);
    const auto times = m_fleet.replica(limited).arrival_times();
    const auto arrivals = std::count_if(times.begin(), times.end(),
                                        [from](const auto& time) { return time >= from; });
    EXPECT_LE(arrivals, 1.5 * limit * 4 + 5);
    EXPECT_GE(arrivals, limit);
}

} // namespace
} // namespace ospreystair::testing_support
