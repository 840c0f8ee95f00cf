// Which data centres are evacuated, and what that means for requests.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "forwarding/evacuation_register.hpp"
#include "tests/unit/dispatcher_fixture.hpp"

namespace ospreystair::forwarding
{
namespace
{

const base::time_point start = base::time_point{} + 100s;

// Guards against a take-back that is heard first and then undone by the request that it ends.
TEST(evacuation_register_test, announcement_older_than_take_back_is_ignored)
{
    evacuation_register known;
    known.apply_change("b", false, {1, 7}, start);
    EXPECT_TRUE(known.apply_change("b", true, {1, 6}, start).is_empty());
    EXPECT_FALSE(known.is_evacuated("b"));
    EXPECT_EQ(known.apply_change("b", true, {1, 8}, start).started, std::vector<std::string>{"b"});
}

// Guards against a source that lags behind and takes an evacuation back, or brings one back.
TEST(evacuation_register_test, older_list_changes_nothing)
{
    evacuation_register known;
    known.apply_change("b", true, {1, 6}, start);
    EXPECT_TRUE(known.apply_listing({}, {1, 5}, start).is_empty());
    EXPECT_TRUE(known.is_evacuated("b"));
    known.apply_change("b", false, {1, 9}, start);
    EXPECT_TRUE(known.apply_listing({"b"}, {1, 8}, start).is_empty());
    EXPECT_FALSE(known.is_evacuated("b"));
}

// Guards against an evacuation of a lost history that never ends, since its revision is higher.
TEST(evacuation_register_test, list_of_later_era_replaces_what_is_known)
{
    evacuation_register known;
    known.apply_listing({"b"}, {1, 90}, start);
    const auto result = known.apply_listing({"c"}, {2, 40}, start + 1s);
    EXPECT_EQ(result.started, std::vector<std::string>{"c"});
    EXPECT_EQ(result.ended, std::vector<std::string>{"b"});
    EXPECT_TRUE(known.apply_change("b", true, {1, 95}, start).is_empty());
}

struct history_entry
{
    change_version version;
    std::string data_centre;
    bool is_evacuated = false;
};

// A history of two eras, of which the second begins at an older revision of the first.
std::vector<history_entry> make_history()
{
    std::vector<history_entry> result;
    const auto length = *rc::gen::inRange<std::uint64_t>(1, 12);
    const auto second_start = *rc::gen::inRange<std::uint64_t>(1, length + 1);
    const auto add = [&result](std::uint64_t era, std::uint64_t revision)
    {
        result.push_back({{era, revision},
                          *rc::gen::elementOf(std::vector<std::string>{"a", "b", "c"}),
                          *rc::gen::arbitrary<bool>()});
    };
    for (std::uint64_t revision = 1; revision <= length; ++revision)
        add(1, revision);
    for (std::uint64_t revision = second_start; revision < second_start + length; ++revision)
        add(2, revision);
    return result;
}

// Guards against an order of announcements, take-backs, lists, stale copies and eras after which a
// VM does not hold what the newest of them says.
RC_GTEST_PROP(evacuation_register_test, newest_statement_decides_in_any_order, ())
{
    const std::vector<history_entry> history = make_history();
    evacuation_register known;
    // The newest statement about each data centre so far.
    std::map<std::string, std::pair<change_version, bool>> model;
    const auto state = [&model](const std::string& data_centre, change_version version, bool value)
    {
        auto& newest = model[data_centre];
        if (version >= newest.first)
            newest = {version, value};
    };
    const auto deliveries = *rc::gen::inRange(1, 40);
    for (int count = 0; count < deliveries; ++count)
    {
        const history_entry entry = *rc::gen::elementOf(history);
        if (*rc::gen::arbitrary<bool>())
        {
            known.apply_change(entry.data_centre, entry.is_evacuated, entry.version, start);
            state(entry.data_centre, entry.version, entry.is_evacuated);
        }
        else
        {
            std::map<std::string, bool> listed{{"a", false}, {"b", false}, {"c", false}};
            for (const history_entry& each : history)
                if (each.version.era == entry.version.era && each.version <= entry.version)
                    listed[each.data_centre] = each.is_evacuated;
            std::set<std::string> listing;
            for (const auto& [data_centre, is_evacuated] : listed)
            {
                if (is_evacuated)
                    listing.insert(data_centre);
                state(data_centre, entry.version, is_evacuated);
            }
            known.apply_listing(listing, entry.version, start);
        }
        std::set<std::string> expected;
        for (const auto& [data_centre, newest] : model)
            if (newest.second)
                expected.insert(data_centre);
        RC_ASSERT(known.data_centres() == expected);
    }
}

class evacuation_test : public dispatcher_test
{
protected:
    // One replica of each service in each of the data centres.
    void add_replicas_in(const std::vector<std::string>& data_centres,
                         const std::vector<std::string>& services)
    {
        std::vector<registration> listing;
        for (const std::string& service : services)
            for (const std::string& data_centre : data_centres)
            {
                registration entry;
                entry.id = fmt::format("{}-{}", service, data_centre);
                entry.service = service;
                entry.address = "127.0.0.1:1";
                entry.data_centre = data_centre;
                entry.slots = 2;
                listing.push_back(entry);
            }
        m_directory.apply_listing(listing, m_clock.now());
    }

    bool was_sent_to(const std::string& id) const
    {
        return std::find(m_transport.sent.begin(), m_transport.sent.end(), id) !=
               m_transport.sent.end();
    }
};

// Guards against first attempts, repeats and hedges that reach a replica of an evacuated data
// centre, and against one that gets nothing more after the take-back.
TEST_F(evacuation_test, replica_gets_no_attempt_until_its_data_centre_is_taken_back)
{
    add_replicas_in({"a", "b"}, {"a"});
    adopt(single(true));
    warm_up();
    m_transport.behaviours["a-b"].latency = 400ms;
    m_directory.set_evacuated({"a"});
    for (int count = 0; count < 10; ++count)
        submit_and_wait();
    EXPECT_FALSE(was_sent_to("a-a"));
    EXPECT_TRUE(was_sent_to("a-b"));
    m_directory.set_evacuated({});
    for (int count = 0; count < 10; ++count)
        submit_and_wait();
    EXPECT_TRUE(was_sent_to("a-a"));
}

// Guards against a replica that registers during the evacuation and gets requests.
TEST_F(evacuation_test, later_replica_is_evacuated_too)
{
    add_replicas_in({"a"}, {"a"});
    adopt(single(true));
    m_directory.set_evacuated({"b"});
    add_replicas_in({"a", "b"}, {"a"});
    m_transport.behaviours["a-a"].is_silent = true;
    submit_and_wait();
    EXPECT_FALSE(was_sent_to("a-b"));
}

// Guards against a caller that waits for a service that cannot be served, and against a VM that
// takes the evacuation for a cut and hands the request to VMs which have not heard of it.
TEST_F(evacuation_test, request_without_other_replicas_is_refused_at_once)
{
    add_replicas_in({"b"}, {"a"});
    adopt(single(true));
    m_directory.set_evacuated({"b"});
    submit();
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::not_run);
    EXPECT_GT(m_answer->retry_after, 0ms);
    EXPECT_FALSE(m_answer->is_out_of_reach);
    EXPECT_EQ(m_observer.held_back, 1);
    run_for(3s);
    EXPECT_FALSE(m_dispatcher.update_reach());
    EXPECT_FALSE(m_dispatcher.update_isolation());
}

// Guards against a gathered query that waits for, or claims, the parts of an evacuated data centre.
TEST_F(evacuation_test, query_counts_shards_of_evacuated_data_centre_as_missing)
{
    add_replicas_in({"a"}, {"a", "b", "c"});
    registration entry;
    entry.id = "d-b";
    entry.service = "d";
    entry.address = "127.0.0.1:1";
    entry.data_centre = "b";
    m_directory.apply_entry(entry, m_clock.now());
    adopt(gather({"a", "b", "c", "d"}, 0.75));
    m_directory.set_evacuated({"b"});
    const answer result = submit_and_wait();
    EXPECT_EQ(result.kind, answer_kind::gathered);
    EXPECT_EQ(result.missing_parts, 1U);
    EXPECT_FALSE(was_sent_to("d-b"));
}

// Guards against a part that waited for a connection and takes the one that an evacuated replica
// frees.
TEST_F(evacuation_test, waiting_request_is_not_sent_to_evacuated_replica)
{
    add_replicas_in({"b"}, {"a"});
    adopt(single(true));
    m_transport.behaviours["a-b"] = {.latency = 20ms, .connections = 1};
    submit();
    submit();
    m_directory.set_evacuated({"b"});
    m_dispatcher.on_evacuations_changed();
    run_for(1s);
    EXPECT_EQ(m_transport.sent.size(), 1U);
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::not_run);
}

} // namespace
} // namespace ospreystair::forwarding
