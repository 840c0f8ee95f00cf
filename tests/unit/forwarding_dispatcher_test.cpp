// Requests from arrival to answer, with a simulated clock and simulated replicas that are slow,
// paused, failing, refusing, silent or replaced.

#include "tests/unit/dispatcher_fixture.hpp"

namespace ospreystair::forwarding
{
namespace
{

// Guards against a request that waits for a paused replica although another one is free.
TEST_F(dispatcher_test, overdue_request_is_hedged_to_another_replica)
{
    add_replicas({{"a", 2}});
    adopt(single(true));
    warm_up();
    for (const char* id : {"a1", "a2"})
        m_transport.behaviours[id].latency = 10ms;
    m_transport.behaviours["a1"].is_silent = true;
    for (int index = 0; index < 4; ++index)
    {
        const answer result = submit_and_wait();
        EXPECT_EQ(result.kind, answer_kind::relayed);
        EXPECT_LT(m_latency, 60ms);
    }
    // A silent replica gets no new requests except one probe after a backoff.
    EXPECT_LE(std::count(m_transport.sent.begin(), m_transport.sent.end(), "a1"), 3);
}

// Guards against a second execution of a request that is not idempotent.
TEST_F(dispatcher_test, lost_reply_of_unrepeatable_request_is_not_sent_again)
{
    add_replicas({{"a", 3}});
    adopt(single(false));
    for (const char* id : {"a1", "a2", "a3"})
        m_transport.behaviours[id].outcome = attempt_outcome::lost;
    const answer result = submit_and_wait();
    EXPECT_EQ(result.kind, answer_kind::failed);
    EXPECT_EQ(m_transport.sent.size(), 1U);
}

// Guards against a hedge of a request that is not idempotent, and against a false "not run" answer
// at its timeout.
TEST_F(dispatcher_test, non_idempotent_request_to_silent_replica_times_out)
{
    add_replicas({{"a", 3}});
    adopt(single(false));
    for (const char* id : {"a1", "a2", "a3"})
        m_transport.behaviours[id].is_silent = true;
    EXPECT_EQ(submit_and_wait().kind, answer_kind::timed_out);
    EXPECT_EQ(m_transport.sent.size(), 1U);
}

// Guards against failing a request that a replica reports as not run.
TEST_F(dispatcher_test, refused_non_idempotent_request_goes_to_another_replica)
{
    add_replicas({{"a", 2}});
    adopt(single(false));
    m_transport.behaviours["a1"].outcome = attempt_outcome::refused;
    for (int index = 0; index < 3; ++index)
        EXPECT_EQ(submit_and_wait().kind, answer_kind::relayed);
    m_transport.behaviours["a2"].outcome = attempt_outcome::refused;
    const answer result = submit_and_wait();
    EXPECT_EQ(result.kind, answer_kind::not_run);
    EXPECT_TRUE(result.retry_after);
}

// Guards against a failure that is relayed with another replica's receipt or status.
TEST_F(dispatcher_test, failure_of_all_replicas_is_relayed_unchanged)
{
    add_replicas({{"a", 2}});
    adopt(single(true));
    for (const char* id : {"a1", "a2"})
    {
        m_transport.behaviours[id].outcome = attempt_outcome::failed;
        m_transport.behaviours[id].status = 500;
    }
    const answer result = submit_and_wait();
    EXPECT_EQ(result.kind, answer_kind::relayed);
    EXPECT_EQ(result.reply.status, 500U);
    EXPECT_EQ(result.reply.receipt, "receipt of " + m_transport.sent.back());
    EXPECT_EQ(m_transport.sent.size(), 2U);
}

// Guards against new requests to a replica that stops: the registry's entry may be late, or out of
// reach.
TEST_F(dispatcher_test, replica_that_announces_its_stop_gets_no_new_requests)
{
    add_replicas({{"a", 2}});
    adopt(single(true));
    m_transport.behaviours["a1"].is_leaving = true;
    warm_up();
    for (int index = 0; index < 20; ++index)
        EXPECT_EQ(submit_and_wait().kind, answer_kind::relayed);
    EXPECT_EQ(std::count(m_transport.sent.begin(), m_transport.sent.end(), "a1"), 0);
    EXPECT_EQ(m_observer.leaving, 1);
    // The registry still lists it as ready.
    add_replicas({{"a", 2}});
    submit_and_wait();
    EXPECT_EQ(std::count(m_transport.sent.begin(), m_transport.sent.end(), "a1"), 0);
}

// Guards against a restarted replica that stays unused: the announcement holds for one start of it
// only.
TEST_F(dispatcher_test, replica_that_started_again_after_its_announcement_is_used)
{
    add_replicas({{"a", 1}});
    adopt(single(true));
    m_transport.behaviours["a1"].is_leaving = true;
    submit_and_wait();
    EXPECT_EQ(submit_and_wait().kind, answer_kind::not_run);
    m_transport.behaviours["a1"].is_leaving = false;
    registration again = m_directory.replicas().at("a1")->registry_entry();
    again.started_at = 5s;
    m_directory.apply_entry(again, m_clock.now());
    EXPECT_EQ(submit_and_wait().kind, answer_kind::relayed);
}

// Guards against requests, retries and hedges to a replica that wants none for some time.
TEST_F(dispatcher_test, replica_that_closes_for_a_time_gets_no_requests_until_its_end)
{
    add_replicas({{"a", 2}});
    adopt(single(true));
    warm_up();
    m_transport.behaviours["a1"].outcome = attempt_outcome::refused;
    m_transport.behaviours["a1"].closed_for = 10s;
    for (int index = 0; index < 50 && m_observer.closures == 0; ++index)
        submit_and_wait();
    ASSERT_EQ(m_observer.closures, 1);
    const base::time_point closed_at = m_clock.now();
    m_transport.sent.clear();
    m_transport.behaviours["a2"].is_silent = true;
    for (int index = 0; index < 3; ++index)
        submit_and_wait();
    m_transport.behaviours["a2"].is_silent = false;
    while (m_clock.now() < closed_at + 7s)
        submit_and_wait();
    EXPECT_EQ(std::count(m_transport.sent.begin(), m_transport.sent.end(), "a1"), 0);
    m_transport.behaviours["a1"] = {};
    m_transport.behaviours["a2"].outcome = attempt_outcome::refused;
    run_for(4s);
    EXPECT_EQ(submit_and_wait().kind, answer_kind::relayed);
    EXPECT_GT(std::count(m_transport.sent.begin(), m_transport.sent.end(), "a1"), 0);
}

// Guards against all requests that waited being sent at the same moment to a replica that opens
// again: it gets one until one has succeeded.
TEST_F(dispatcher_test, replica_that_opens_again_gets_one_request_first)
{
    add_replicas({{"a", 1}});
    adopt(single(true));
    m_transport.behaviours["a1"].outcome = attempt_outcome::refused;
    m_transport.behaviours["a1"].closed_for = 2s;
    submit_and_wait();
    m_transport.behaviours["a1"] = {};
    run_for(3s);
    m_transport.sent.clear();
    for (int index = 0; index < 3; ++index)
        submit();
    EXPECT_EQ(m_transport.sent.size(), 1U);
    run_for(100ms);
    for (int index = 0; index < 3; ++index)
        submit();
    EXPECT_EQ(m_transport.sent.size(), 4U);
}

// Guards against a caller that is told to come back before any replica takes its request, and
// against a wait for a deadline that cannot be met.
TEST_F(dispatcher_test, request_is_refused_until_the_first_closed_replica_opens)
{
    add_replicas({{"a", 2}});
    adopt(single(true));
    for (const char* id : {"a1", "a2"})
        m_transport.behaviours[id].outcome = attempt_outcome::refused;
    m_transport.behaviours["a1"].closed_for = 9s;
    m_transport.behaviours["a2"].closed_for = 5s;
    for (int index = 0; index < 50 && m_observer.closures < 2; ++index)
        submit_and_wait();
    ASSERT_EQ(m_observer.closures, 2);
    m_transport.sent.clear();
    const base::time_point refused_at = m_clock.now();
    const answer result = submit_and_wait();
    EXPECT_EQ(result.kind, answer_kind::not_run);
    EXPECT_EQ(m_latency, base::duration{0});
    EXPECT_TRUE(m_transport.sent.empty());
    ASSERT_TRUE(result.retry_after);
    const base::time_point opens_at = m_directory.replicas().at("a2")->reopens_at(m_clock.now());
    EXPECT_GE(refused_at + *result.retry_after, opens_at);
    EXPECT_LE(refused_at + *result.retry_after, opens_at + 250ms);
}

// Guards against a replica in need that gets far more requests than the limit that it named to all
// VMs, and against one that stays limited after it has recovered.
TEST_F(dispatcher_test, replica_that_names_a_limit_gets_this_vms_share_until_it_names_none)
{
    constexpr std::size_t vm_count = 3;
    constexpr double limit = 6;
    add_replicas({{"a", 2}});
    adopt(single(true));
    m_dispatcher.set_fleet_position({vm_count});
    m_transport.behaviours["a1"].request_limit = limit;
    const auto send_for_ten_seconds = [this]
    {
        m_transport.sent.clear();
        for (int index = 0; index < 400; ++index)
        {
            submit();
            run_for(25ms);
            ASSERT_TRUE(m_answer);
            EXPECT_EQ(m_answer->kind, answer_kind::relayed);
        }
    };
    send_for_ten_seconds();
    const auto limited = std::count(m_transport.sent.begin(), m_transport.sent.end(), "a1");
    EXPECT_LE(limited, 10 * limit / vm_count + 2);
    EXPECT_GE(limited, 0.8 * 10 * limit / vm_count);
    ASSERT_EQ(m_observer.limits.size(), 1U);
    m_transport.behaviours["a1"].request_limit.reset();
    send_for_ten_seconds();
    EXPECT_GE(std::count(m_transport.sent.begin(), m_transport.sent.end(), "a1"), 100);
    ASSERT_EQ(m_observer.limits.size(), 2U);
    EXPECT_FALSE(m_observer.limits.back());
}

// Guards against queries that use up the shares of some shards although others have none left, and
// against callers that wait for what cannot be served.
TEST_F(dispatcher_test, query_beyond_the_limits_of_its_shards_is_refused_at_once_and_sends_nothing)
{
    add_replicas({{"a", 1}, {"b", 1}});
    adopt(gather({"a", "b"}, 1));
    m_dispatcher.set_fleet_position({10});
    m_transport.behaviours["a1"].request_limit = 5;
    ASSERT_EQ(submit_and_wait().kind, answer_kind::gathered);
    m_transport.sent.clear();
    const base::time_point refused_at = m_clock.now();
    const base::time_point opens_at = m_directory.replicas().at("a1")->reopens_at(refused_at);
    ASSERT_GT(opens_at, refused_at);
    submit();
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::not_run);
    EXPECT_TRUE(m_transport.sent.empty());
    ASSERT_TRUE(m_answer->retry_after);
    EXPECT_GE(refused_at + *m_answer->retry_after, opens_at);
}

// Guards against callers that wait until their deadline at a VM that has lost all replicas,
// although another VM could serve them.
TEST_F(dispatcher_test, request_of_a_vm_that_has_lost_all_replicas_is_offered_once_to_others)
{
    add_replicas({{"a", 2}, {"b", 2}});
    adopt(gather({"a", "b"}, 1));
    warm_up();
    EXPECT_EQ(m_offers, 0);
    for (const char* id : {"a1", "a2", "b1", "b2"})
        m_transport.behaviours[id].is_silent = true;
    submit();
    run_for(600ms);
    EXPECT_FALSE(m_answer);
    EXPECT_EQ(m_offers, 1);
    EXPECT_TRUE(m_dispatcher.update_reach());
    m_run->on_answered_elsewhere();
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::abandoned);
}

// Guards against a second run of a request that is not idempotent at another VM.
TEST_F(dispatcher_test, unrepeatable_request_that_was_sent_is_not_offered_to_others)
{
    add_replicas({{"a", 4}});
    adopt(single(false));
    for (const char* id : {"a1", "a2", "a3", "a4"})
        m_transport.behaviours[id].is_silent = true;
    for (int index = 0; index < 4; ++index)
        submit();
    run_for(900ms);
    EXPECT_EQ(m_offers, 0);
}

// Guards against requests that are handed to other VMs although their replicas want no more of
// them.
TEST_F(dispatcher_test, only_unreachable_replicas_put_a_request_out_of_reach)
{
    add_replicas({{"a", 1}});
    adopt(single(true));
    m_transport.behaviours["a1"].outcome = attempt_outcome::refused;
    m_transport.behaviours["a1"].closed_for = 10s;
    submit_and_wait();
    answer result = submit_and_wait();
    EXPECT_EQ(result.kind, answer_kind::not_run);
    EXPECT_FALSE(result.is_out_of_reach);
    m_directory.replicas().at("a1")->record_connect_failure(m_clock.now());
    result = submit_and_wait();
    EXPECT_EQ(result.kind, answer_kind::not_run);
    EXPECT_TRUE(result.is_out_of_reach);
}

// Replays the load of a large fleet while two of the three replicas of each shard refuse 60 in 100
// requests for nine seconds: a VM sends one query a second to 90 shards, and its share of the
// budget is three to four repeats in ten seconds for each shard. Guards against choosing replicas
// without regard to their refusals, and against failing a query although a replica that refused it
// would accept it.
TEST_F(dispatcher_test, half_of_the_queries_are_answered_while_most_replicas_refuse_most_requests)
{
    constexpr int shard_count = 90;
    constexpr int replicas_per_shard = 3;
    std::map<std::string, int> services;
    std::vector<std::string> shards;
    for (int index = 0; index < shard_count; ++index)
    {
        shards.push_back("s" + std::to_string(100 + index) + "-");
        services[shards.back()] = replicas_per_shard;
    }
    add_replicas(services);
    adopt(gather(shards, 0.95));
    constexpr std::size_t vm_count = 76;
    m_dispatcher.set_fleet_position({vm_count});
    m_dispatcher.set_repeat_limits({0.2, 192, 10'000ms});
    for (int index = 0; index < 12; ++index)
        submit_and_wait();
    base::seeded_random random(5);
    for (const std::string& shard : shards)
    {
        const int spared = 1 + static_cast<int>(random.below(replicas_per_shard));
        for (int index = 1; index <= replicas_per_shard; ++index)
            if (index != spared)
                m_transport.behaviours[shard + std::to_string(index)].refusal_share = 0.6;
    }
    int answered = 0;
    constexpr int query_count = 9;
    for (int index = 0; index < query_count; ++index)
        answered += submit_and_wait().kind == answer_kind::gathered ? 1 : 0;
    EXPECT_GE(answered, query_count / 2);
}

// Guards against more replicas than the route allows for one request, and against endless repeats
// to one that refuses everything.
TEST_F(dispatcher_test, refused_request_is_sent_again_to_the_same_replicas_only)
{
    add_replicas({{"a", 4}});
    adopt(single(true));
    warm_up(100);
    for (int index = 1; index <= 4; ++index)
        m_transport.behaviours["a" + std::to_string(index)].outcome = attempt_outcome::refused;
    EXPECT_EQ(submit_and_wait().kind, answer_kind::not_run);
    EXPECT_EQ(std::set(m_transport.sent.begin(), m_transport.sent.end()).size(), 2U);
    EXPECT_LE(m_transport.sent.size(), 8U);
}

// Guards against a hedge to a third replica when the route allows two and one of them has refused.
TEST_F(dispatcher_test, hedge_after_a_refusal_stays_within_the_replicas_of_the_route)
{
    add_replicas({{"a", 4}});
    adopt(single(true));
    warm_up(100);
    for (int index = 1; index <= 4; ++index)
        m_transport.behaviours["a" + std::to_string(index)].is_silent = true;
    m_transport.refused_sends = 1;
    submit_and_wait();
    EXPECT_EQ(std::set(m_transport.sent.begin(), m_transport.sent.end()).size(), 2U);
}

// Guards against repeats to a replica that refuses because it is full: they would only add load.
TEST_F(dispatcher_test, request_refused_by_full_replicas_is_not_sent_to_them_again)
{
    add_replicas({{"a", 4}});
    adopt(single(true));
    warm_up(100);
    for (int index = 1; index <= 4; ++index)
    {
        m_transport.behaviours["a" + std::to_string(index)].outcome = attempt_outcome::refused;
        m_transport.behaviours["a" + std::to_string(index)].load = load_report{2, 12, 2, 1};
    }
    EXPECT_EQ(submit_and_wait().kind, answer_kind::not_run);
    EXPECT_EQ(m_transport.sent.size(), 2U);
}

// Guards against more attempts than the route allows.
TEST_F(dispatcher_test, attempts_stay_within_limit_of_route)
{
    add_replicas({{"a", 6}});
    adopt(single(true));
    for (int index = 1; index <= 6; ++index)
        m_transport.behaviours["a" + std::to_string(index)].outcome = attempt_outcome::lost;
    submit_and_wait();
    EXPECT_LE(m_transport.sent.size(), 2U);
}

// Guards against an incomplete answer long before the objective, and against waiting past the
// objective for the last shard.
TEST_F(dispatcher_test, gather_answers_within_objective_when_one_shard_is_silent)
{
    add_replicas({{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}});
    adopt(gather({"a", "b", "c", "d"}, 0.75));
    warm_up();
    m_transport.behaviours["d1"].is_silent = true;
    const answer result = submit_and_wait();
    EXPECT_EQ(result.kind, answer_kind::gathered);
    EXPECT_EQ(result.missing_parts, 1U);
    EXPECT_EQ(result.receipts.size(), 3U);
    EXPECT_LE(m_latency, 120ms);
    EXPECT_GE(m_latency, 90ms);
}

// Guards against an answer that is sent within the objective but reaches a distant caller after it.
TEST_F(dispatcher_test, gather_leaves_time_for_answers_way_to_distant_caller)
{
    add_replicas({{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}});
    adopt(gather({"a", "b", "c", "d"}, 0.75));
    warm_up();
    m_transport.behaviours["d1"].is_silent = true;
    const answer result = submit_and_wait(24ms);
    EXPECT_EQ(result.kind, answer_kind::gathered);
    EXPECT_EQ(result.missing_parts, 1U);
    EXPECT_LE(m_latency, 120ms - 24ms);
    EXPECT_GE(m_latency, 60ms);
}

// Guards against waiting for a shard without a live replica.
TEST_F(dispatcher_test, gather_does_not_wait_for_shard_without_live_replica)
{
    add_replicas({{"a", 1}, {"b", 1}, {"c", 1}});
    adopt(gather({"a", "b", "c", "d"}, 0.75));
    const answer result = submit_and_wait();
    EXPECT_EQ(result.missing_parts, 1U);
    EXPECT_LE(m_latency, 15ms);
}

// Guards against sending attempts for a request that can no longer be answered.
TEST_F(dispatcher_test, gather_below_least_coverage_is_refused_before_it_runs)
{
    add_replicas({{"a", 1}, {"b", 1}});
    adopt(gather({"a", "b", "c", "d"}, 0.75));
    const answer result = submit_and_wait();
    EXPECT_EQ(result.kind, answer_kind::not_run);
    EXPECT_EQ(m_latency, base::duration{0});
    EXPECT_TRUE(m_transport.sent.empty());
    ASSERT_TRUE(result.retry_after);
    EXPECT_LE(*result.retry_after, 250ms);
}

// Guards against a "not run" answer although shards have run the query.
TEST_F(dispatcher_test, gather_that_fails_after_running_is_no_refusal)
{
    add_replicas({{"a", 1}, {"b", 1}});
    adopt(gather({"a", "b"}, 1));
    m_transport.behaviours["b1"].outcome = attempt_outcome::failed;
    m_transport.behaviours["b1"].status = 500;
    m_transport.behaviours["b1"].latency = 20ms;
    EXPECT_EQ(submit_and_wait().kind, answer_kind::failed);
}

// Guards against an answer whose parts come from two configurations.
TEST_F(dispatcher_test, gather_keeps_shards_of_its_configuration)
{
    add_replicas({{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}});
    adopt(gather({"a", "b"}, 1));
    submit();
    adopt(gather({"c", "d"}, 1));
    run_for(50ms);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->receipts, (std::vector<std::string>{"receipt of a1", "receipt of b1"}));
}

// Guards against the shares of one configuration used with the services of another: a gateway
// crashed when a version changed the parts of a split route while requests waited.
TEST_F(dispatcher_test, request_that_waited_over_a_change_of_its_split_keeps_its_services)
{
    const std::vector<std::string> many = {"a", "b", "c", "d", "e", "f", "g", "h"};
    const std::vector<std::string> few = {"x", "y"};
    std::map<std::string, int> replicas;
    for (const auto* const services : {&many, &few})
        for (const std::string& service : *services)
            replicas[service] = 1;
    add_replicas(replicas);
    const auto count_sent = [this](const std::vector<std::string>& services)
    {
        constexpr int rounds = 10;
        m_transport.sent.clear();
        for (std::size_t index = 0; index < rounds * services.size(); ++index)
            submit_and_wait();
        std::map<std::string, int> result;
        for (const std::string& id : m_transport.sent)
            ++result[id];
        for (const std::string& service : services)
            EXPECT_NEAR(result[service + "1"], rounds, 1) << service;
        EXPECT_EQ(result.size(), services.size());
    };
    for (const auto& [before, after] : {std::pair(many, few), std::pair(few, many)})
    {
        adopt(split(before));
        m_waited_since = m_dispatcher.table();
        adopt(split(after));
        for (int index = 0; index < 8; ++index)
        {
            submit_and_wait();
            EXPECT_NE(std::find(before.begin(), before.end(), m_transport.sent.back().substr(0, 1)),
                      before.end());
        }
        m_waited_since.reset();
        count_sent(after);
    }
}

// Guards against attempts that continue after the caller has closed its connection.
TEST_F(dispatcher_test, caller_disconnect_stops_work_within_half_a_second)
{
    add_replicas({{"a", 1}, {"b", 1}});
    adopt(gather({"a", "b"}, 1));
    m_transport.behaviours["b1"].is_silent = true;
    submit();
    run_for(20ms);
    m_run->on_caller_gone();
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::abandoned);
    run_for(400ms);
    EXPECT_EQ(m_transport.dropped, std::vector<std::string>{"b1"});
    EXPECT_EQ(m_transport.sent.size(), 2U);
}

// Guards against doubled load when all replicas of a service become slow: the budget limits
// repeats.
TEST_F(dispatcher_test, repeats_stay_within_budget_when_all_replicas_are_slow)
{
    add_replicas({{"a", 2}});
    adopt(single(true));
    warm_up();
    for (const char* id : {"a1", "a2"})
        m_transport.behaviours[id].latency = 200ms;
    constexpr int requests = 40;
    for (int index = 0; index < requests; ++index)
    {
        submit();
        run_for(100ms);
    }
    // The ratio of 0.2 of the requests, and the slack of 20.
    EXPECT_LE(m_transport.sent.size(), requests + 20U + 0.2 * 2 * requests);
    EXPECT_GT(m_observer.budget_refusals, 0);
}

// Guards against a request that waits for a connection until its deadline: it must be refused while
// its caller still has time to retry.
TEST_F(dispatcher_test, request_without_free_connection_is_refused_early)
{
    add_replicas({{"a", 1}});
    adopt(single(true));
    m_transport.behaviours["a1"].connections = 1;
    m_transport.behaviours["a1"].latency = 300ms;
    submit();
    const auto first = m_run;
    submit();
    run_for(60ms);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::not_run);
    EXPECT_LE(m_latency, 40ms);
}

// Guards against repeats of parts that only wait for this VM's network link: replies that arrive
// one after the other are not overdue, even when they take longer than the median.
TEST_F(dispatcher_test, parts_of_slow_stream_are_not_repeated)
{
    std::vector<std::string> shards;
    std::map<std::string, int> services;
    for (char name = 'a'; name < 'a' + 24; ++name)
    {
        shards.emplace_back(1, name);
        services[shards.back()] = 2;
    }
    add_replicas(services);
    adopt(gather(shards, 0.5));
    warm_up();
    base::duration latency = 10ms;
    for (const std::string& shard : shards)
    {
        for (const char* index : {"1", "2"})
            m_transport.behaviours[shard + index].latency = latency;
        latency += 3ms;
    }
    m_observer.hedges = 0;
    const answer result = submit_and_wait();
    EXPECT_EQ(result.missing_parts, 0U);
    EXPECT_LE(m_observer.hedges, 3);
}

/// 24 shards whose replicas answer after 10, 12 ... 56 ms, so that replies arrive one after the
/// other.
class wide_gather_test : public dispatcher_test
{
protected:
    wide_gather_test()
    {
        std::map<std::string, int> services;
        for (char name = 'a'; name < 'a' + shard_count; ++name)
        {
            m_shards.emplace_back(1, name);
            services[m_shards.back()] = 2;
        }
        add_replicas(services);
        adopt(gather(m_shards, 0.5));
        set_latencies([](int number) { return milliseconds{10 + 2 * number}; });
        warm_up();
        submit_and_wait();
        m_observer.hedges = 0;
    }

    /// Returns the replica that the last query sent the shard's part to; the next query prefers it.
    std::string replica_in_use(const std::string& shard) const
    {
        const auto found =
            std::find_if(m_transport.sent.rbegin(), m_transport.sent.rend(),
                         [&](const std::string& id) { return id.starts_with(shard); });
        return found == m_transport.sent.rend() ? shard + "1" : *found;
    }

    void set_latencies(const std::function<milliseconds(int)>& latency_of)
    {
        int number = 0;
        for (const std::string& shard : m_shards)
        {
            for (const char* index : {"1", "2"})
                m_transport.behaviours[shard + index].latency = latency_of(number);
            ++number;
        }
    }

    static constexpr int shard_count = 24;
    std::vector<std::string> m_shards;
};

// Guards against repeats of the slowest of many normal parts, which use up the budget that parts on
// slow and paused replicas need.
TEST_F(wide_gather_test, slowest_ordinary_parts_are_not_repeated)
{
    const answer result = submit_and_wait();
    EXPECT_EQ(result.missing_parts, 0U);
    EXPECT_EQ(m_observer.hedges, 0);
}

// Guards against repeating all parts of a query before the first reply has arrived: then the VM
// itself is late, and the repeats delay it further.
TEST_F(wide_gather_test, query_without_first_reply_is_not_repeated_as_a_whole)
{
    set_latencies([](int) { return milliseconds{48}; });
    const answer result = submit_and_wait();
    EXPECT_EQ(result.missing_parts, 0U);
    EXPECT_EQ(m_observer.hedges, 0);
}

// Guards against repeats that are too late for the objective when a fifth of the parts are on slow
// replicas, as happens when the gap that ends the stream of replies is half the median.
TEST_F(wide_gather_test, fifth_of_parts_at_slow_replicas_is_repeated_within_objective)
{
    set_latencies([](int number) { return milliseconds{40 + number / 2}; });
    for (const char* shard : {"p", "r", "t", "v", "x"})
        m_transport.behaviours[replica_in_use(shard)].latency = 400ms;
    const answer result = submit_and_wait();
    EXPECT_EQ(result.missing_parts, 0U);
    EXPECT_LE(m_latency, 120ms);
}

// Guards against late repeats of parts on silent replicas, because of the limits for normal parts.
TEST_F(wide_gather_test, parts_of_silent_replicas_are_repeated_in_time)
{
    set_latencies([](int) { return milliseconds{20}; });
    for (const char* shard : {"b", "k", "x"})
        m_transport.behaviours[replica_in_use(shard)].is_silent = true;
    for (int round = 0; round < 4; ++round)
    {
        const answer result = submit_and_wait();
        EXPECT_EQ(result.missing_parts, 0U);
        EXPECT_LE(m_latency, 110ms);
    }
    EXPECT_GT(m_observer.hedges, 0);
}

// Guards against a query that waits until its deadline because most of its replicas became silent
// at the same time.
TEST_F(wide_gather_test, query_whose_replicas_are_all_silent_is_repeated_when_overdue)
{
    set_latencies([](int) { return milliseconds{20}; });
    for (const std::string& shard : m_shards)
        m_transport.behaviours[replica_in_use(shard)].is_silent = true;
    const answer result = submit_and_wait();
    EXPECT_GT(m_observer.hedges, 0);
    EXPECT_LE(m_latency, 110ms);
    EXPECT_EQ(result.kind, answer_kind::gathered);
}

// Guards against timers that accumulate when there is no other replica for overdue parts: each
// timer may schedule at most one more.
TEST_F(dispatcher_test, overdue_parts_without_other_replica_keep_one_timer)
{
    add_replicas({{"a", 1}, {"b", 1}, {"c", 1}});
    adopt(gather({"a", "b", "c"}, 1));
    warm_up();
    for (const char* id : {"a1", "b1", "c1"})
        m_transport.behaviours[id].is_silent = true;
    submit();
    run_for(900ms);
    // The timers for the deadline, the answer time and the next hedge.
    EXPECT_LE(m_dispatcher.timers().size(), 3U);
}

// Guards against a queue ordered by arrival alone: when requests wait for a connection, those with
// the more urgent priority are sent first, and those with equal priority in order of arrival.
TEST_F(dispatcher_test, waiting_requests_are_ordered_by_priority_then_arrival)
{
    add_replicas({{"a", 1}});
    std::vector<route> rules{single(true), single(true)};
    constexpr int lookup_priority = 2;
    constexpr int sweep_priority = 1;
    rules[0].name = "lookup";
    rules[0].priority = lookup_priority;
    rules[1].name = "sweep";
    rules[1].priority = sweep_priority;
    for (route& rule : rules)
    {
        rule.host = "h";
        rule.path_prefix = "/" + rule.name + "/";
        rule.objective = 400ms;
    }
    base::error reason;
    auto table = route_table::create(1, std::move(rules), {}, {}, reason);
    ASSERT_TRUE(table) << reason.message;
    m_dispatcher.adopt(std::make_shared<const route_table>(std::move(*table)));
    m_transport.behaviours["a1"].connections = 1;
    std::vector<std::string> answered;
    std::vector<std::shared_ptr<test_dispatcher::run_type>> runs;
    for (const char* const each : {"lookup 1", "lookup 2", "lookup 3", "sweep 1", "sweep 2"})
    {
        const std::string id = each;
        caller_request<message> request;
        request.id = id;
        request.message = std::make_shared<const message>();
        request.deadline = 1000ms;
        const route* const rule =
            m_dispatcher.table()->find_route("h", "/" + id.substr(0, id.find(' ')) + "/");
        ASSERT_NE(rule, nullptr);
        runs.push_back(m_dispatcher.submit(std::move(request), m_dispatcher.table(), *rule,
                                           [&answered, id](const answer& result)
                                           {
                                               EXPECT_EQ(result.kind, answer_kind::relayed);
                                               answered.push_back(id);
                                           }));
    }
    run_for(90ms);
    EXPECT_EQ(answered,
              (std::vector<std::string>{"lookup 1", "sweep 1", "sweep 2", "lookup 2", "lookup 3"}));
}

// Guards against a part that waits although a connection has become free.
TEST_F(dispatcher_test, waiting_part_is_sent_when_connection_becomes_free)
{
    add_replicas({{"a", 1}, {"b", 1}});
    adopt(gather({"a", "b"}, 1));
    m_transport.behaviours["a1"].connections = 1;
    m_transport.behaviours["a1"].latency = 30ms;
    submit();
    const auto first = m_run;
    submit();
    run_for(80ms);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::gathered);
    EXPECT_EQ(m_latency, 60ms);
}

// Guards against an attempt with a longer deadline than the caller's or the route's.
TEST_F(dispatcher_test, deadline_of_attempt_is_the_remaining_time)
{
    add_replicas({{"a", 2}});
    adopt(single(true));
    warm_up();
    m_transport.deadlines.clear();
    m_transport.behaviours["a1"].is_silent = true;
    m_transport.behaviours["a2"].is_silent = true;
    submit_and_wait();
    ASSERT_EQ(m_transport.deadlines.size(), 2U);
    EXPECT_LE(m_transport.deadlines[0], 1000ms);
    EXPECT_LT(m_transport.deadlines[1], m_transport.deadlines[0]);
}

// Guards against new requests to a replica whose address is used by another one.
TEST_F(dispatcher_test, replaced_replica_gets_no_more_requests)
{
    add_replicas({{"a", 2}});
    adopt(single(false));
    m_transport.behaviours["a1"].outcome = attempt_outcome::misplaced;
    for (int index = 0; index < 6; ++index)
        EXPECT_EQ(submit_and_wait().kind, answer_kind::relayed);
    EXPECT_LE(std::count(m_transport.sent.begin(), m_transport.sent.end(), "a1"), 1);
}

} // namespace
} // namespace ospreystair::forwarding
