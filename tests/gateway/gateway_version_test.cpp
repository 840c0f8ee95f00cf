// Gateways of the release in production beside those of this build. The environment variable
// OSPREYSTAIR_OLD_GATEWAY names the program of the former; see scripts/build-version.

#include <csignal>
#include <cstdlib>
#include <optional>
#include <string>

#include <gtest/gtest.h>

#include "tests/gateway/platform_fleet.hpp"
#include "tests/integration/test_client.hpp"

namespace ospreystair::testing_support
{
namespace
{

using namespace std::chrono_literals;

std::string old_gateway()
{
    const char* const path = std::getenv("OSPREYSTAIR_OLD_GATEWAY");
    return path == nullptr ? "" : path;
}

class gateway_version_test : public testing::Test
{
protected:
    static constexpr std::size_t vm_count = 4;
    static constexpr std::size_t shard_count = 4;

    void SetUp() override
    {
        if (old_gateway().empty())
            GTEST_SKIP() << "OSPREYSTAIR_OLD_GATEWAY is not set";
        m_fleet.emplace(fleet_options{.vms = vm_count,
                                      .shards = shard_count,
                                      .replicas = 3,
                                      .program = old_gateway(),
                                      .has_routes = true});
        for (std::size_t vm = 0; vm < vm_count; ++vm)
            m_fleet->warm_up(vm);
        m_fleet->change_all_replicas(
            [](auto& behaviour)
            {
                behaviour.crash_text = "deadly";
                behaviour.restart_delay = 300ms;
                behaviour.latency = 10ms;
            });
    }

    /// Stops the VM's process gracefully and starts this build in its place.
    void upgrade(std::size_t vm)
    {
        m_fleet->vm(vm).process->send_signal(SIGTERM);
        EXPECT_EQ(m_fleet->vm(vm).process->wait(8s), 0);
        m_fleet->vm(vm).program = OSPREYSTAIR_PROGRAM_FOLDER "/ospreystair-gateway";
        m_fleet->start(vm);
        EXPECT_TRUE(m_fleet->wait_until_ready(vm));
        m_fleet->warm_up(vm);
    }

    unsigned count_failures(std::size_t vm, const std::string& path = "/all/q")
    {
        unsigned result = 0;
        for (int index = 0; index < 40; ++index)
        {
            const auto answer = m_fleet->send(vm, {.path = path});
            result += answer.status == 200U && answer.missing_parts() == 0 ? 0 : 1;
            sleep_for(10ms);
        }
        return result;
    }

    std::optional<platform_fleet> m_fleet;
};

// Guards against messages between VMs that one of two versions cannot read.
TEST_F(gateway_version_test, old_and_new_vms_hand_requests_to_each_other)
{
    upgrade(0);
    upgrade(1);
    for (const std::size_t vm : {0U, 2U})
    {
        m_fleet->set_routes(vm, "cut");
        for (int index = 0; index < 3; ++index)
            m_fleet->send(vm, {});
        EXPECT_EQ(count_failures(vm), 0U) << "through vm " << vm;
        m_fleet->set_routes(vm, "pass");
        sleep_for(2s);
    }
}

// Guards against a deadly request that new VMs send on because old ones give no evidence.
TEST_F(gateway_version_test, new_vms_refuse_a_deadly_request_beside_old_ones)
{
    upgrade(0);
    upgrade(1);
    for (int round = 0; round < 3; ++round)
        for (const std::size_t vm : {0U, 1U})
        {
            m_fleet->send(vm, {.path = "/all/deadly"});
            sleep_for(1'300ms);
        }
    EXPECT_EQ(m_fleet->send(0, {.path = "/all/deadly"}).status, 503U);
    EXPECT_EQ(m_fleet->send(1, {.path = "/all/deadly"}).status, 503U);
    // The old VMs crash the replicas, which the new ones survive.
    m_fleet->send(2, {.path = "/all/deadly"});
    sleep_for(1'500ms);
    for (std::size_t vm = 0; vm < vm_count; ++vm)
        EXPECT_EQ(count_failures(vm), 0U) << "at vm " << vm;
}

// Guards against evidence that is lost when the VMs are replaced one after the other.
TEST_F(gateway_version_test, evidence_survives_the_replacement_of_all_vms)
{
    upgrade(0);
    upgrade(1);
    for (const std::size_t vm : {0U, 1U})
    {
        m_fleet->send(vm, {.path = "/all/deadly"});
        sleep_for(1'300ms);
    }
    EXPECT_EQ(m_fleet->send(1, {.path = "/all/deadly"}).status, 503U);
    for (const std::size_t vm : {2U, 3U, 0U, 1U})
    {
        upgrade(vm);
        const auto answer = m_fleet->send(vm, {.path = "/all/deadly"});
        EXPECT_EQ(answer.status, 503U) << "at vm " << vm;
        EXPECT_NE(answer.body.find("crashed"), std::string::npos) << answer.body;
    }
}

} // namespace
} // namespace ospreystair::testing_support
