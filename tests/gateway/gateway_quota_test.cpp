// Quotas of teams that several VMs keep together.

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "teams/keeper_choice.hpp"
#include "tests/gateway/platform_fleet.hpp"

namespace ospreystair::testing_support
{
namespace
{

using namespace std::chrono_literals;

void add_team(platform_fleet& fleet, const std::string& name, double rate, double burst)
{
    Json::Value team;
    team["name"] = name;
    team["apiKeys"].append("key-of-" + name);
    team["ratePerS"] = rate;
    team["burst"] = burst;
    fleet.configuration()["tenants"].append(team);
}

class gateway_quota_test : public testing::Test
{
protected:
    static constexpr std::size_t vm_count = 3;
    static constexpr auto window = 5s;

    gateway_quota_test()
    {
        add_team(m_fleet, "hot", 4, 10);
        add_team(m_fleet, "calm", 40, 40);
        m_fleet.change_all_replicas([](auto& behaviour) { behaviour.latency = 5ms; });
        m_fleet.publish();
        for (std::size_t vm = 0; vm < vm_count; ++vm)
            m_fleet.warm_up(vm);
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

class gateway_added_vm_test : public testing::Test
{
protected:
    static constexpr std::size_t vm_count = 3;
    static constexpr std::size_t team_count = 4;
    static constexpr auto window = 5s;
    static constexpr double rate = 20;

    gateway_added_vm_test()
    {
        choose_teams();
        for (const std::string& name : m_teams)
            add_team(m_fleet, name, rate, 0);
        m_fleet.change_all_replicas([](auto& behaviour) { behaviour.latency = 5ms; });
        m_fleet.publish();
        for (std::size_t vm = 0; vm < vm_count; ++vm)
            m_fleet.warm_up(vm);
    }

    // Teams whose quota the added VM keeps.
    void choose_teams()
    {
        teams::keeper_choice choice;
        choice.adopt({"vm1", "vm2", "vm3", "vm4"});
        for (int number = 0; m_teams.size() < team_count; ++number)
        {
            const std::string name = "team-" + std::to_string(number);
            if (choice.find(name) == "vm4")
                m_teams.push_back(name);
        }
    }

    /// Sends far more than the team's quota; returns when the requests were served.
    std::vector<std::chrono::steady_clock::time_point>
    send_for(std::chrono::steady_clock::duration time, const std::string& team)
    {
        std::vector<std::chrono::steady_clock::time_point> result;
        const auto end = std::chrono::steady_clock::now() + time;
        for (std::size_t vm = 0; std::chrono::steady_clock::now() < end; ++vm)
        {
            const caller_answer answer = m_fleet.send(
                vm % vm_count, {.path = "/one/q", .fields = {{"Credential", "key-of-" + team}}});
            if (answer.status == 200)
                result.push_back(std::chrono::steady_clock::now());
            std::this_thread::sleep_for(10ms);
        }
        return result;
    }

    std::vector<std::string> m_teams;
    platform_fleet m_fleet{{.vms = vm_count + 1, .late_vms = 1, .shards = 1, .replicas = 2}};
};

// Guards against two VMs that grant one quota after a VM was added, while others have not read the
// new list.
TEST_F(gateway_added_vm_test, quotas_are_granted_once_while_a_vm_is_added)
{
    std::vector<std::vector<std::chrono::steady_clock::time_point>> served(team_count);
    std::vector<std::thread> senders;
    // By then the VMs read the list every eight seconds and more.
    static constexpr auto time_before = 9s;
    static constexpr auto time_after = 7s;
    for (std::size_t index = 0; index < team_count; ++index)
        senders.emplace_back(
            [this, index, &served]
            { served[index] = send_for(time_before + time_after, m_teams[index]); });
    std::this_thread::sleep_for(time_before);
    m_fleet.start(vm_count);
    EXPECT_TRUE(m_fleet.wait_until_ready(vm_count));
    for (std::thread& each : senders)
        each.join();
    for (std::size_t index = 0; index < team_count; ++index)
    {
        std::size_t most = 0;
        auto first = served[index].begin();
        for (auto last = served[index].begin(); last != served[index].end(); ++last)
        {
            while (*last - *first >= window)
                ++first;
            most = std::max(most, static_cast<std::size_t>(last - first) + 1);
        }
        EXPECT_LE(most, rate * 5 * 1.1 + 20) << m_teams[index];
        // The team is served all the while.
        EXPECT_GE(served[index].size(), rate * 16 * 0.7) << m_teams[index];
    }
    EXPECT_NE(m_fleet.log(vm_count).find("\"introduced\""), std::string::npos);
}

} // namespace
} // namespace ospreystair::testing_support
