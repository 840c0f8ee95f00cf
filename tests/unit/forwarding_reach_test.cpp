// Detection that a VM reaches no replica, and the choice of another VM for its requests.

#include <chrono>
#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "forwarding/peer_selector.hpp"
#include "forwarding/reach_monitor.hpp"

namespace ospreystair::forwarding
{
namespace
{

using namespace std::chrono_literals;

class reach_monitor_test : public testing::Test
{
protected:
    reach_monitor_test()
    {
        std::vector<registration> listing;
        for (const char* id : {"a1", "a2", "b1", "b2"})
        {
            registration entry;
            entry.id = id;
            entry.service = std::string(id, 1);
            listing.push_back(entry);
        }
        m_directory.apply_listing(listing, m_now);
    }

    replica& known(const std::string& id) { return *m_directory.replicas().at(id); }

    void send_to_all()
    {
        for (const auto& [id, each] : m_directory.replicas())
            each->record_sent(m_now);
    }

    bool is_cut_off_after(base::duration time)
    {
        m_now += time;
        return m_monitor.update(m_directory, m_now);
    }

    base::time_point m_now = base::time_point{} + 100s;
    replica_directory m_directory{2s, [](const auto&) {},
                                  [](const auto&) {
                                  }};
    reach_monitor m_monitor{m_now};
};

// Guards against a VM that goes on using replicas of which none answers, and against one that takes
// a new connection for the end of the cut although something on the way has accepted it.
TEST_F(reach_monitor_test, vm_whose_replicas_are_all_silent_is_cut_off_until_the_next_reply)
{
    send_to_all();
    EXPECT_FALSE(is_cut_off_after(300ms));
    EXPECT_TRUE(is_cut_off_after(150ms));
    known("b1").record_connected(m_now + 1ms);
    EXPECT_TRUE(is_cut_off_after(2ms));
    m_monitor.record_reply(m_now);
    EXPECT_FALSE(is_cut_off_after(2ms));
}

// Replays slow replicas of a few shards at a VM with few requests: most parts are answered, the
// others are silent for long, and no other request comes. Guards against requests that are offered
// to other VMs, and so run more often than their route allows, although the replicas are only slow.
TEST_F(reach_monitor_test, slow_replicas_beside_answering_ones_do_not_cut_a_vm_off)
{
    send_to_all();
    m_now += 20ms;
    m_monitor.record_reply(m_now);
    EXPECT_FALSE(is_cut_off_after(1s));
    // Their attempts are given up, which is no news about the time after the reply.
    for (const char* id : {"a1", "a2", "b1"})
        known(id).record_abandoned(m_now - 1020ms, m_now, {});
    EXPECT_FALSE(is_cut_off_after(1s));
}

// Guards against connections that are reset or refused at once, without any silence.
TEST_F(reach_monitor_test, vm_whose_connections_all_fail_is_cut_off)
{
    m_now += 500ms;
    for (const char* id : {"a1", "a2", "b1"})
        known(id).record_rejection(m_now);
    EXPECT_TRUE(is_cut_off_after(1ms));
}

// Guards against a VM that hands its requests away because it had none for a while, or because it
// has just started and some replicas are down.
TEST_F(reach_monitor_test, vm_without_requests_is_not_cut_off)
{
    EXPECT_FALSE(is_cut_off_after(60s));
    known("a1").record_connect_failure(m_now);
    known("a2").record_connected(m_now);
    known("b1").record_connected(m_now);
    EXPECT_FALSE(is_cut_off_after(1s));
}

TEST_F(reach_monitor_test, one_answering_replica_is_enough)
{
    send_to_all();
    m_now += 350ms;
    m_monitor.record_reply(m_now);
    EXPECT_FALSE(is_cut_off_after(300ms));
}

// Guards against a VM that never finds out that the cut has ended, and against one that delays many
// requests with its trials.
TEST_F(reach_monitor_test, replicas_are_tried_after_a_new_connection_or_a_while)
{
    send_to_all();
    ASSERT_TRUE(is_cut_off_after(450ms));
    const auto may_try_after = [this](base::duration time)
    {
        m_now += time;
        return m_monitor.start_trial(m_directory, m_now);
    };
    EXPECT_FALSE(may_try_after(1s));
    known("a1").record_connected(m_now);
    EXPECT_TRUE(may_try_after(1ms));
    EXPECT_FALSE(may_try_after(1s));
    EXPECT_TRUE(may_try_after(1s));
    EXPECT_FALSE(may_try_after(1ms));
}

class peer_selector_test : public testing::Test
{
protected:
    peer_selector_test() { m_selector.adopt({"a", "b", "c"}); }

    void report(const std::string& peer, bool can_serve, base::duration contact_age)
    {
        m_selector.record_report("r", peer, {can_serve, contact_age}, m_now);
    }

    std::optional<std::string> choose(std::optional<base::time_point> cut_off_since = {},
                                      const std::vector<std::string>& excluded = {})
    {
        return m_selector.choose("r", cut_off_since, excluded, m_now);
    }

    base::time_point m_now = base::time_point{} + 100s;
    base::seeded_random m_random{9};
    peer_selector<base::seeded_random> m_selector{m_random};
};

// Guards against requests for a VM that has lost its replicas too and has not noticed it yet.
TEST_F(peer_selector_test, vm_with_a_later_reply_is_preferred_after_a_complete_loss)
{
    report("a", true, 2s);
    report("b", false, 10ms);
    EXPECT_EQ(choose(), "a");
    report("c", true, 300ms);
    for (int index = 0; index < 20; ++index)
        EXPECT_EQ(choose(m_now - 2s), "c");
}

// Guards against many requests that hang at a VM which is cut off too, and against a quiet fleet in
// which no VM has had a reply since the loss and all requests are refused.
TEST_F(peer_selector_test, vm_without_a_later_reply_is_tried_with_one_request_at_a_time)
{
    report("a", true, 2s);
    report("b", true, 3s);
    const base::time_point lost_at = m_now - 2s;
    EXPECT_EQ(choose(lost_at), "a");
    EXPECT_EQ(choose(lost_at), "b");
    EXPECT_FALSE(choose(lost_at));
    m_now += decltype(m_selector)::trial_interval;
    EXPECT_EQ(choose(lost_at), "a");
    m_selector.record_served("r", "a", m_now);
    for (int index = 0; index < 20; ++index)
        EXPECT_EQ(choose(lost_at), "a");
}

// Guards against reports that are relied on long after they were made.
TEST_F(peer_selector_test, reports_expire_and_failures_remove_them)
{
    report("a", true, 0ms);
    m_now += decltype(m_selector)::report_lifetime;
    EXPECT_FALSE(choose());
    report("a", true, 0ms);
    EXPECT_EQ(choose(), "a");
    m_selector.record_failure("r", "a");
    EXPECT_FALSE(choose());
}

// Guards against callers that wait for answers although no VM can serve, as in a data centre that
// is cut off, against questions at the pace of the requests, and against requests that are refused
// for long after another VM has become able to serve them.
TEST_F(peer_selector_test, fruitless_rounds_come_twice_a_second_and_are_not_waited_for)
{
    std::size_t rounds = 0;
    for (const base::time_point end = m_now + 20s; m_now < end; m_now += 10ms)
    {
        if (m_selector.start_round("r", m_now).empty())
            continue;
        ++rounds;
        m_selector.end_round("r", m_now);
        EXPECT_FALSE(m_selector.is_worth_waiting("r"));
    }
    EXPECT_LE(rounds, 41U);
    EXPECT_GE(rounds, 35U);
    report("a", true, 0ms);
    EXPECT_TRUE(m_selector.is_worth_waiting("r"));
}

// Replays the loss of a share of a large fleet's links: each of its VMs has had its last reply at a
// random time, and those that are cut off have none since. Guards against a choice of a VM that is
// cut off while another one is known to be connected, and against fleets in which none is found.
RC_GTEST_PROP(peer_selector_fleet_test, cut_off_vm_finds_a_connected_one_and_stays_with_it, ())
{
    const auto vm_count = *rc::gen::inRange<std::size_t>(3, 411);
    const auto cut_percent = *rc::gen::inRange<std::uint64_t>(0, 80);
    base::seeded_random random(*rc::gen::arbitrary<std::uint64_t>());
    peer_selector<base::seeded_random> selector(random);
    std::vector<std::string> names;
    std::set<std::string> cut_off;
    for (std::size_t vm = 0; vm < vm_count; ++vm)
    {
        names.push_back("vm" + std::to_string(vm));
        if (random.below(100) < cut_percent && vm > 0)
            cut_off.insert(names.back());
    }
    selector.adopt(names);
    const base::time_point cut_at = base::time_point{} + 100s;
    int served = 0;
    int lost = 0;
    for (base::time_point now = cut_at + 500ms; now < cut_at + 30s; now += 50ms)
    {
        for (const std::string& peer : selector.start_round("r", now))
        {
            const std::chrono::milliseconds idle{random.below(4'000)};
            const base::time_point contact =
                cut_off.contains(peer) ? std::min(cut_at, now - idle) : now - idle;
            selector.record_report("r", peer, {true, now - contact}, now);
        }
        const auto chosen = selector.choose("r", cut_at, {}, now);
        if (!chosen)
            continue;
        if (cut_off.contains(*chosen))
        {
            ++lost;
            selector.record_failure("r", *chosen);
            RC_ASSERT(now < cut_at + 10s);
        }
        else
            ++served;
    }
    RC_ASSERT(served > 400);
    RC_ASSERT(lost < 40);
}

} // namespace
} // namespace ospreystair::forwarding
