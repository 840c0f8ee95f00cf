// Tests of the tracking, ejection and choice of replicas. ctest-label: concurrent

#include <algorithm>
#include <thread>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "routing/replica_selector.hpp"

namespace ospreystair::routing
{

using namespace std::chrono_literals;
using base::error_kind;

class replica_test : public testing::Test
{
protected:
    static configuration::shard make_shard(std::size_t replicas)
    {
        configuration::shard shard{"s0", {}};
        for (std::size_t index = 0; index < replicas; ++index)
            shard.replicas.push_back({"r" + std::to_string(index), {}, "dc-1", 2, 25});
        return shard;
    }

    explicit replica_test(std::size_t replicas = 2) : m_shard(make_shard(replicas)) { adopt({}); }

    void adopt(const std::set<std::string>& draining)
    {
        configuration::document document;
        document.services["search"].shards = {m_shard};
        m_tracker.update(document, draining);
    }

    void send_request(const std::string& name, error_kind result, base::duration latency = 5ms)
    {
        m_tracker.begin(name);
        m_tracker.finish(name, result, latency);
    }

    void name_limit(const std::string& name, std::optional<double> requests_per_second)
    {
        m_tracker.record_request_limit(name, requests_per_second);
    }

    void fail_requests(const std::string& name, int times = 5)
    {
        for (int count = 0; count < times; ++count)
            send_request(name, error_kind::unreachable);
    }

    std::string choose(std::vector<std::string> excluded = {})
    {
        const auto* chosen = m_selector.choose(m_shard, excluded, m_random, m_reason);
        return chosen ? chosen->name : "";
    }

    int count_chosen(const std::string& name, int attempts = 1000)
    {
        int count = 0;
        for (int attempt = 0; attempt < attempts; ++attempt)
            count += choose() == name ? 1 : 0;
        return count;
    }

    configuration::shard m_shard;
    base::manual_clock m_clock;
    base::seeded_random m_random{1};
    replica_tracker<base::manual_clock> m_tracker{m_clock};
    replica_selector<base::manual_clock> m_selector{m_tracker, "dc-1"};
    base::error m_reason;
};

// Guards against a draining replica that still receives work, even when no other is left.
TEST_F(replica_test, draining_replica_is_never_chosen_until_the_view_ends_it)
{
    adopt({"r0"});
    EXPECT_EQ(count_chosen("r0"), 0);
    EXPECT_EQ(choose({"r1"}), "");
    EXPECT_EQ(m_reason.kind, error_kind::draining);
    EXPECT_NE(m_reason.message.find("end the drain"), std::string::npos);
    adopt({});
    EXPECT_EQ(choose({"r1"}), "r0");
}

// Guards against work for a replica that reports its drain itself, before gossip tells of it.
TEST_F(replica_test, replica_that_reports_its_drain_in_a_reply_is_not_chosen_again)
{
    send_request("r0", error_kind::draining);
    adopt({});
    EXPECT_EQ(count_chosen("r0"), 0);
    adopt({"r0"});
    adopt({});
    EXPECT_EQ(choose({"r1"}), "r0");
}

// Guards against a VM without links to the upstreams that goes on attracting callers, and against
// one that never gets the request that shows that they are back.
TEST_F(replica_test, all_replicas_are_ejected_until_the_first_is_due_for_a_probe)
{
    fail_requests("r0");
    EXPECT_FALSE(m_tracker.are_all_ejected());
    fail_requests("r1");
    EXPECT_TRUE(m_tracker.are_all_ejected());
    m_clock.advance(1s);
    EXPECT_FALSE(m_tracker.are_all_ejected());
}

// Guards against a replica in need that gets far more requests than the limit that it names, and
// against a limit that outlasts the need.
TEST_F(replica_test, replica_that_names_a_limit_gets_its_rate_until_it_names_none)
{
    const auto count_sent_in_ten_seconds = [this]
    {
        int count = 0;
        for (int index = 0; index < 1'000; ++index)
        {
            const std::string name = choose();
            send_request(name, error_kind::none);
            count += name == "r0" ? 1 : 0;
            m_clock.advance(10ms);
        }
        return count;
    };
    name_limit("r0", 4);
    const int count = count_sent_in_ten_seconds();
    EXPECT_GE(count, 30);
    EXPECT_LE(count, 42);
    while (choose({"r1"}) == "r0")
        send_request("r0", error_kind::none);
    EXPECT_NE(m_reason.message.find("1 at their limit"), std::string::npos);
    name_limit("r0", std::nullopt);
    EXPECT_GT(count_sent_in_ten_seconds(), 200);
}

// Guards against ejection after failures that are not consecutive, and against a missing ejection.
TEST_F(replica_test, only_consecutive_failures_eject)
{
    for (int round = 0; round < 5; ++round)
    {
        fail_requests("r0", 4);
        send_request("r0", error_kind::none);
    }
    EXPECT_FALSE(m_tracker.snapshot("r0").is_ejected);
    fail_requests("r0");
    EXPECT_TRUE(m_tracker.snapshot("r0").is_ejected);
    EXPECT_EQ(count_chosen("r0"), 0);
}

// Guards against ejecting a healthy replica for results that a caller or the load caused.
TEST_F(replica_test, cancelled_and_shed_requests_do_not_eject)
{
    for (int count = 0; count < 20; ++count)
        for (const error_kind kind :
             {error_kind::cancelled, error_kind::overloaded, error_kind::version_not_held})
            send_request("r0", kind);
    EXPECT_FALSE(m_tracker.snapshot("r0").is_ejected);
}

// Guards against an ejected replica that never returns, and against an ejection time that doubles
// without bound.
TEST_F(replica_test, failed_probes_double_the_ejection_to_30_s_and_success_ends_it)
{
    fail_requests("r0");
    for (const auto expected : {1s, 2s, 4s, 8s, 16s, 30s, 30s})
    {
        m_clock.advance(expected - 1ms);
        EXPECT_TRUE(m_tracker.snapshot("r0").is_ejected);
        m_clock.advance(1ms);
        EXPECT_EQ(choose(), "r0");
        EXPECT_TRUE(m_tracker.begin("r0"));
        EXPECT_EQ(choose(), "r1") << "a second request must not join the probe";
        m_tracker.finish("r0", error_kind::timeout, 5ms);
    }
    m_clock.advance(30s);
    send_request("r0", error_kind::none);
    EXPECT_FALSE(m_tracker.snapshot("r0").is_ejected);
    EXPECT_FALSE(m_tracker.snapshot("r0").is_probe_due);
}

// Guards against full load on a replica that has just returned from ejection.
TEST_F(replica_test, replica_returned_from_ejection_receives_a_rising_share)
{
    fail_requests("r0");
    m_clock.advance(1s);
    send_request("r0", error_kind::none);
    const int early = count_chosen("r0");
    m_clock.advance(5s);
    const int later = count_chosen("r0");
    m_clock.advance(5s);
    const int full = count_chosen("r0");
    EXPECT_LT(early, 100);
    EXPECT_GT(early, 0);
    EXPECT_GT(later, 2 * early);
    EXPECT_GT(full, later + 100);
}

// Guards against full load on a replica added to a running service, and against a warm-up of all
// replicas at the first start.
TEST_F(replica_test, replica_added_later_warms_up_and_the_first_ones_do_not)
{
    EXPECT_EQ(m_tracker.snapshot("r0").warm_up_share, 1);
    m_shard.replicas.push_back({"r2", {}, "dc-1", 2, 25});
    adopt({});
    EXPECT_LT(m_tracker.snapshot("r2").warm_up_share, 0.2);
}

// Guards against wrong load reports: they must not override the process's own count of requests.
TEST_F(replica_test, load_report_breaks_ties_only_and_expires)
{
    m_tracker.record_report("r0", {10, 10, false});
    EXPECT_EQ(count_chosen("r0"), 0);
    m_tracker.begin("r1");
    EXPECT_EQ(count_chosen("r0"), 1000);
    m_tracker.finish("r1", error_kind::none, 5ms);
    m_clock.advance(3s);
    EXPECT_GT(count_chosen("r0"), 300);
}

// Guards against a preference for the VM's own data centre although its replica is more loaded or
// much slower.
TEST_F(replica_test, own_data_centre_is_preferred_only_at_equal_load_and_similar_latency)
{
    m_shard.replicas[1].data_centre = "dc-2";
    EXPECT_EQ(count_chosen("r0"), 1000);
    m_tracker.begin("r0");
    EXPECT_EQ(count_chosen("r1"), 1000);
    m_tracker.finish("r0", error_kind::none, 50ms);
    send_request("r1", error_kind::none, 5ms);
    EXPECT_EQ(count_chosen("r1"), 1000);
}

// Guards against a replica that is never tried again because it was slow once.
TEST_F(replica_test, smoothed_latency_of_an_unused_replica_decays)
{
    send_request("r0", error_kind::none, 100ms);
    m_clock.advance(5s);
    EXPECT_NEAR(std::chrono::duration<double>(*m_tracker.snapshot("r0").latency).count(), 0.05,
                1e-3);
}

// Guards against ejecting all replicas of a shard, and against choosing a replica that was tried,
// is draining, or is ejected while at most half are.
RC_GTEST_FIXTURE_PROP(replica_test, choice_is_usable_and_at_most_half_are_ejected, ())
{
    m_shard = make_shard(*rc::gen::inRange<std::size_t>(1, 8));
    std::set<std::string> draining;
    std::vector<std::string> tried;
    std::size_t ejected = 0;
    std::size_t serving = 0;
    bool has_untried = false;
    for (const auto& replica : m_shard.replicas)
    {
        const bool is_draining = *rc::gen::arbitrary<bool>();
        const bool is_tried = *rc::gen::arbitrary<bool>();
        if (is_draining)
            draining.insert(replica.name);
        if (is_tried)
            tried.push_back(replica.name);
        serving += is_draining ? 0 : 1;
    }
    adopt(draining);
    for (const auto& replica : m_shard.replicas)
        if (*rc::gen::arbitrary<bool>())
        {
            fail_requests(replica.name);
            ejected += draining.contains(replica.name) ? 0 : 1;
        }
        else
            has_untried |= !draining.contains(replica.name) &&
                           std::find(tried.begin(), tried.end(), replica.name) == tried.end();
    const std::string chosen = choose(tried);
    RC_ASSERT(!draining.contains(chosen));
    RC_ASSERT(std::find(tried.begin(), tried.end(), chosen) == tried.end());
    if (has_untried)
        RC_ASSERT(!chosen.empty());
    if (!chosen.empty() && ejected <= serving / 2)
        RC_ASSERT(!m_tracker.snapshot(chosen).is_ejected);
    if (chosen.empty())
        RC_ASSERT(!m_reason.message.empty());
    tried.clear();
    RC_ASSERT(choose().empty() == (serving == 0));
}

// Guards against races in the count of requests in flight; run under the thread sanitizer.
TEST_F(replica_test, concurrent_requests_leave_none_in_flight)
{
    std::vector<std::thread> threads;
    for (std::uint64_t seed = 0; seed < 4; ++seed)
        threads.emplace_back(
            [this, seed]
            {
                base::seeded_random random(seed);
                base::error reason;
                for (int step = 0; step < 1000; ++step)
                {
                    const auto* replica = m_selector.choose(m_shard, {}, random, reason);
                    if (step % 100 == 0)
                        m_tracker.record_report("r0", {1, 0, false});
                    m_tracker.begin(replica->name);
                    m_tracker.finish(replica->name, error_kind::none, 1ms);
                }
            });
    for (int step = 0; step < 100; ++step)
        adopt(step % 2 == 0 ? std::set<std::string>{"r0"} : std::set<std::string>{});
    for (std::thread& thread : threads)
        thread.join();
    EXPECT_EQ(m_tracker.snapshot("r0").in_flight, 0U);
    EXPECT_EQ(m_tracker.snapshot("r1").in_flight, 0U);
}

} // namespace ospreystair::routing
