// Requests under which replicas crash, with a simulated clock and simulated replicas.

#include <algorithm>

#include "tests/unit/dispatcher_fixture.hpp"

namespace ospreystair::forwarding
{
namespace
{

class crash_test : public dispatcher_test
{
protected:
    crash_test()
    {
        for (std::size_t index = 0; index < shard_count; ++index)
            m_shards.push_back(std::string(1, static_cast<char>('a' + index)));
    }

    void use_query(int replicas)
    {
        std::map<std::string, int> services;
        for (const std::string& shard : m_shards)
            services[shard] = replicas;
        add_replicas(services);
        adopt(gather(m_shards, 0.9));
        warm_up();
    }

    void use_service(int replicas)
    {
        add_replicas({{"a", replicas}});
        adopt(single(true));
        warm_up();
    }

    void set_crashing(bool crashes)
    {
        for (const auto& [id, each] : m_directory.replicas())
            m_transport.behaviours[id].crashes = crashes;
    }

    /// Replicas that have crashed accept connections again.
    void restart_replicas()
    {
        for (const auto& [id, each] : m_directory.replicas())
            each->clear_connect_failures();
        run_for(2s);
    }

    answer send(base::fingerprint fingerprint, base::duration wait = 1200ms)
    {
        m_transport.sent.clear();
        submit({}, fingerprint);
        run_for(wait);
        EXPECT_TRUE(m_answer);
        return m_answer.value_or(answer{});
    }

    /// Sends five requests with the same content at the same time.
    void send_five(base::fingerprint fingerprint)
    {
        for (int index = 0; index < 5; ++index)
        {
            submit({}, fingerprint);
            m_runs.push_back(m_run);
        }
    }

    /// Leaves evidence of one outage in which replicas crashed while they ran the request.
    void suspect(base::fingerprint fingerprint)
    {
        for (std::uint64_t replica = 1'000; replica < 1'003; ++replica)
            m_dispatcher.crashes().record_crash(
                fingerprint, {replica, m_clock.now() - 1s, m_clock.now() - 990ms});
    }

    static constexpr std::size_t shard_count = 10;
    static constexpr base::fingerprint deadly{1, 1};
    static constexpr base::fingerprint innocent{2, 2};
    std::vector<std::string> m_shards;
    std::vector<std::shared_ptr<test_dispatcher::run_type>> m_runs;
};

// Guards against retries that take a query to the second replica of each shard after the first ones
// have crashed.
TEST_F(crash_test, query_under_which_all_replicas_crash_is_repeated_at_one_replica_only)
{
    use_query(2);
    set_crashing(true);
    const answer result = send(deadly);
    EXPECT_EQ(result.kind, answer_kind::failed);
    EXPECT_EQ(m_transport.sent.size(), shard_count + 1);
    EXPECT_EQ(m_dispatcher.assess(deadly), routing::crash_verdict::condemned);
}

TEST_F(crash_test, condemned_request_is_refused_at_once_without_being_sent)
{
    use_query(2);
    set_crashing(true);
    send(deadly);
    set_crashing(false);
    restart_replicas();
    const answer result = send(deadly, 0ms);
    EXPECT_EQ(result.kind, answer_kind::not_run);
    EXPECT_TRUE(m_transport.sent.empty());
    EXPECT_GE(result.retry_after, 30s);
    EXPECT_EQ(send(innocent).missing_parts, 0U);
}

// Guards against a suspected query that crashes a replica of each shard once more.
TEST_F(crash_test, suspected_query_is_tried_at_one_replica_before_the_others)
{
    use_query(2);
    suspect(deadly);
    set_crashing(true);
    send(deadly);
    EXPECT_EQ(m_transport.sent.size(), 1U);
    EXPECT_EQ(m_dispatcher.assess(deadly), routing::crash_verdict::condemned);
}

// Guards against an innocent query that is refused or incomplete because replicas crashed before.
TEST_F(crash_test, suspected_query_that_a_replica_answers_is_completed)
{
    use_query(2);
    suspect(innocent);
    const answer result = send(innocent);
    EXPECT_EQ(result.kind, answer_kind::gathered);
    EXPECT_EQ(result.missing_parts, 0U);
    EXPECT_EQ(m_dispatcher.assess(innocent), routing::crash_verdict::clear);
}

TEST_F(crash_test, part_whose_replica_crashed_is_repeated_once_others_have_answered)
{
    use_query(2);
    for (const char* id : {"a1", "a2", "b1"})
        m_transport.behaviours[id].crashes = true;
    const answer result = send(innocent);
    EXPECT_EQ(result.kind, answer_kind::gathered);
    EXPECT_LE(result.missing_parts, 1U);
    EXPECT_EQ(m_dispatcher.assess(innocent), routing::crash_verdict::clear);
}

// Guards against callers that wait or are refused because one replica crashed.
TEST_F(crash_test, request_to_one_service_is_repeated_at_once_after_the_first_crash)
{
    use_service(3);
    const std::string first = (send(innocent), m_transport.sent.front());
    m_transport.behaviours[first].crashes = true;
    const answer result = send(innocent);
    EXPECT_EQ(result.kind, answer_kind::relayed);
    EXPECT_LE(m_latency, 60ms);
}

TEST_F(crash_test, request_to_one_service_crashes_three_replicas_at_most)
{
    use_service(8);
    set_crashing(true);
    std::size_t sent = 0;
    for (int index = 0; index < 5; ++index)
    {
        send(deadly);
        sent += m_transport.sent.size();
    }
    EXPECT_EQ(sent, 3U);
}

// Guards against several requests with the same content that crash a replica each, all at once.
TEST_F(crash_test, requests_with_suspected_content_wait_for_the_trial_of_one)
{
    use_service(8);
    suspect(deadly);
    set_crashing(true);
    m_transport.sent.clear();
    send_five(deadly);
    EXPECT_EQ(m_transport.sent.size(), 1U);
    run_for(200ms);
    EXPECT_EQ(m_transport.sent.size(), 1U);
    EXPECT_TRUE(
        std::all_of(m_answers.begin(), m_answers.end(), [](unsigned count) { return count == 1; }));
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::not_run);
}

// Guards against requests of one content that are lost because the first one waits for its reply.
TEST_F(crash_test, requests_with_suspected_content_are_all_answered_after_the_trial)
{
    use_service(8);
    suspect(innocent);
    send_five(innocent);
    run_for(200ms);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::relayed);
    EXPECT_TRUE(
        std::all_of(m_answers.begin(), m_answers.end(), [](unsigned count) { return count == 1; }));
}

// Guards against a trial that takes the last replicas which other queries need.
TEST_F(crash_test, suspected_query_is_refused_while_no_replica_can_be_spared)
{
    use_query(2);
    for (const std::string& shard : m_shards)
        m_directory.replicas().at(shard + "1")->record_connect_failure(m_clock.now());
    m_directory.replicas().at("b2")->record_connect_failure(m_clock.now());
    suspect(innocent);
    const answer result = send(innocent);
    EXPECT_EQ(result.kind, answer_kind::not_run);
    EXPECT_FALSE(result.is_out_of_reach);
    EXPECT_TRUE(m_transport.sent.empty());
    restart_replicas();
    EXPECT_EQ(send(innocent).kind, answer_kind::gathered);
}

// Guards against a VM that learns nothing from crashes because it believes that it is cut off.
TEST_F(crash_test, crashes_count_while_all_replicas_seem_lost)
{
    use_service(4);
    suspect(deadly);
    for (const auto& [id, each] : m_directory.replicas())
        m_transport.behaviours[id].is_silent = true;
    for (int index = 0; index < 4; ++index)
        submit({}, innocent);
    run_for(900ms);
    ASSERT_TRUE(m_dispatcher.update_reach());
    for (const auto& [id, each] : m_directory.replicas())
        m_transport.behaviours[id] = {.crashes = true};
    run_for(2s);
    send(deadly);
    EXPECT_EQ(m_dispatcher.assess(deadly), routing::crash_verdict::condemned);
}

// Guards against a deadly request that a VM hands to others after it has crashed the replicas here.
TEST_F(crash_test, request_that_crashed_replicas_is_not_offered_to_other_vms)
{
    use_query(2);
    m_transport.behaviours["a1"].crashes = true;
    m_transport.behaviours["a2"].crashes = true;
    for (const auto& [id, each] : m_directory.replicas())
        if (!m_transport.behaviours[id].crashes)
            m_transport.behaviours[id].is_silent = true;
    submit({}, deadly);
    run_for(900ms);
    EXPECT_EQ(m_offers, 0);
}

} // namespace
} // namespace ospreystair::forwarding
