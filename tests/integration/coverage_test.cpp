// Checks that the coverage of every answer is correct, whichever shards fail and in whichever way.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "tests/integration/answer_audit.hpp"

namespace ospreystair::testing_support
{

class coverage_test : public testing::Test
{
protected:
    static constexpr std::chrono::seconds recovery_limit{20};

    coverage_test()
        : m_cluster({.services = {{.name = "portal"}, {.name = "single", .replicas_per_shard = 1}},
                     .use_proxy = true})
    {
        m_audit.expect_shards(1, shard_names("portal"));
    }

    static std::set<std::string> shard_names(const std::string& service)
    {
        std::set<std::string> result;
        for (int shard = 0; shard < 4; ++shard)
            result.insert(test_cluster::shard_name(service, shard));
        return result;
    }

    std::string route(const std::string& service, int shard, int replica)
    {
        return fmt::format("127.0.0.1:{}", m_cluster.replica_port(test_cluster::replica_name(
                                               service, shard, replica)));
    }

    void set_mode(const std::vector<std::string>& routes, const std::string& mode)
    {
        EXPECT_EQ(m_cluster
                      .control_proxy(fmt::format(R"({{"routes":{},"set":{{"mode":"{}"}}}})",
                                                 to_json_list(routes), mode))
                      .status,
                  200);
    }

    // Sets faults at both replicas of a shard of `portal`.
    void set_faults(int shard, const std::string& faults)
    {
        EXPECT_EQ(m_cluster
                      .control_upstreams(fmt::format(
                          R"({{"replicas":{},"set":{{"faults":[{}]}}}})",
                          to_json_list({test_cluster::replica_name("portal", shard, 0),
                                        test_cluster::replica_name("portal", shard, 1)}),
                          faults))
                      .status,
                  200);
    }

    test_reply send_query(const std::string& body, int deadline_ms)
    {
        test_reply reply = m_cluster.query(0, "portal", body, deadline_ms);
        m_audit.check(reply, body);
        return reply;
    }

    bool wait_until_complete(const std::string& service)
    {
        return wait_until(
            recovery_limit,
            [&] { return m_cluster.query(0, service, "whole?").header("X-Coverage") == "4/4"; });
    }

    test_cluster m_cluster;
    answer_audit m_audit;
};

// Guards against a caller that waits for its deadline because of a shard that cannot answer, and
// against a missing shard that is not named.
TEST_F(coverage_test, shard_without_replicas_is_named_long_before_deadline)
{
    constexpr int deadline_ms = 10'000;
    set_mode({route("portal", 2, 0), route("portal", 2, 1)}, "cut");
    for (int count = 0; count < 5; ++count)
    {
        const test_reply reply = send_query(fmt::format("lost {}", count), deadline_ms);
        EXPECT_EQ(reply.status, 200) << reply.body;
        EXPECT_EQ(reply.header("X-Coverage"), "3/4");
        EXPECT_LT(reply.elapsed.count(), deadline_ms / 2);
        const Json::Value missing = reply.json()["coverage"]["missing"];
        ASSERT_EQ(missing.size(), 1U) << reply.body;
        EXPECT_EQ(missing[0]["shard"].asString(), "portal-s2");
        EXPECT_TRUE(missing[0]["reason"].asString() == "unreachable" ||
                    missing[0]["reason"].asString() == "no_replica")
            << reply.body;
        EXPECT_EQ(missing[0]["data_centres"].size(), 2U) << reply.body;
    }
    set_mode({route("portal", 2, 0), route("portal", 2, 1)}, "pass");
    EXPECT_TRUE(wait_until_complete("portal"));
}

// Guards against answers after the deadline, and against late answers that reach later requests.
TEST_F(coverage_test, shard_later_than_deadline_is_reported_as_timeout)
{
    constexpr int deadline_ms = 400;
    set_faults(1, R"({"kind":"late","delay_ms":3000})");
    const test_reply reply = send_query("late", deadline_ms);
    EXPECT_EQ(reply.header("X-Coverage"), "3/4") << reply.body;
    EXPECT_EQ(reply.json()["coverage"]["missing"][0]["shard"].asString(), "portal-s1");
    EXPECT_EQ(reply.json()["coverage"]["missing"][0]["reason"].asString(), "timeout");
    // Compared with the replica's delay and not with the deadline, to allow for a busy machine.
    EXPECT_LT(reply.elapsed.count(), 3000);
    set_faults(1, "");
    EXPECT_TRUE(wait_until_complete("portal"));
    for (int count = 0; count < 20; ++count)
        send_query(fmt::format("after {}", count), 3000);
}

// Guards against a shard that is counted twice because its first attempt and its hedge both answer.
TEST_F(coverage_test, first_attempt_and_hedge_that_both_answer_are_counted_once)
{
    // The hedge is sent shortly after the 95th percentile and takes about as long as the straggler
    // still needs, so that both replies arrive close to each other.
    EXPECT_EQ(m_cluster
                  .control_upstreams(R"({"replicas":"all","set":{"slots":8,"base_ms":10,)"
                                     R"("straggler_probability":0.04,"straggler_factor":2.3,)"
                                     R"("ignore_cancellation":true}})")
                  .status,
              200);
    query_stream stream(m_cluster, m_audit, {.service = "portal", .queries_each = 100});
    stream.join();
    std::cout << "answers: " << m_audit.summary() << "\n";
    EXPECT_GT(m_cluster.entry_metric(0, "ospreystair_hedges_total") +
                  m_cluster.entry_metric(1, "ospreystair_hedges_total"),
              0);
    EXPECT_EQ(m_audit.counts().complete, 400) << m_audit.summary();
}

// Guards against answers that do not name an unreachable data centre, and against missing shards
// that have a replica in the other data centre.
TEST_F(coverage_test, data_centre_cut_off_is_named_where_it_has_the_only_replica)
{
    // Replica 0 of each shard is in the first data centre.
    std::vector<std::string> routes;
    for (int shard = 0; shard < 4; ++shard)
    {
        routes.push_back(route("portal", shard, 0));
        routes.push_back(route("single", shard, 0));
    }
    set_mode(routes, "cut");
    const test_reply single_reply = m_cluster.query(0, "single", "x", 10'000);
    EXPECT_EQ(single_reply.status, 503) << single_reply.body;
    EXPECT_EQ(single_reply.header("X-Coverage"), "0/4");
    const Json::Value missing = single_reply.json()["coverage"]["missing"];
    EXPECT_EQ(missing.size(), 4U) << single_reply.body;
    for (const Json::Value& item : missing)
    {
        ASSERT_EQ(item["data_centres"].size(), 1U) << single_reply.body;
        EXPECT_EQ(item["data_centres"][0].asString(), "riga-centrs");
    }
    EXPECT_TRUE(wait_until_complete("portal"));
    set_mode(routes, "pass");
    EXPECT_TRUE(wait_until_complete("single"));
}

// Guards against a VM without links to the upstreams that goes on attracting callers.
TEST_F(coverage_test, vm_that_reaches_no_upstream_is_not_ready_until_one_answers)
{
    std::vector<std::string> routes;
    for (const std::string service : {"portal", "single"})
        for (int shard = 0; shard < 4; ++shard)
            for (int replica = 0; replica < (service == "portal" ? 2 : 1); ++replica)
                routes.push_back(route(service, shard, replica));
    set_mode(routes, "cut");
    const auto readiness = [this]
    {
        return send_request(m_cluster.vm(0).operator_port, get("/ready")).status;
    };
    EXPECT_TRUE(wait_until(recovery_limit,
                           [&]
                           {
                               m_cluster.query(0, "portal", "{}");
                               m_cluster.query(0, "single", "{}");
                               return readiness() == 503;
                           }));
    set_mode(routes, "pass");
    EXPECT_TRUE(wait_until(2 * recovery_limit,
                           [&]
                           {
                               return readiness() == 200 &&
                                      m_cluster.query(0, "portal", "{}").header("X-Coverage") ==
                                          "4/4";
                           }));
}

// Guards against an error in an empty reply with a success status that is counted as coverage.
TEST_F(coverage_test, empty_success_with_error_member_is_reported_as_failed)
{
    set_faults(3, R"({"kind":"empty"})");
    for (int count = 0; count < 5; ++count)
    {
        const test_reply reply = send_query("empty", 3000);
        EXPECT_EQ(reply.header("X-Coverage"), "3/4") << reply.body;
        EXPECT_EQ(reply.json()["coverage"]["missing"][0]["shard"].asString(), "portal-s3");
        EXPECT_EQ(reply.json()["coverage"]["missing"][0]["reason"].asString(), "failed");
    }
}

// Guards against lost coverage while each shard still has a replica.
TEST_F(coverage_test, one_replica_of_each_shard_lost_keeps_coverage_complete)
{
    std::vector<std::string> routes;
    for (int shard = 0; shard < 4; ++shard)
        routes.push_back(route("portal", shard, shard % 2));
    query_stream stream(m_cluster, m_audit, {.service = "portal"});
    EXPECT_TRUE(wait_until(recovery_limit, [&] { return stream.sent_count() > 20; }));
    set_mode(routes, "cut");
    EXPECT_TRUE(wait_until(recovery_limit, [&] { return stream.sent_count() > 120; }));
    stream.stop();
    std::cout << "answers: " << m_audit.summary() << "\n";
    EXPECT_EQ(m_audit.counts().complete, stream.sent_count()) << m_audit.summary();
}

} // namespace ospreystair::testing_support
