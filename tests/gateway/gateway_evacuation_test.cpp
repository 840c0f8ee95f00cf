// Evacuations of a data centre while gateway processes serve requests.

#include <gtest/gtest.h>

#include "tests/gateway/platform_fleet.hpp"
#include "tests/integration/test_client.hpp"

namespace ospreystair::testing_support
{
namespace
{

using namespace std::chrono_literals;

// Every second replica is in data centre "a", every other one in "b".
class gateway_evacuation_test : public testing::Test
{
protected:
    // A third of the bound, by which evacuations must be in force in calm.
    static constexpr auto calm_time = 1'000ms;

    gateway_evacuation_test() : m_fleet({.vms = 2, .further_bounds = "evacuateMs = 3000"})
    {
        for (std::size_t vm = 0; vm < m_fleet.vm_count(); ++vm)
            m_fleet.warm_up(vm);
    }

    std::uint64_t arrivals_in_a() const
    {
        std::uint64_t result = 0;
        for (const auto& [id, target] : m_fleet.replicas())
            result += id.back() % 2 == 0 ? target->arrivals() : 0;
        return result;
    }

    // Sends requests of both kinds through each VM; all must be answered completely.
    void send_requests()
    {
        for (int round = 0; round < 20; ++round)
            for (std::size_t vm = 0; vm < m_fleet.vm_count(); ++vm)
                for (const char* path : {"/one/q", "/all/q"})
                {
                    const auto answer = m_fleet.send(vm, {.path = path});
                    EXPECT_EQ(answer.status, 200U) << answer.body;
                    EXPECT_EQ(answer.missing_parts(), 0);
                }
    }

    platform_fleet m_fleet;
};

// Guards against requests that reach an evacuated data centre, and against one that gets nothing
// after it was taken back.
TEST_F(gateway_evacuation_test, replicas_get_nothing_until_the_evacuation_is_taken_back)
{
    m_fleet.store().put("evacuations", "a", Json::Value(Json::objectValue));
    sleep_for(calm_time);
    const std::uint64_t before = arrivals_in_a();
    send_requests();
    EXPECT_EQ(arrivals_in_a(), before);
    EXPECT_NE(m_fleet.log(0).find("evacuation_started"), std::string::npos);
    EXPECT_NE(m_fleet.metrics(0).find("ospreystair_evacuated_data_centres 1"), std::string::npos);
    m_fleet.store().remove("evacuations", "a");
    sleep_for(calm_time);
    send_requests();
    EXPECT_GT(arrivals_in_a(), before);
}

// Guards against a VM that starts during an evacuation and takes callers before it knows of it, and
// against an entry that is ignored because its content cannot be read.
TEST_F(gateway_evacuation_test, vm_that_starts_in_the_middle_sends_nothing)
{
    m_fleet.store().put("evacuations", "a", Json::Value("no object"));
    sleep_for(calm_time);
    const std::uint64_t before = arrivals_in_a();
    m_fleet.vm(0).process->kill();
    m_fleet.start(0);
    ASSERT_TRUE(m_fleet.wait_until_ready(0));
    send_requests();
    EXPECT_EQ(arrivals_in_a(), before);
}

// Guards against an evacuation that ends or begins by itself while the store is away, and against
// one of a lost history that stays in force for ever.
TEST_F(gateway_evacuation_test, evacuation_holds_in_an_outage_and_follows_a_restored_store)
{
    m_fleet.store().keep_copy();
    m_fleet.store().put("evacuations", "a", Json::Value(Json::objectValue));
    sleep_for(calm_time);
    const std::uint64_t before = arrivals_in_a();
    m_fleet.store().set_mode(standins::store_mode::refusing);
    m_fleet.store().cut_connections();
    sleep_for(1s);
    send_requests();
    EXPECT_EQ(arrivals_in_a(), before);
    m_fleet.store().restore_copy();
    m_fleet.store().set_mode(standins::store_mode::serving);
    m_fleet.write_again();
    ASSERT_TRUE(wait_until(
        5s, [this] { return m_fleet.log(0).find("evacuation_ended") != std::string::npos; }));
}

// Guards against a caller that waits for replicas which it cannot get.
TEST_F(gateway_evacuation_test, request_is_refused_at_once_when_all_data_centres_are_evacuated)
{
    for (const char* data_centre : {"a", "b"})
        m_fleet.store().put("evacuations", data_centre, Json::Value(Json::objectValue));
    sleep_for(calm_time);
    const auto answer = m_fleet.send(0, {.path = "/one/q"});
    EXPECT_EQ(answer.status, 503U);
    EXPECT_LT(answer.elapsed, 200ms);
    EXPECT_TRUE(answer.fields.contains("Retry-After") || answer.fields.contains("Retry-After-Ms") ||
                answer.fields.contains("retry-after"))
        << answer.body;
    sleep_for(2s);
    EXPECT_EQ(m_fleet.readiness(0), 200U);
}

} // namespace
} // namespace ospreystair::testing_support
