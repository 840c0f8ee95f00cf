// Checks that a command that is repeated while VMs, the platform or the upstream fail never runs a
// second time.

#include <algorithm>
#include <array>
#include <future>
#include <random>
#include <thread>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "tests/integration/test_cluster.hpp"

namespace ospreystair::testing_support
{

namespace
{

using namespace std::chrono_literals;

const std::string service = "chapel-booking";
// Seeds the delays before the faults, so that a failed round can be run again.
constexpr unsigned fault_seed = 20261203;
constexpr std::chrono::seconds settle_limit{15};

std::string outcome_of(const test_reply& reply)
{
    return reply.json()["outcome"].asString();
}

// A refusal is immediate when it takes less than this part of the deadline: the caller has most of
// the deadline left for another attempt.
constexpr int immediate_answer_divisor = 4;

} // namespace

class at_most_once_test : public testing::Test
{
protected:
    at_most_once_test()
        : m_cluster({.services = {{.name = service, .kind = "command", .shards = 1, .slots = 16}},
                     .use_proxy = true,
                     .has_platform_route_per_vm = true})
    {
    }

    std::future<test_reply> start_command(std::size_t vm, const std::string& key,
                                          int deadline_ms = 2000)
    {
        return std::async(std::launch::async, [this, vm, key, deadline_ms]
                          { return m_cluster.command(vm, service, key, "hall 3", deadline_ms); });
    }

    void set_upstreams(const std::string& settings)
    {
        ASSERT_EQ(
            m_cluster
                .control_upstreams(fmt::format(R"({{"replicas":"all","set":{{{}}}}})", settings))
                .status,
            200);
    }

    void set_platform_route(std::size_t vm, const std::string& mode)
    {
        ASSERT_EQ(
            m_cluster
                .control_proxy(fmt::format(R"({{"routes":["127.0.0.1:{}"],"set":{{"mode":"{}"}}}})",
                                           m_cluster.platform_port_of(vm), mode))
                .status,
            200);
    }

    int upstream_requests()
    {
        int total = 0;
        const Json::Value counts = m_cluster.upstream_counts();
        for (const Json::Value& replica : counts["replicas"])
            total += replica["requests"].asInt();
        return total;
    }

    bool wait_for_upstream_requests(int count)
    {
        return wait_until(settle_limit, [&] { return upstream_requests() >= count; });
    }

    bool wait_for_recorded_run(std::size_t vm, const std::string& key)
    {
        return wait_until(
            settle_limit,
            [&]
            {
                const test_reply reply = m_cluster.command(vm, service, key, "hall 3");
                return outcome_of(reply) == "ran" && reply.json()["repeated"].asBool();
            });
    }

    // Checks that the executions of a key agree with the outcomes of all attempts that used it.
    void check_executions(const std::string& key, const std::vector<test_reply>& replies)
    {
        const auto has_outcome = [](const char* outcome)
        {
            return [outcome](const test_reply& reply)
            {
                return outcome_of(reply) == outcome;
            };
        };
        const int count = m_cluster.executions(key);
        EXPECT_LE(count, 1) << key;
        if (std::any_of(replies.begin(), replies.end(), has_outcome("ran")))
        {
            EXPECT_EQ(count, 1) << key;
        }
        if (std::all_of(replies.begin(), replies.end(), has_outcome("not_run")))
        {
            EXPECT_EQ(count, 0) << key;
        }
    }

    test_cluster m_cluster;
};

// Guards against a VM that dispatches a command after a pause although another VM has answered a
// repeat.
TEST_F(at_most_once_test, repeat_while_first_vm_is_frozen_at_any_step_runs_at_most_once)
{
    constexpr int rounds = 12;
    std::mt19937 random(fault_seed);
    set_upstreams(R"("base_ms":5)");
    m_cluster.control_platform(R"({"latency_ms":3})");
    for (int round = 0; round < rounds; ++round)
    {
        const std::string key = make_key(fmt::format("frozen{}", round));
        auto first = start_command(0, key, 1000);
        sleep_for(std::chrono::milliseconds{random() % 20});
        m_cluster.vm(0).entry->freeze();
        const test_reply second = m_cluster.command(1, service, key, "hall 3", 500);
        // In some rounds the deadline passes before the first VM resumes.
        if (round % 4 == 0)
            sleep_for(1000ms);
        m_cluster.vm(0).entry->resume();
        const test_reply late_reply = first.get();
        EXPECT_NE(late_reply.status, 0) << late_reply.body;
        EXPECT_NE(second.status, 0) << second.body;
        sleep_for(50ms);
        check_executions(key, {late_reply, second});
    }
}

// Guards against a VM that sends a command after its deadline, because the VM was paused while its
// claim was stored.
TEST_F(at_most_once_test, vm_frozen_during_claim_beyond_deadline_does_not_run_when_resumed)
{
    const std::string key = make_key("claimfrozen");
    m_cluster.control_platform(R"({"lose_answers":1,"lose_prefix":"claims/"})");
    auto first = start_command(0, key, 1000);
    ASSERT_TRUE(wait_until(settle_limit, [&]
                           { return m_cluster.platform_counts()["lose_answers"].asInt() == 0; }));
    m_cluster.vm(0).entry->freeze();
    const test_reply second = m_cluster.command(1, service, key, "hall 3", 1000);
    EXPECT_EQ(outcome_of(second), "unknown") << second.body;
    sleep_for(1000ms);
    m_cluster.vm(0).entry->resume();
    const test_reply late_reply = first.get();
    EXPECT_EQ(outcome_of(late_reply), "not_run") << late_reply.body;
    EXPECT_EQ(m_cluster.executions(key), 0);
    // The claim of the attempt that gave up is released, so that a repeat can run.
    EXPECT_TRUE(
        wait_until(settle_limit, [&]
                   { return outcome_of(m_cluster.command(1, service, key, "hall 3")) == "ran"; }));
    EXPECT_EQ(m_cluster.executions(key), 1);
}

// Guards against a claim that is lost with the VM that made it, after the command was sent.
TEST_F(at_most_once_test, repeat_after_first_vm_was_killed_in_flight_does_not_run_again)
{
    const std::string key = make_key("killed");
    set_upstreams(R"("base_ms":300,"ignore_cancellation":true)");
    auto first = start_command(0, key);
    ASSERT_TRUE(wait_for_upstream_requests(1));
    m_cluster.vm(0).entry->kill();
    EXPECT_EQ(first.get().status, 0);
    const test_reply second = m_cluster.command(1, service, key, "hall 3");
    EXPECT_EQ(second.status, 504);
    EXPECT_EQ(outcome_of(second), "unknown") << second.body;
    ASSERT_TRUE(wait_until(settle_limit, [&] { return m_cluster.executions(key) == 1; }));
    m_cluster.vm(0).entry->wait(settle_limit);
    m_cluster.start_entry(0);
    ASSERT_TRUE(m_cluster.wait_until_ready(0));
    for (const std::size_t vm : {0U, 1U})
        EXPECT_EQ(outcome_of(m_cluster.command(vm, service, key, "hall 3")), "unknown");
    EXPECT_EQ(m_cluster.executions(key), 1);
}

// Guards against a second execution when a VM dies at any step between arrival and answer.
TEST_F(at_most_once_test, repeat_after_first_vm_was_killed_at_any_step_runs_at_most_once)
{
    constexpr int rounds = 5;
    std::mt19937 random(fault_seed);
    set_upstreams(R"("base_ms":5,"ignore_cancellation":true)");
    m_cluster.control_platform(R"({"latency_ms":3})");
    for (int round = 0; round < rounds; ++round)
    {
        const std::string key = make_key(fmt::format("killed{}", round));
        auto first = start_command(0, key, 1000);
        sleep_for(std::chrono::milliseconds{random() % 20});
        m_cluster.vm(0).entry->kill();
        const test_reply second = m_cluster.command(1, service, key, "hall 3", 1000);
        EXPECT_NE(second.status, 0) << second.body;
        sleep_for(50ms);
        check_executions(key, {first.get(), second});
        m_cluster.vm(0).entry->wait(settle_limit);
        m_cluster.start_entry(0);
        ASSERT_TRUE(m_cluster.wait_until_ready(0));
        const test_reply third = m_cluster.command(0, service, key, "hall 3", 1000);
        check_executions(key, {second, third});
    }
}

// Guards against a repeat that runs because the VM that runs the command cannot reach the platform.
TEST_F(at_most_once_test, repeat_while_first_vm_is_cut_off_from_platform_does_not_run_again)
{
    const std::string key = make_key("cutoff");
    set_upstreams(R"("base_ms":400)");
    auto first = start_command(0, key);
    ASSERT_TRUE(wait_for_upstream_requests(1));
    set_platform_route(0, "cut");
    const test_reply second = m_cluster.command(1, service, key, "hall 3");
    EXPECT_EQ(outcome_of(second), "unknown") << second.body;
    EXPECT_EQ(outcome_of(first.get()), "ran");
    EXPECT_EQ(m_cluster.executions(key), 1);
    set_platform_route(0, "pass");
    EXPECT_TRUE(wait_for_recorded_run(1, key));
    EXPECT_EQ(m_cluster.executions(key), 1);
}

// Guards against a VM that sends commands without a claim, and against a refusal that makes the key
// unusable.
TEST_F(at_most_once_test, command_at_vm_cut_off_from_platform_is_not_run_and_runs_at_other_vm)
{
    constexpr int deadline_ms = 8000;
    for (const char* mode : {"cut", "freeze"})
    {
        const std::string key = make_key(std::string("nopath") + mode);
        set_platform_route(0, mode);
        const test_reply first = m_cluster.command(0, service, key, "hall 3", deadline_ms);
        EXPECT_EQ(first.status, 503) << first.body;
        EXPECT_EQ(outcome_of(first), "not_run");
        EXPECT_FALSE(first.header("Retry-After").empty());
        EXPECT_LT(first.elapsed.count(), deadline_ms / immediate_answer_divisor);
        EXPECT_EQ(m_cluster.executions(key), 0);
        const test_reply second = m_cluster.command(1, service, key, "hall 3");
        EXPECT_EQ(outcome_of(second), "ran") << second.body;
        set_platform_route(0, "pass");
        EXPECT_TRUE(wait_for_recorded_run(0, key));
        EXPECT_EQ(m_cluster.executions(key), 1);
    }
}

// Guards against an attempt that takes its own claim for another attempt's, or for missing, because
// the answer to the write was lost.
TEST_F(at_most_once_test, claim_write_applied_with_lost_answer_runs_once)
{
    constexpr int deadline_ms = 5000;
    for (const char* how : {"error", "hang"})
    {
        const std::string key = make_key(std::string("lost") + how);
        m_cluster.control_platform(
            fmt::format(R"({{"lose_answers":1,"lose_prefix":"claims/","lose_how":"{}"}})", how));
        auto first = start_command(0, key, deadline_ms);
        ASSERT_TRUE(
            wait_until(settle_limit,
                       [&] { return m_cluster.platform_counts()["lose_answers"].asInt() == 0; }));
        const test_reply second = m_cluster.command(1, service, key, "hall 3", deadline_ms);
        const test_reply reply = first.get();
        EXPECT_EQ(outcome_of(reply), "ran") << reply.body;
        EXPECT_NE(outcome_of(second), "not_run") << second.body;
        EXPECT_EQ(m_cluster.executions(key), 1);
        EXPECT_TRUE(wait_for_recorded_run(1, key));
        EXPECT_EQ(m_cluster.executions(key), 1);
    }
}

// Guards against refusals that arrive only near the deadline, and against commands that are still
// refused after the outage.
TEST_F(at_most_once_test, command_in_platform_outage_is_refused_at_once_and_runs_afterwards)
{
    constexpr int deadline_ms = 8000;
    for (const char* outage : {"fail", "hang"})
    {
        const std::string key = make_key(std::string("outage") + outage);
        m_cluster.control_platform(fmt::format(R"({{"outage":"{}"}})", outage));
        for (const std::size_t vm : {0U, 1U})
        {
            const test_reply reply = m_cluster.command(vm, service, key, "hall 3", deadline_ms);
            EXPECT_EQ(reply.status, 503) << reply.body;
            EXPECT_EQ(outcome_of(reply), "not_run");
            EXPECT_FALSE(reply.header("Retry-After").empty());
            EXPECT_LT(reply.elapsed.count(), deadline_ms / immediate_answer_divisor);
        }
        EXPECT_EQ(m_cluster.executions(key), 0);
        m_cluster.control_platform(R"({"outage":"none"})");
        EXPECT_TRUE(wait_until(
            settle_limit,
            [&] { return outcome_of(m_cluster.command(0, service, key, "hall")) == "ran"; }));
        EXPECT_EQ(m_cluster.executions(key), 1);
    }
}

// Guards against two VMs that both claim a key because neither sees the other's claim.
TEST_F(at_most_once_test, same_keys_at_two_vms_at_the_same_moment_run_once_each)
{
    constexpr int rounds = 4;
    constexpr int keys_per_round = 12;
    for (int round = 0; round < rounds; ++round)
    {
        std::vector<std::string> keys;
        std::vector<std::array<std::future<test_reply>, 2>> replies;
        for (int index = 0; index < keys_per_round; ++index)
        {
            keys.push_back(make_key(fmt::format("race{}x{}", round, index)));
            replies.push_back(
                {start_command(0, keys.back(), 8000), start_command(1, keys.back(), 8000)});
        }
        for (std::size_t index = 0; index < keys.size(); ++index)
        {
            const std::vector<test_reply> pair = {replies[index][0].get(), replies[index][1].get()};
            const auto first_runs = std::count_if(pair.begin(), pair.end(),
                                                  [](const test_reply& reply) {
                                                      return outcome_of(reply) == "ran" &&
                                                             !reply.json()["repeated"].asBool();
                                                  });
            EXPECT_EQ(first_runs, 1) << keys[index] << " " << pair[0].body << pair[1].body;
            check_executions(keys[index], pair);
        }
    }
}

// Guards against a repeat that reaches another replica while the first one still has the command.
TEST_F(at_most_once_test, upstream_frozen_with_command_and_unfrozen_later_runs_once)
{
    const std::string key = make_key("upfrozen");
    set_upstreams(
        R"("ignore_cancellation":true,"faults":[{"kind":"freeze","count":1,"only":"command"}])");
    const test_reply first = m_cluster.command(0, service, key, "hall 3", 600);
    EXPECT_EQ(outcome_of(first), "unknown") << first.body;
    const test_reply second = m_cluster.command(1, service, key, "hall 3", 600);
    EXPECT_EQ(outcome_of(second), "unknown") << second.body;
    EXPECT_EQ(m_cluster.executions(key), 0);
    set_upstreams(R"("frozen":false)");
    EXPECT_TRUE(wait_until(settle_limit, [&] { return m_cluster.executions(key) == 1; }));
    for (const std::size_t vm : {0U, 1U})
        EXPECT_EQ(outcome_of(m_cluster.command(vm, service, key, "hall 3")), "unknown");
    EXPECT_EQ(m_cluster.executions(key), 1);
}

// Guards against a repeat that runs a command whose first reply was lost.
TEST_F(at_most_once_test, repeat_after_lost_reply_does_not_run_again)
{
    const std::string key = make_key("lostreply");
    set_upstreams(R"("faults":[{"kind":"lose_reply","count":1,"only":"command"}])");
    const test_reply first = m_cluster.command(0, service, key, "hall 3");
    EXPECT_EQ(first.status, 504) << first.body;
    EXPECT_EQ(outcome_of(first), "unknown");
    for (const std::size_t vm : {0U, 1U})
        EXPECT_EQ(outcome_of(m_cluster.command(vm, service, key, "hall 3")), "unknown");
    EXPECT_EQ(m_cluster.executions(key), 1);
}

// Guards against a refusal by the upstream that makes the key unusable or is reported as unknown.
TEST_F(at_most_once_test, repeat_after_upstream_shed_command_runs_once)
{
    const std::string key = make_key("shed");
    set_upstreams(R"("faults":[{"kind":"shed","only":"command"}])");
    const test_reply first = m_cluster.command(0, service, key, "hall 3");
    EXPECT_EQ(outcome_of(first), "not_run") << first.body;
    EXPECT_FALSE(first.header("Retry-After").empty());
    EXPECT_EQ(m_cluster.executions(key), 0);
    set_upstreams(R"("faults":[])");
    const test_reply second = m_cluster.command(1, service, key, "hall 3");
    EXPECT_EQ(outcome_of(second), "ran") << second.body;
    EXPECT_EQ(m_cluster.executions(key), 1);
}

// Guards against a command that is reported as not run, and runs again when the caller repeats it,
// because the upstream sent its refusal of an earlier command a second time.
TEST_F(at_most_once_test, second_copy_of_a_refusal_makes_no_other_command_run_again)
{
    constexpr int rounds = 12;
    constexpr int max_tries = 3;
    for (int round = 0; round < rounds; ++round)
    {
        set_upstreams(
            R"("repeat_replies":true,"faults":[{"kind":"shed","count":1,"only":"command"}])");
        m_cluster.command(0, service, make_key(fmt::format("refused{}", round)), "hall 3");
        const std::string key = make_key(fmt::format("next{}", round));
        std::vector<test_reply> replies;
        do
            replies.push_back(m_cluster.command(0, service, key, "hall 3"));
        while (outcome_of(replies.back()) == "not_run" && replies.size() < max_tries);
        check_executions(key, replies);
    }
}

} // namespace ospreystair::testing_support
