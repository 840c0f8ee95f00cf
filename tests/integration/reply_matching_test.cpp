// Checks that each caller gets the complete answer to its own request, in whichever order and state
// replies arrive.

#include <future>

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "tests/integration/answer_audit.hpp"

namespace ospreystair::testing_support
{

class reply_matching_test : public testing::Test
{
protected:
    static constexpr std::chrono::seconds limit{15};

    reply_matching_test() : m_cluster({.services = {{.name = "portal"}}})
    {
        std::set<std::string> shards;
        for (int shard = 0; shard < 4; ++shard)
            shards.insert(test_cluster::shard_name("portal", shard));
        m_audit.expect_shards(1, std::move(shards));
    }

    void set_upstreams(const std::string& settings)
    {
        EXPECT_EQ(
            m_cluster
                .control_upstreams(fmt::format(R"({{"replicas":"all","set":{{{}}}}})", settings))
                .status,
            200);
    }

    void print_answers() { std::cout << "answers: " << m_audit.summary() << "\n"; }

    test_cluster m_cluster;
    answer_audit m_audit;
};

// Guards against answers that reach the wrong caller when hedges and cancellations reorder replies.
TEST_F(reply_matching_test, concurrent_callers_with_stragglers_get_their_own_answers)
{
    set_upstreams(R"("slots":16,"queue":64,"straggler_probability":0.05,"straggler_factor":20)");
    query_stream stream(m_cluster, m_audit,
                        {.service = "portal", .callers = 12, .queries_each = 40});
    stream.join();
    print_answers();
    EXPECT_EQ(m_audit.counts().complete, 12 * 40) << m_audit.summary();
    const double hedges = m_cluster.entry_metric(0, "ospreystair_hedges_total") +
                          m_cluster.entry_metric(1, "ospreystair_hedges_total");
    std::cout << "hedges: " << hedges << "\n";
    EXPECT_GT(hedges, 0);
}

// Guards against hedges that stop because stragglers are so frequent that the learnt percentile is
// their latency. With twelve in a hundred it is from the first estimate on.
TEST_F(reply_matching_test, frequent_stragglers_are_hedged)
{
    set_upstreams(R"("slots":16,"queue":64,"straggler_probability":0.12,"straggler_factor":20)");
    query_stream stream(m_cluster, m_audit,
                        {.service = "portal", .callers = 12, .queries_each = 40});
    stream.join();
    print_answers();
    EXPECT_EQ(m_audit.counts().complete, 12 * 40) << m_audit.summary();
    EXPECT_GT(m_cluster.entry_metric(0, "ospreystair_hedges_total") +
                  m_cluster.entry_metric(1, "ospreystair_hedges_total"),
              0);
}

// Guards against a late answer on a reused connection that is taken for the next request's answer.
TEST_F(reply_matching_test, answers_after_deadline_never_reach_later_requests)
{
    set_upstreams(R"("slots":16,"queue":64,"ignore_cancellation":true,)"
                  R"("faults":[{"kind":"late","probability":0.2,"delay_ms":500}])");
    query_stream stream(
        m_cluster, m_audit,
        {.service = "portal", .callers = 8, .deadline_ms = 250, .queries_each = 10});
    stream.join();
    print_answers();
    EXPECT_EQ(m_audit.counts().lost, 0);
    EXPECT_GT(m_audit.counts().reasons["timeout"], 0) << "the fault did not happen";
    EXPECT_EQ(m_cluster.entry_metric(0, "ospreystair_replies_mismatched_total"), 0);
    EXPECT_EQ(m_cluster.entry_metric(1, "ospreystair_replies_mismatched_total"), 0);
}

// Guards against a truncated body that is passed on as an answer.
TEST_F(reply_matching_test, truncated_replies_are_not_counted_as_answers)
{
    set_upstreams(R"("slots":16,"faults":[{"kind":"truncate","probability":0.3}])");
    query_stream stream(m_cluster, m_audit, {.service = "portal", .queries_each = 30});
    stream.join();
    print_answers();
    const auto totals = m_audit.counts();
    EXPECT_EQ(totals.lost + totals.refused, 0) << m_audit.summary();
    EXPECT_EQ(totals.complete + totals.partial + totals.empty, 4 * 30) << m_audit.summary();
    EXPECT_GT(sum_upstream_count(m_cluster, "faults"), 0);
}

// Guards against requests that are treated as one because their texts are equal.
TEST_F(reply_matching_test, callers_with_same_text_and_headers_get_separate_answers)
{
    std::vector<std::future<test_reply>> replies;
    for (int caller = 0; caller < 16; ++caller)
        replies.push_back(
            std::async(std::launch::async,
                       [this] { return m_cluster.query(0, "portal", "the same text", 5000); }));
    std::set<std::string> ids;
    for (auto& item : replies)
    {
        const test_reply reply = item.get();
        m_audit.check(reply, "the same text");
        EXPECT_EQ(reply.header("X-Coverage"), "4/4") << reply.body;
        EXPECT_TRUE(ids.insert(reply.header("X-Request-Id")).second) << reply.body;
    }
}

// Guards against upstreams that continue to work for a caller that has disconnected.
TEST_F(reply_matching_test, caller_that_disconnects_cancels_its_sub_requests)
{
    set_upstreams(R"("base_ms":8000)");
    const int before = sum_upstream_count(m_cluster, "cancelled");
    const test_reply reply =
        send_request(m_cluster.vm(0).caller_port, {"POST",
                                                   "/v1/services/portal/query",
                                                   {{"X-Deadline-Ms", "20000"}},
                                                   "gone",
                                                   std::chrono::milliseconds{500}});
    EXPECT_EQ(reply.status, 0);
    EXPECT_TRUE(wait_until(std::chrono::seconds{5}, [&]
                           { return sum_upstream_count(m_cluster, "cancelled") >= before + 4; }))
        << sum_upstream_count(m_cluster, "cancelled") - before;
    EXPECT_TRUE(wait_until(
        limit,
        [&] { return m_cluster.entry_metric(0, "ospreystair_queries_cancelled_total") >= 1; }));
    set_upstreams(R"("base_ms":2.5)");
    query_stream stream(m_cluster, m_audit, {.service = "portal", .queries_each = 10});
    stream.join();
    EXPECT_EQ(m_audit.counts().complete, 40) << m_audit.summary();
}

} // namespace ospreystair::testing_support
