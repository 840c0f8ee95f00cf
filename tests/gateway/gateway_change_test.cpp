// Changes while a gateway process serves requests: configurations, draining replicas, outages of
// the store, stops and settings.

#include <array>
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

    /// Sends requests, which must be served without the replica.
    void expect_no_new_work(const std::string& replica)
    {
        const std::uint64_t before = m_fleet.replica(replica).arrivals();
        for (int round = 0; round < 10; ++round)
            EXPECT_EQ(status_of("/one/q"), 200U);
        EXPECT_EQ(m_fleet.replica(replica).arrivals(), before);
    }

    void add_route(const std::string& prefix)
    {
        m_fleet.configuration()["routes"].append(
            platform_fleet::make_route("new" + prefix, prefix));
        m_fleet.publish();
    }

    platform_fleet m_fleet{{}};
};

// Guards against a configuration that is not in force within three seconds.
TEST_F(gateway_change_test, new_route_is_served_within_configuration_time)
{
    EXPECT_EQ(status_of("/new/q"), 404U);
    add_route("/new/");
    EXPECT_TRUE(wait_until(3s, [this] { return status_of("/new/q") == 200U; }));
}

// Guards against a watch that waits forever because its connection to the store was cut.
TEST_F(gateway_change_test, configuration_is_read_after_connections_were_cut)
{
    m_fleet.store().cut_connections();
    add_route("/new/");
    EXPECT_TRUE(wait_until(3s, [this] { return status_of("/new/q") == 200U; }));
}

// Guards against an older configuration that replaces a newer one.
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

// Guards against a malformed configuration that removes routes from service.
TEST_F(gateway_change_test, malformed_configuration_is_refused_entirely)
{
    Json::Value malformed = m_fleet.configuration();
    malformed["version"] = 1000;
    malformed["routes"][0]["timeoutMs"] = "soon";
    m_fleet.store().put("config", "main", malformed);
    ASSERT_TRUE(wait_until(
        3s, [this] { return m_fleet.log(0).find("configuration_refused") != std::string::npos; }));
    EXPECT_EQ(status_of("/all/q"), 200U);
}

// Guards against a lost change when the store drops its history.
TEST_F(gateway_change_test, dropped_history_causes_a_new_list)
{
    m_fleet.store().drop_history();
    m_fleet.store().cut_connections();
    add_route("/new/");
    EXPECT_TRUE(wait_until(3s, [this] { return status_of("/new/q") == 200U; }));
}

// Guards against a configuration that falls back, and against a draining replica that gets requests
// again, when the store comes back from an older copy.
TEST_F(gateway_change_test, restored_store_takes_back_neither_configuration_nor_drain)
{
    m_fleet.store().keep_copy();
    add_route("/new/");
    m_fleet.register_replica("single-0", "draining");
    ASSERT_TRUE(wait_until(3s, [this] { return status_of("/new/q") == 200U; }));
    sleep_for(1500ms);
    const std::uint64_t arrivals = m_fleet.replica("single-0").arrivals();
    m_fleet.store().restore_copy();
    ASSERT_TRUE(wait_until(5s, [this]
                           { return m_fleet.log(0).find("store_restored") != std::string::npos; }));
    sleep_for(500ms);
    for (int round = 0; round < 20; ++round)
    {
        EXPECT_EQ(status_of("/new/q"), 200U);
        EXPECT_EQ(status_of("/one/q"), 200U);
    }
    EXPECT_EQ(m_fleet.replica("single-0").arrivals(), arrivals);
    // The operator writes what was lost again, and then a change.
    m_fleet.store().put("config", "main", m_fleet.configuration());
    add_route("/newer/");
    EXPECT_TRUE(wait_until(3s, [this] { return status_of("/newer/q") == 200U; }));
}

// Guards against new requests for a replica that is draining.
TEST_F(gateway_change_test, draining_replica_gets_no_new_work)
{
    m_fleet.register_replica("single-0", "draining");
    sleep_for(1500ms);
    expect_no_new_work("single-0");
}

// Guards against a VM that learns of no change until a long watch ends, because the store was
// unresponsive when the watch began. Four seconds after such a disturbance all bounds hold again.
TEST_F(gateway_change_test, unanswered_watch_is_replaced_before_bounds_hold_again)
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
    expect_no_new_work("single-0");
}

// Guards against new requests for a replica that has announced its stop in a reply, while the store
// is out of reach and its entry still says that it is ready.
TEST_F(gateway_change_test, replica_that_announces_its_stop_gets_no_new_work_without_the_store)
{
    m_fleet.store().set_mode(standins::store_mode::refusing);
    m_fleet.store().cut_connections();
    m_fleet.change_replica("single-0", [](auto& each) { each.is_leaving = true; });
    const auto has_announced = [this]
    {
        status_of("/one/q");
        return m_fleet.log(0).find("replica_leaving") != std::string::npos;
    };
    ASSERT_TRUE(wait_until(5s, has_announced));
    const std::uint64_t arrivals = m_fleet.replica("single-0").arrivals();
    for (int round = 0; round < 30; ++round)
        EXPECT_EQ(status_of("/one/q"), 200U);
    EXPECT_EQ(m_fleet.replica("single-0").arrivals(), arrivals);
}

// Guards against requests for a replica within the time for which it wants none, and against a
// caller that is told to come back too early.
TEST_F(gateway_change_test, replica_that_closes_for_a_time_gets_no_requests_meanwhile)
{
    for (const char* id : {"single-0", "single-1"})
        m_fleet.change_replica(id,
                               [](auto& each)
                               {
                                   each.refuses = true;
                                   each.retry_after = "2.5";
                               });
    const auto start = std::chrono::steady_clock::now();
    ASSERT_TRUE(wait_until(1s,
                           [this]
                           {
                               status_of("/one/q");
                               return m_fleet.arrivals("single") >= 2;
                           }));
    for (const char* id : {"single-0", "single-1"})
        m_fleet.change_replica(id, [](auto& each) { each.refuses = false; });
    caller_message message;
    message.path = "/one/q";
    const caller_answer refused = m_fleet.send(0, message);
    EXPECT_EQ(refused.status, 503U);
    const auto field = refused.fields.find("Retry-After");
    ASSERT_NE(field, refused.fields.end());
    EXPECT_GT(std::stod(field->second), 1.0);
    while (std::chrono::steady_clock::now() < start + 2s)
        EXPECT_EQ(status_of("/one/q"), 503U);
    EXPECT_EQ(m_fleet.arrivals("single"), 2U);
    EXPECT_TRUE(wait_until(3s, [this] { return status_of("/one/q") == 200U; }));
}

// Guards against a malformed entry of another writer that makes the valid entries unusable.
TEST_F(gateway_change_test, malformed_entries_are_ignored_and_others_stay_in_use)
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

// Guards against one entry of another writer that makes the list of replicas unreadable: VMs did
// not hear of any later change, and a VM that started had no replicas.
TEST_F(gateway_change_test, entry_nested_too_deeply_hides_no_other)
{
    constexpr int depth = 2'000;
    Json::Value odd;
    for (int level = 0; level < depth; ++level)
    {
        Json::Value outer(Json::arrayValue);
        outer.append(std::move(odd));
        odd = std::move(outer);
    }
    Json::Value entry(Json::objectValue);
    entry["slots"] = std::move(odd);
    m_fleet.store().put("servers", "odd", std::move(entry));
    sleep_for(500ms);
    m_fleet.register_replica("single-0", "draining");
    sleep_for(1500ms);
    expect_no_new_work("single-0");
    m_fleet.vm(0).process->kill();
    m_fleet.start(0);
    ASSERT_TRUE(m_fleet.wait_until_ready(0));
    EXPECT_EQ(status_of("/one/q"), 200U);
}

// Guards against a store outage that ends service, and against a 404 for a route that may have been
// added during the outage.
TEST_F(gateway_change_test, store_outage_keeps_service_and_answers_503_for_unknown_routes)
{
    m_fleet.store().set_mode(standins::store_mode::refusing);
    m_fleet.store().cut_connections();
    ASSERT_TRUE(wait_until(3s, [this] { return status_of("/new/q") == 503U; }));
    EXPECT_EQ(status_of("/all/q"), 200U);
    // Entries expire during the outage; replicas write them again shortly after the store recovers.
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

// Guards against a VM that starts during a store outage and answers 404.
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

// Guards against requests that a planned stop cuts off, and against a stop that never ends.
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
    // The platform needs a few seconds to notice; requests that arrive meanwhile are served.
    EXPECT_EQ(status_of("/one/q"), 200U);
    caller.join();
    EXPECT_EQ(answer.status, 200U);
    EXPECT_EQ(m_fleet.vm(0).process->wait(6s), 0);
}

class gateway_stop_test : public testing::Test
{
protected:
    // Longer than the grace time of a planned stop.
    static constexpr std::chrono::milliseconds long_time = 9s;

    gateway_stop_test()
    {
        m_fleet.change_all_replicas([](auto& each) { each.never_answers = true; });
    }

    /// Sends a request that no replica answers.
    caller_answer send_order(const std::string& id)
    {
        return m_fleet.send(
            0, {.path = "/once/q", .method = "POST", .id = id, .body = "x", .deadline = long_time});
    }

    platform_fleet m_fleet{{.timeout = long_time}};
};

// Guards against connections that a planned stop closes without an answer to a request which has
// been passed on, early or late in the grace time.
TEST_F(gateway_stop_test, requests_that_outlast_a_planned_stop_are_answered_that_they_may_have_run)
{
    std::vector<std::thread> callers;
    std::array<caller_answer, 2> answers;
    callers.emplace_back([&] { answers[0] = send_order("early"); });
    sleep_for(200ms);
    m_fleet.vm(0).process->terminate();
    sleep_for(2'500ms);
    callers.emplace_back([&] { answers[1] = send_order("late"); });
    sleep_for(1'000ms);
    // Three seconds after the signal nothing is taken any more.
    EXPECT_FALSE(send_order("too late").is_sent);
    for (std::thread& each : callers)
        each.join();
    EXPECT_EQ(m_fleet.vm(0).process->wait(3s), 0);
    for (const caller_answer& answer : answers)
        EXPECT_EQ(answer.status, 504U) << answer.reason;
    EXPECT_EQ(m_fleet.executions("early"), 1U);
    EXPECT_EQ(m_fleet.executions("late"), 1U);
    EXPECT_EQ(m_fleet.executions("too late"), 0U);
}

// Guards against settings that take effect only after a restart.
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
