// Requests that crash each replica that begins to run them.

#include <algorithm>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "tests/gateway/platform_fleet.hpp"
#include "tests/integration/test_client.hpp"

namespace ospreystair::testing_support
{
namespace
{

using namespace std::chrono_literals;

class gateway_crash_test : public testing::Test
{
protected:
    static constexpr std::size_t vm_count = 3;
    static constexpr std::size_t shard_count = 4;
    static constexpr auto restart_delay = 300ms;

    gateway_crash_test()
    {
        m_fleet.change_all_replicas([](auto& behaviour) { behaviour.latency = 10ms; });
        for (std::size_t vm = 0; vm < vm_count; ++vm)
            m_fleet.warm_up(vm);
        m_fleet.change_all_replicas(
            [](auto& behaviour)
            {
                behaviour.crash_text = "deadly";
                behaviour.restart_delay = restart_delay;
            });
    }

    /// Sends the message, as a new request each time, until all replicas are back.
    caller_answer send_and_wait(std::size_t vm, const caller_message& message)
    {
        auto result = m_fleet.send(vm, message);
        sleep_for(restart_delay + 1'000ms);
        return result;
    }

    std::uint64_t crash_count()
    {
        std::uint64_t result = 0;
        for (const auto& [id, each] : m_fleet.replicas())
            result += each->crashes();
        return result;
    }

    /// Whether a request with the text is answered completely by all VMs.
    void expect_served(const std::string& path, const std::string& body = {})
    {
        for (std::size_t vm = 0; vm < vm_count; ++vm)
        {
            caller_message message;
            message.path = path;
            message.body = body;
            message.method = body.empty() ? "GET" : "POST";
            const auto answer = m_fleet.send(vm, message);
            EXPECT_EQ(answer.status, 200U) << path << " at vm " << vm << ": " << answer.body;
            EXPECT_EQ(answer.missing_parts(), 0) << path << " at vm " << vm;
        }
    }

    platform_fleet m_fleet{{.vms = vm_count, .shards = shard_count, .replicas = 3}};
};

// Guards against a query that is sent again and again although each replica that runs it crashes.
TEST_F(gateway_crash_test, query_that_crashes_replicas_is_refused_by_all_vms)
{
    constexpr int rounds = 3;
    for (int round = 0; round < rounds; ++round)
        for (std::size_t vm = 0; vm < vm_count; ++vm)
            send_and_wait(vm, {.path = "/all/deadly"});
    // One replica of each shard, and one or two more that tell whether the query was the cause.
    EXPECT_LE(crash_count(), shard_count + 2);
    const auto answer = m_fleet.send(0, {.path = "/all/deadly"});
    EXPECT_EQ(answer.status, 503U);
    EXPECT_TRUE(answer.fields.contains("Retry-After"));
    EXPECT_LT(answer.elapsed, 50ms);
    expect_served("/all/other");
}

// Guards against hedges and retries that take a query to all replicas before anybody knows that the
// first ones have crashed.
TEST_F(gateway_crash_test, first_query_that_crashes_replicas_leaves_others_to_serve)
{
    m_fleet.send(0, {.path = "/all/deadly"});
    EXPECT_LE(crash_count(), shard_count + 1);
    expect_served("/all/other");
}

// Guards against hedges that take a query to all replicas which crash later than a hedge is due.
TEST_F(gateway_crash_test, query_that_crashes_replicas_late_leaves_others_to_serve)
{
    m_fleet.change_all_replicas([](auto& behaviour) { behaviour.latency = 30ms; });
    m_fleet.send(0, {.path = "/all/deadly"});
    // One hedge tells whether other replicas answer.
    EXPECT_LE(crash_count(), shard_count + 2);
    m_fleet.change_all_replicas([](auto& behaviour) { behaviour.latency = 10ms; });
    expect_served("/all/other");
}

// Guards against requests to one service that crash replica after replica.
TEST_F(gateway_crash_test, request_to_one_service_that_crashes_replicas_is_refused_by_all_vms)
{
    for (int round = 0; round < 3; ++round)
        for (std::size_t vm = 0; vm < vm_count; ++vm)
            send_and_wait(vm, {.path = "/one/deadly"});
    EXPECT_LE(crash_count(), 4U);
    EXPECT_EQ(m_fleet.send(1, {.path = "/one/deadly"}).status, 503U);
    expect_served("/one/other");
}

// Guards against a booking, which is sent once for each request of a caller, that crashes a replica
// each time.
TEST_F(gateway_crash_test, booking_that_crashes_replicas_is_refused_by_all_vms)
{
    caller_message message{.path = "/once/q", .method = "POST", .body = "a deadly body"};
    unsigned not_run = 0;
    for (int round = 0; round < 3; ++round)
        for (std::size_t vm = 0; vm < vm_count; ++vm)
        {
            message.id = "booking" + std::to_string(round) + std::to_string(vm);
            const auto answer = send_and_wait(vm, message);
            EXPECT_LE(m_fleet.executions(message.id), answer.status == 503U ? 0U : 1U);
            not_run += answer.status == 503U ? 1 : 0;
        }
    EXPECT_LE(crash_count(), 4U);
    EXPECT_GE(not_run, 5U);
    // The same path with another body is another request.
    expect_served("/once/q", "another body");
}

// Guards against an innocent request that is refused because replicas crash for another reason
// while they run it.
TEST_F(gateway_crash_test, request_is_served_after_replicas_crashed_for_another_reason)
{
    for (int round = 0; round < 4; ++round)
    {
        m_fleet.change_all_replicas([](auto& behaviour) { behaviour.latency = 60ms; });
        std::thread caller([this] { m_fleet.send(0, {.path = "/all/innocent"}); });
        sleep_for(30ms);
        for (const auto& [id, each] : m_fleet.replicas())
            each->crash(restart_delay);
        caller.join();
        m_fleet.change_all_replicas([](auto& behaviour) { behaviour.latency = 10ms; });
        sleep_for(restart_delay + 1'500ms);
        expect_served("/all/innocent");
    }
}

// Guards against answers that are lost on the way taken for crashes.
TEST_F(gateway_crash_test, request_whose_answers_are_lost_is_still_sent)
{
    m_fleet.change_all_replicas([](auto& behaviour) { behaviour.loses_answers = true; });
    for (int index = 0; index < 10; ++index)
        m_fleet.send(static_cast<std::size_t>(index) % vm_count, {.path = "/all/innocent"});
    m_fleet.change_all_replicas([](auto& behaviour) { behaviour.loses_answers = false; });
    // Replicas that lost answers get requests again within two seconds.
    sleep_for(2s);
    expect_served("/all/innocent");
}

// Guards against a VM that is not ready for long because it waits for what silent VMs know.
TEST_F(gateway_crash_test, started_vm_is_ready_soon_although_most_others_are_silent)
{
    // Connections are accepted by the system, and never answered.
    http::asio::io_context context;
    const http::tcp::acceptor silent(context, {http::asio::ip::make_address("127.0.0.1"), 0});
    Json::Value entry;
    entry["data_centre"] = "a";
    entry["relay_address"] = fmt::format("127.0.0.1:{}", silent.local_endpoint().port());
    // The VMs that read the store come first in the list.
    for (int index = 0; index < 60; ++index)
        m_fleet.store().put("ospreystair-vms", fmt::format("z{}", index), entry);
    m_fleet.vm(0).process->send_signal(SIGKILL);
    m_fleet.start(0);
    EXPECT_TRUE(wait_until(2'500ms, [this] { return m_fleet.readiness(0) == 200U; }))
        << m_fleet.log(0);
}

// Guards against a VM that answers nobody for seconds: each caller of a suspected query that left
// multiplied the entries of those that still waited for its trial.
TEST_F(gateway_crash_test, other_queries_are_answered_while_callers_of_a_suspected_one_leave)
{
    constexpr int caller_count = 12;
    m_fleet.change_all_replicas([](auto& behaviour) { behaviour.latency = 60ms; });
    std::vector<std::thread> callers;
    callers.emplace_back([this] { m_fleet.send(0, {.path = "/all/suspected"}); });
    sleep_for(30ms);
    for (const auto& [id, each] : m_fleet.replicas())
        each->crash(restart_delay);
    m_fleet.change_all_replicas([](auto& behaviour) { behaviour.latency = 10ms; });
    EXPECT_TRUE(
        wait_until(5s, [this] { return m_fleet.send(0, {.path = "/all/other"}).status == 200U; }));
    // No trial ends by a reply.
    m_fleet.change_all_replicas([](auto& behaviour) { behaviour.latency = 900ms; });
    for (int index = 0; index < caller_count; ++index)
    {
        caller_message message{.path = "/all/suspected"};
        message.close_delay = 80ms - message.deadline;
        callers.emplace_back([this, message] { m_fleet.send(0, message); });
        // They get the trial, and leave, in the order of their arrival.
        sleep_for(5ms);
    }
    sleep_for(100ms);
    m_fleet.change_all_replicas([](auto& behaviour) { behaviour.latency = 10ms; });
    const auto answer = m_fleet.send(0, {.path = "/all/other"});
    for (std::thread& each : callers)
        each.join();
    EXPECT_EQ(answer.status, 200U) << answer.body;
    EXPECT_LT(m_fleet.peak_memory_bytes(0), 64U << 20U);
}

} // namespace
} // namespace ospreystair::testing_support
