// Health and latency estimates of replicas, the directory during outages of the registry, and the
// detection of network partitions.

#include <chrono>
#include <set>

#include <gtest/gtest.h>

#include "forwarding/isolation_monitor.hpp"
#include "forwarding/replica_directory.hpp"

namespace ospreystair::forwarding
{
namespace
{

using namespace std::chrono_literals;

registration make_registration(const std::string& id, const std::string& service)
{
    registration result;
    result.id = id;
    result.service = service;
    result.address = "127.0.0.1:1";
    result.data_centre = "a";
    result.slots = 2;
    result.started_at = 1000ms;
    return result;
}

class replica_test : public testing::Test
{
protected:
    void reply_after(base::duration latency)
    {
        const base::time_point sent_at = m_now;
        m_replica.record_sent(sent_at);
        m_now += latency;
        m_replica.record_reply(sent_at, m_now, m_baseline, false);
    }

    const latency_baseline m_baseline{10ms, 20ms};
    base::time_point m_now{1000s};
    replica m_replica{make_registration("r", "s"), m_now};
};

// Guards against new requests to a paused replica: one overdue reply makes it suspect.
TEST_F(replica_test, overdue_reply_makes_it_suspect_until_it_answers)
{
    const base::time_point sent_at = m_now;
    m_replica.record_sent(sent_at);
    EXPECT_FALSE(m_replica.is_suspect(m_now + 19ms, m_baseline));
    EXPECT_TRUE(m_replica.is_suspect(m_now + 21ms, m_baseline));
    EXPECT_FALSE(m_replica.is_down(m_now + 150ms));
    m_now += 150ms;
    m_replica.record_reply(sent_at, m_now, m_baseline, false);
    EXPECT_FALSE(m_replica.is_suspect(m_now, m_baseline));
}

// Guards against waiting for a shard whose replicas are silent: one that is silent for longer than
// the longest pause is down.
TEST_F(replica_test, silent_replica_is_down_until_probed_after_back_off)
{
    const base::time_point sent_at = m_now;
    m_replica.record_sent(sent_at);
    m_now += replica::max_pause + 1ms;
    EXPECT_TRUE(m_replica.is_down(m_now));
    m_replica.record_abandoned(sent_at, m_now, m_baseline);
    EXPECT_TRUE(m_replica.is_down(m_now));
    m_now += 2s;
    EXPECT_FALSE(m_replica.is_down(m_now));
    // One request probes the replica; no second one may be sent before it has answered.
    m_replica.record_sent(m_now);
    EXPECT_TRUE(m_replica.is_down(m_now));
}

// Guards against a silent replica that gets its full share of requests again after the backoff:
// each of 82 VMs sends it a request every few seconds, and each of these requests is lost.
TEST_F(replica_test, silent_replica_is_avoided_for_several_seconds_and_then_tried)
{
    const base::time_point sent_at = m_now;
    m_replica.record_sent(sent_at);
    m_now += 300ms;
    m_replica.record_abandoned(sent_at, m_now, m_baseline);
    // The dispatcher chooses at random among replicas within 15% of each other.
    EXPECT_GT(m_replica.expected_time(m_now + 4s, m_baseline), m_baseline.median * 13 / 10);
    EXPECT_LT(m_replica.expected_time(m_now + 20s, m_baseline), m_baseline.median * 115 / 100);
}

// Guards against a slow replica that keeps its share of the requests, and against one that never
// gets it back.
TEST_F(replica_test, slow_replies_raise_expected_time_for_some_seconds)
{
    const base::duration before = m_replica.expected_time(m_now, m_baseline);
    for (int index = 0; index < 5; ++index)
        reply_after(100ms);
    EXPECT_GT(m_replica.expected_time(m_now, m_baseline), 3 * before);
    m_now += 15s;
    EXPECT_LT(m_replica.expected_time(m_now, m_baseline), 2 * before);
}

// Guards against preferring replicas whose fast replies are failures.
TEST_F(replica_test, failures_raise_expected_time)
{
    const base::duration before = m_replica.expected_time(m_now, m_baseline);
    for (int index = 0; index < 5; ++index)
    {
        m_replica.record_sent(m_now);
        m_replica.record_reply(m_now, m_now, m_baseline, true);
    }
    EXPECT_GT(m_replica.expected_time(m_now, m_baseline), 2 * before);
}

// Guards against new requests to a replica that reports a long queue.
TEST_F(replica_test, reported_queue_raises_expected_time_while_recent)
{
    const base::duration before = m_replica.expected_time(m_now, m_baseline);
    load_report report;
    report.running = 2;
    report.waiting = 8;
    m_replica.record_load(report, m_now);
    EXPECT_GT(m_replica.expected_time(m_now, m_baseline), 3 * before);
    EXPECT_LT(m_replica.expected_time(m_now + 200ms, m_baseline), 2 * before);
}

class replica_directory_test : public testing::Test
{
protected:
    std::set<std::string> ids() const
    {
        std::set<std::string> result;
        for (const auto& [id, known] : m_directory.replicas())
            result.insert(id);
        return result;
    }

    const std::chrono::milliseconds m_removal_delay{2000};
    base::time_point m_now{1000s};
    std::vector<std::string> m_added;
    std::vector<std::string> m_removed;
    replica_directory m_directory{
        m_removal_delay, [this](const auto& each) { m_added.push_back(each->registry_entry().id); },
        [this](const auto& each)
        {
            m_removed.push_back(each->registry_entry().id);
        }};
    const registration m_first_entry = make_registration("one", "s");
    const registration m_second_entry = make_registration("two", "s");
};

// Guards against requests to a replica that has left while the registry works, and against losing a
// live one that the registry dropped: it stays in use as a last resort for the removal delay.
TEST_F(replica_directory_test, removed_replica_is_unconfirmed_for_removal_delay)
{
    m_directory.apply_listing({m_first_entry, m_second_entry}, m_now);
    m_directory.apply_removal("one", m_now);
    EXPECT_EQ(m_directory.next_expiry(), m_now + m_removal_delay);
    EXPECT_TRUE(m_directory.replicas().at("one")->is_unconfirmed());
    m_directory.remove_expired(m_now + m_removal_delay - 1ms);
    EXPECT_EQ(ids(), (std::set<std::string>{"one", "two"}));
    m_directory.remove_expired(m_now + m_removal_delay);
    EXPECT_EQ(ids(), std::set<std::string>{"two"});
    EXPECT_EQ(m_removed, std::vector<std::string>{"one"});
}

// Guards against a list that could not be read to its end and takes the replicas behind its end out
// of use.
TEST_F(replica_directory_test, partial_list_adds_replicas_and_removes_none)
{
    m_directory.apply_listing({m_first_entry}, m_now);
    m_directory.apply_listing({m_second_entry}, m_now, 0ms, listing_extent::partial);
    EXPECT_FALSE(m_directory.next_expiry());
    EXPECT_EQ(m_directory.replicas().size(), 2U);
    m_directory.apply_listing({m_second_entry}, m_now);
    EXPECT_TRUE(m_directory.replicas().at("one")->is_unconfirmed());
}

// Guards against requests to a replica that left some time before this VM heard of it: the removal
// delay counts from the removal.
TEST_F(replica_directory_test, removal_heard_of_late_leaves_the_rest_of_the_delay)
{
    m_directory.apply_listing({m_first_entry, m_second_entry}, m_now);
    m_directory.apply_removal("one", m_now, 1200ms);
    EXPECT_EQ(m_directory.next_expiry(), m_now + m_removal_delay - 1200ms);
    m_directory.remove_expired(m_now + m_removal_delay - 1200ms);
    EXPECT_EQ(ids(), std::set<std::string>{"two"});
    m_directory.apply_listing({}, m_now, 1h);
    EXPECT_EQ(m_directory.next_expiry(),
              m_now + m_removal_delay / replica_directory::min_delay_divisor);
}

// Guards against a removal delay that each list extends.
TEST_F(replica_directory_test, removal_delay_starts_with_first_missing_entry)
{
    m_directory.apply_listing({m_first_entry}, m_now);
    m_directory.apply_listing({}, m_now);
    m_directory.apply_listing({}, m_now + 1s);
    m_directory.remove_expired(m_now + m_removal_delay);
    EXPECT_TRUE(ids().empty());
}

// Guards against an outage of the registry that removes all replicas: live ones register again
// within two seconds of its recovery.
TEST_F(replica_directory_test, expired_entries_stay_in_use_for_reregistration_time)
{
    m_directory.apply_listing({m_first_entry, m_second_entry}, m_now);
    m_directory.record_outage();
    m_now += 5s;
    m_directory.record_recovery(m_now);
    m_directory.apply_listing({}, m_now);
    EXPECT_EQ(m_directory.replicas_of("s").size(), 2U);
    EXPECT_TRUE(m_directory.replicas_of("s").front()->is_unconfirmed());
    m_directory.apply_entry(m_second_entry, m_now + 1s);
    m_directory.remove_expired(m_now + replica_directory::reregistration_time - 1ms);
    EXPECT_EQ(m_directory.replicas_of("s").size(), 2U);
    m_directory.remove_expired(m_now + replica_directory::reregistration_time);
    EXPECT_EQ(ids(), std::set<std::string>{"two"});
    EXPECT_FALSE(m_directory.replicas_of("s").front()->is_unconfirmed());
}

// Guards against requests to a replica that left while this VM was cut off (dmb-search-grown
// scale-2, DRAIN): the removal delay must not start again when the VM is reconnected.
TEST_F(replica_directory_test, replica_that_left_during_outage_is_removed_after_return_time)
{
    replica_directory directory{4s, [](const auto&) {},
                                [](const auto&) {
                                }};
    directory.apply_listing({m_first_entry}, m_now);
    directory.record_outage();
    m_now += 12s;
    directory.record_recovery(m_now);
    directory.apply_listing({}, m_now);
    directory.remove_expired(m_now + replica_directory::reregistration_time);
    EXPECT_TRUE(directory.replicas().empty());
}

// Guards against state and connections kept from before the restart of a replica with the same id.
TEST_F(replica_directory_test, new_start_time_under_same_id_is_another_replica)
{
    m_directory.apply_listing({m_first_entry}, m_now);
    const auto before = m_directory.replicas_of("s").front();
    registration again = m_first_entry;
    again.started_at = 2000ms;
    m_directory.apply_entry(again, m_now);
    EXPECT_NE(m_directory.replicas_of("s").front(), before);
    EXPECT_FALSE(before->is_ready());
    EXPECT_EQ(m_removed, std::vector<std::string>{"one"});
}

// Guards against new requests to a draining replica.
TEST_F(replica_directory_test, draining_entry_is_not_ready_but_known)
{
    m_directory.apply_listing({m_first_entry}, m_now);
    registration leaving = m_first_entry;
    leaving.is_draining = true;
    m_directory.apply_entry(leaving, m_now);
    EXPECT_FALSE(m_directory.replicas_of("s").front()->is_ready());
    EXPECT_TRUE(m_removed.empty());
}

// Guards against new requests to a replica whose draining entry was lost when the registry came
// back from an older copy.
TEST_F(replica_directory_test, draining_replica_stays_so_when_an_older_entry_returns)
{
    m_directory.apply_listing({m_first_entry, m_second_entry}, m_now);
    registration leaving = m_first_entry;
    leaving.is_draining = true;
    m_directory.apply_entry(leaving, m_now);
    m_directory.record_restoration(m_now);
    m_directory.apply_listing({m_first_entry, m_second_entry}, m_now);
    EXPECT_FALSE(m_directory.replicas().at("one")->is_ready());
    EXPECT_TRUE(m_directory.replicas().at("two")->is_ready());
    m_directory.apply_removal("one", m_now);
    m_directory.remove_expired(m_now + m_removal_delay);
    m_directory.record_restoration(m_now + m_removal_delay);
    m_directory.apply_listing({m_first_entry, m_second_entry}, m_now + m_removal_delay);
    m_directory.remove_expired(m_now + 60s);
    EXPECT_FALSE(m_directory.replicas().contains("one"));
}

// Guards against the loss of all replicas whose entries are newer than the copy from which the
// registry came back.
TEST_F(replica_directory_test, entries_missing_in_an_older_copy_stay_in_use_for_reregistration_time)
{
    m_directory.set_removal_delay(100ms);
    m_directory.apply_listing({m_first_entry, m_second_entry}, m_now);
    m_directory.record_restoration(m_now);
    m_directory.apply_listing({}, m_now);
    m_directory.remove_expired(m_now + replica_directory::reregistration_time - 1ms);
    EXPECT_EQ(m_directory.replicas().size(), 2U);
    m_directory.apply_entry(m_first_entry, m_now);
    m_directory.remove_expired(m_now + replica_directory::reregistration_time);
    EXPECT_TRUE(m_directory.replicas().contains("one"));
    EXPECT_FALSE(m_directory.replicas().contains("two"));
}

// Guards against requests to a replica that is gone, because an older copy of the registry lists it
// again, and against a live one that stays unused.
TEST_F(replica_directory_test, removed_replica_in_an_older_copy_is_used_when_its_entry_stays)
{
    m_directory.apply_listing({m_first_entry, m_second_entry}, m_now);
    m_directory.apply_removal("one", m_now);
    m_directory.apply_removal("two", m_now);
    m_directory.remove_expired(m_now + m_removal_delay);
    m_now += m_removal_delay;
    m_directory.record_restoration(m_now);
    m_directory.apply_listing({m_first_entry, m_second_entry}, m_now);
    EXPECT_TRUE(m_directory.replicas().empty());
    EXPECT_EQ(m_directory.next_expiry(), m_now + replica_directory::reappearance_delay);
    m_directory.apply_removal("two", m_now);
    m_directory.remove_expired(m_now + replica_directory::reappearance_delay);
    EXPECT_TRUE(m_directory.replicas().contains("one"));
    EXPECT_FALSE(m_directory.replicas().contains("two"));
}

// Guards against a removal that is forgotten because an older copy still has the entry.
TEST_F(replica_directory_test, removal_before_a_restoration_still_counts)
{
    m_directory.apply_listing({m_first_entry, m_second_entry}, m_now);
    m_directory.apply_removal("one", m_now);
    m_directory.record_restoration(m_now);
    m_directory.apply_listing({m_first_entry, m_second_entry}, m_now);
    m_directory.remove_expired(m_now + m_removal_delay);
    EXPECT_FALSE(m_directory.replicas().contains("one"));
    EXPECT_TRUE(m_directory.replicas().contains("two"));
}

// Guards against a replica that stays listed under its old service after its entry names another.
TEST_F(replica_directory_test, entry_that_moves_to_other_service_leaves_old_one)
{
    m_directory.apply_listing({m_first_entry}, m_now);
    registration moved = m_first_entry;
    moved.service = "t";
    m_directory.apply_entry(moved, m_now);
    EXPECT_TRUE(m_directory.replicas_of("s").empty());
    EXPECT_EQ(m_directory.replicas_of("t").size(), 1U);
}

class isolation_monitor_test : public testing::Test
{
protected:
    isolation_monitor_test()
    {
        std::vector<registration> listing;
        for (int index = 0; index < 6; ++index)
        {
            registration entry = make_registration("r" + std::to_string(index), "s");
            entry.data_centre = index < 2 ? "a" : "b";
            listing.push_back(entry);
        }
        m_directory.apply_listing(listing, m_now);
        m_now += 5s;
    }

    void disconnect(const std::string& id)
    {
        m_directory.replicas().at(id)->record_connect_failure(m_now);
    }

    bool is_isolated() { return m_monitor.update(m_directory, "a", m_now); }

    base::time_point m_now{1000s};
    replica_directory m_directory{2s, [](const auto&) {},
                                  [](const auto&) {
                                  }};
    isolation_monitor m_monitor;
};

// Guards against a VM cut off by a partition that keeps accepting requests which it must refuse.
TEST_F(isolation_monitor_test, refusals_without_remote_replicas_mean_isolation_until_next_contact)
{
    for (const char* id : {"r2", "r3", "r4", "r5"})
        disconnect(id);
    EXPECT_FALSE(is_isolated());
    m_monitor.record_unservable(m_now);
    EXPECT_TRUE(is_isolated());
    m_now += 10s;
    EXPECT_TRUE(is_isolated());
    m_directory.replicas().at("r3")->record_connected(m_now);
    EXPECT_FALSE(is_isolated());
}

// Guards against all VMs leaving the load-balancing rotation because some replicas crashed.
TEST_F(isolation_monitor_test, refusals_with_recent_remote_contact_mean_no_isolation)
{
    for (const char* id : {"r2", "r3", "r4"})
        disconnect(id);
    m_directory.replicas().at("r5")->record_connected(m_now - 500ms);
    m_monitor.record_unservable(m_now);
    EXPECT_FALSE(is_isolated());
}

// Guards against detecting a partition from a few lost replicas.
TEST_F(isolation_monitor_test, two_lost_replicas_mean_no_isolation)
{
    disconnect("r2");
    disconnect("r3");
    m_monitor.record_unservable(m_now);
    EXPECT_FALSE(is_isolated());
}

} // namespace
} // namespace ospreystair::forwarding
