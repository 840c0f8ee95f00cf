// Quotas of teams that several VMs keep together.

#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "tests/gateway/platform_fleet.hpp"

namespace ospreystair::testing_support
{
namespace
{

using namespace std::chrono_literals;

class gateway_quota_test : public testing::Test
{
protected:
    static constexpr std::size_t vm_count = 3;
    static constexpr auto window = 5s;

    gateway_quota_test()
    {
        add_team("hot", 4, 10);
        add_team("calm", 40, 40);
        m_fleet.change_all_replicas([](auto& behaviour) { behaviour.latency = 5ms; });
        m_fleet.publish();
        for (std::size_t vm = 0; vm < vm_count; ++vm)
            m_fleet.warm_up(vm);
    }

    void add_team(const std::string& name, double rate, double burst)
    {
        Json::Value team;
        team["name"] = name;
        team["apiKeys"].append("key-of-" + name);
        team["ratePerS"] = rate;
        team["burst"] = burst;
        m_fleet.configuration()["tenants"].append(team);
    }

    /// Sends requests of a team in turn to all VMs; returns the answers.
    std::vector<caller_answer> send_for(std::chrono::steady_clock::duration time,
                                        const std::string& team, std::chrono::milliseconds interval)
    {
        std::vector<caller_answer> result;
        const auto end = std::chrono::steady_clock::now() + time;
        for (std::size_t vm = 0; std::chrono::steady_clock::now() < end; ++vm)
        {
            result.push_back(m_fleet.send(
                vm % vm_count, {.path = "/one/q", .fields = {{"Credential", "key-of-" + team}}}));
            std::this_thread::sleep_for(interval);
        }
        return result;
    }

    static std::size_t count_status(const std::vector<caller_answer>& answers, unsigned status)
    {
        std::size_t result = 0;
        for (const caller_answer& each : answers)
            result += each.status == status ? 1U : 0U;
        return result;
    }

    platform_fleet m_fleet{{.vms = vm_count, .shards = 1, .replicas = 2}};
};

// Guards against VMs that each grant a team the whole quota, and against a team that takes others'
// service away.
TEST_F(gateway_quota_test, team_over_its_quota_is_held_to_it_over_all_vms_and_others_are_served)
{
    std::vector<caller_answer> hot;
    std::thread sender([&] { hot = send_for(window, "hot", 10ms); });
    const auto calm = send_for(window, "calm", 60ms);
    sender.join();
    const std::size_t served = count_status(hot, 200);
    EXPECT_LE(served, (4 * 5 + 10) * 1.1 + 20);
    EXPECT_GE(served, 4U * 4);
    EXPECT_GT(hot.size(), 150U);
    EXPECT_EQ(served + count_status(hot, 429), hot.size());
    for (const caller_answer& each : hot)
        EXPECT_EQ(each.fields.contains("Retry-After"), each.status == 429);
    // A new keeper's bucket is empty, so that the first request may be refused.
    EXPECT_LE(count_status(calm, 429), 2U);
    EXPECT_EQ(count_status(calm, 200) + count_status(calm, 429), calm.size());
}

} // namespace
} // namespace ospreystair::testing_support
