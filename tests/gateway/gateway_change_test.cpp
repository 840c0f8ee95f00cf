// Changes while a gateway process serves: configurations, replicas that leave, outages of the
// store, stops and settings.

#include <csignal>
#include <fstream>
#include <thread>

#include <gtest/gtest.h>

#include "tests/gateway/platform_fleet.hpp"
#include "tests/integration/test_client.hpp"

namespace ospreystair::testing_support
{
namespace
{

using namespace std::chrono_literals;

class gateway_change_test : public testing::Test
{
protected:
    unsigned status_of(const std::string& path)
    {
        caller_message message;
        message.path = path;
        return m_fleet.send(0, message).status;
    }

    void add_route(const std::string& prefix)
    {
        m_fleet.configuration()["routes"].append(
            platform_fleet::make_route("new" + prefix, prefix));
        m_fleet.publish();
    }

    platform_fleet m_fleet{{}};
};

// Guards against a configuration that is not in force within its three seconds.
TEST_F(gateway_change_test, new_route_is_served_within_configuration_time)
{
    EXPECT_EQ(status_of("/new/q"), 404U);
    add_route("/new/");
    EXPECT_TRUE(wait_until(3s, [this] { return status_of("/new/q") == 200U; }));
}

// Guards against a connection to the store that went silent: its watch would wait for ever.
TEST_F(gateway_change_test, configuration_is_read_after_connections_were_cut)
{
    m_fleet.store().cut_connections();
    add_route("/new/");
    EXPECT_TRUE(wait_until(3s, [this] { return status_of("/new/q") == 200U; }));
}

// Guards against an older configuration that comes back.
TEST_F(gateway_change_test, older_version_is_ignored)
{
    add_route("/new/");
    ASSERT_TRUE(wait_until(3s, [this] { return status_of("/new/q") == 200U; }));
    Json::Value older = m_fleet.configuration();
    older["version"] = 1;
    older["routes"].resize(1);
    m_fleet.store().put("config", "main", older);
    sleep_for(1500ms);
    EXPECT_EQ(status_of("/new/q"), 200U);
}

// Guards against a damaged configuration that takes routes out of service.
TEST_F(gateway_change_test, damaged_configuration_is_refused_whole)
{
    Json::Value damaged = m_fleet.configuration();
    damaged["version"] = 1000;
    damaged["routes"][0]["timeoutMs"] = "soon";
    m_fleet.store().put("config", "main", damaged);
    ASSERT_TRUE(wait_until(
        3s, [this] { return m_fleet.log(0).find("configuration_refused") != std::string::npos; }));
    EXPECT_EQ(status_of("/all/q"), 200U);
}

// Guards against a lost change when the store drops its history.
TEST_F(gateway_change_test, dropped_history_leads_to_a_new_list)
{
    m_fleet.store().drop_history();
    m_fleet.store().cut_connections();
    add_route("/new/");
    EXPECT_TRUE(wait_until(3s, [this] { return status_of("/new/q") == 200U; }));
}

// Guards against new work for a replica that has announced its leave.
TEST_F(gateway_change_test, draining_replica_gets_no_new_work)
{
    m_fleet.register_replica("single-0", "draining");
    sleep_for(1500ms);
    const std::uint64_t before = m_fleet.replica("single-0").arrivals();
    for (int round = 0; round < 10; ++round)
        EXPECT_EQ(status_of("/one/q"), 200U);
    EXPECT_EQ(m_fleet.replica("single-0").arrivals(), before);
}

// Guards against a VM that hears of no change until a long watch ends, because the store was silent
// for a moment when the watch began. Four seconds after that moment all bounds hold again.
TEST_F(gateway_change_test, watch_that_silent_store_swallowed_is_replaced_before_bounds_hold_again)
{
    m_fleet.vm(0).process->kill();
    m_fleet.start(0);
    ASSERT_TRUE(m_fleet.wait_until_ready(0));
    // The first watch follows the list within 750 ms.
    m_fleet.store().set_mode(standins::store_mode::silent);
    sleep_for(1s);
    m_fleet.store().set_mode(standins::store_mode::serving);
    sleep_for(4s);
    m_fleet.register_replica("single-0", "draining");
    sleep_for(3s);
    const std::uint64_t before = m_fleet.replica("single-0").arrivals();
    for (int round = 0; round < 10; ++round)
        EXPECT_EQ(status_of("/one/q"), 200U);
    EXPECT_EQ(m_fleet.replica("single-0").arrivals(), before);
}

// Guards against an entry from another writer that stops the use of the others.
TEST_F(gateway_change_test, damaged_entries_name_no_replica_and_harm_none)
{
    Json::Value entry;
    entry["service"] = "single";
    m_fleet.store().put("servers", "foreign-1", entry);
    m_fleet.store().put("servers", "foreign-2", Json::Value("text"));
    entry["address"] = "nowhere";
    entry["zone"] = "a";
    entry["slots"] = -1;
    entry["state"] = "resting";
    m_fleet.store().put("servers", "foreign-3", entry);
    sleep_for(1500ms);
    for (int round = 0; round < 10; ++round)
        EXPECT_EQ(status_of("/one/q"), 200U);
    EXPECT_NE(m_fleet.log(0).find("registration_ignored"), std::string::npos);
}

// Guards against an outage of the store that ends service, and against "no such route" from
// ignorance.
TEST_F(gateway_change_test, outage_of_store_leaves_service_and_answers_503_for_unknown_routes)
{
    m_fleet.store().set_mode(standins::store_mode::refusing);
    m_fleet.store().cut_connections();
    ASSERT_TRUE(wait_until(3s, [this] { return status_of("/new/q") == 503U; }));
    EXPECT_EQ(status_of("/all/q"), 200U);
    // Entries lapse meanwhile; they are back a moment after the store.
    for (const auto& [id, target] : m_fleet.replicas())
        m_fleet.store().remove("servers", id);
    m_fleet.store().set_mode(standins::store_mode::serving);
    sleep_for(1000ms);
    EXPECT_EQ(status_of("/all/q"), 200U);
    for (const auto& [id, target] : m_fleet.replicas())
        m_fleet.register_replica(id, "ready");
    sleep_for(2500ms);
    EXPECT_EQ(status_of("/all/q"), 200U);
}

// Guards against a VM that starts during an outage and answers "no such route".
TEST_F(gateway_change_test, start_without_store_is_not_ready_and_answers_503)
{
    m_fleet.store().set_mode(standins::store_mode::refusing);
    m_fleet.vm(0).process->kill();
    m_fleet.vm(0).process->wait(5s);
    m_fleet.start(0);
    ASSERT_TRUE(wait_until(5s, [this] { return m_fleet.readiness(0) == 503U; }));
    EXPECT_EQ(status_of("/all/q"), 503U);
    m_fleet.store().set_mode(standins::store_mode::serving);
    EXPECT_TRUE(m_fleet.wait_until_ready(0));
    EXPECT_EQ(status_of("/all/q"), 200U);
}

// Guards against requests that a planned stop cuts, and against a stop that never ends.
TEST_F(gateway_change_test, planned_stop_finishes_requests_and_exits)
{
    m_fleet.change_all_replicas([](auto& each) { each.latency = 700ms; });
    caller_answer answer;
    std::thread caller(
        [&]
        {
            caller_message message;
            message.path = "/once/q";
            answer = m_fleet.send(0, message);
        });
    sleep_for(200ms);
    m_fleet.vm(0).process->terminate();
    EXPECT_TRUE(wait_until(1s, [this] { return m_fleet.readiness(0) == 503U; }));
    // The platform needs some seconds to notice; callers that still come are served.
    EXPECT_EQ(status_of("/one/q"), 200U);
    caller.join();
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(m_fleet.vm(0).process->wait(6s), 0);
}

// Guards against settings that only a restart would read.
TEST_F(gateway_change_test, changed_settings_file_is_read_with_and_without_signal)
{
    const auto change = [this](const std::string& text)
    {
        std::ofstream(m_fleet.vm(0).settings_path, std::ios::app) << text;
    };
    change("[more]\nunknown = 1\n");
    m_fleet.vm(0).process->send_signal(SIGHUP);
    change("[broken\n");
    EXPECT_TRUE(wait_until(
        4s, [this] { return m_fleet.log(0).find("settings_refused") != std::string::npos; }));
    EXPECT_EQ(status_of("/all/q"), 200U);
}

} // namespace
} // namespace ospreystair::testing_support
