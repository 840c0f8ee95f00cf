// Where queries over many shards are gathered.

#include <map>

#include <gtest/gtest.h>

#include "forwarding/gather_placement.hpp"

namespace ospreystair::forwarding
{
namespace
{

using namespace std::chrono_literals;

constexpr std::size_t parts = 100;

// A small VM in a data centre with two large ones, and a large one elsewhere.
class gather_placement_test : public testing::Test
{
protected:
    gather_placement_test() { placement.adopt(own, vms); }

    std::optional<std::string> choose() const { return placement.choose(parts, now); }

    const gatherer own{"small-1", "a", 0.1};
    const std::vector<gatherer> vms{own,
                                    {"small-2", "a", 0.1},
                                    {"large-1", "a", 0.5},
                                    {"large-2", "a", 0.5},
                                    {"large-3", "b", 0.5}};
    gather_placement placement;
    base::time_point now{1h};
};

// Guards against queries that take longer to process here than callers wait.
TEST_F(gather_placement_test, small_vm_hands_queries_over_to_large_ones_in_turn)
{
    std::map<std::string, int> sent;
    for (int count = 0; count < 10; ++count)
    {
        const auto chosen = choose();
        ASSERT_TRUE(chosen);
        placement.record_sent(*chosen);
        ++sent[*chosen];
    }
    EXPECT_EQ(sent["large-1"], 5);
    EXPECT_EQ(sent["large-2"], 5);
}

// Guards against handovers that gain nothing.
TEST_F(gather_placement_test, equal_vms_and_small_queries_are_gathered_where_they_arrive)
{
    EXPECT_FALSE(placement.choose(4, now));
    placement.adopt({"large-1", "a", 0.5}, vms);
    EXPECT_FALSE(choose());
    placement.adopt({"old", "a", 0}, vms);
    EXPECT_FALSE(choose());
}

// Guards against gatherers that get more queries than they can process.
TEST_F(gather_placement_test, queries_stay_here_while_all_gatherers_are_busier)
{
    for (const char* vm : {"large-1", "large-2"})
    {
        placement.record_sent(vm);
        placement.record_answer(vm, 40, now);
    }
    EXPECT_FALSE(choose());
    now += gather_placement::load_lifetime;
    EXPECT_TRUE(choose());
}

// Guards against callers that wait behind queries of their own VM although others have time.
TEST_F(gather_placement_test, work_here_makes_busy_gatherers_worth_asking)
{
    for (const char* vm : {"large-1", "large-2"})
    {
        placement.record_sent(vm);
        placement.record_answer(vm, 24, now);
    }
    EXPECT_FALSE(choose());
    for (int count = 0; count < 8; ++count)
        placement.record_started_here();
    EXPECT_TRUE(choose());
}

// Guards against queries that are sent to a VM that is gone, and against one that is never asked
// again.
TEST_F(gather_placement_test, lost_gatherer_is_left_out_until_it_answers_a_question)
{
    placement.record_sent("large-1");
    placement.record_loss("large-1", now);
    EXPECT_EQ(choose(), "large-2");
    placement.record_sent("large-2");
    placement.record_refusal("large-2", now);
    EXPECT_FALSE(choose());
    EXPECT_FALSE(placement.start_probe(now));
    now += gather_placement::initial_loss_pause;
    placement.record_sent("large-2");
    EXPECT_EQ(choose(), "large-2");
    EXPECT_EQ(placement.start_probe(now), "large-1");
    EXPECT_FALSE(placement.start_probe(now));
    placement.record_probed("large-1", false, now);
    now += gather_placement::initial_loss_pause;
    EXPECT_FALSE(placement.start_probe(now));
    now += gather_placement::initial_loss_pause;
    EXPECT_EQ(placement.start_probe(now), "large-1");
    placement.record_probed("large-1", true, now);
    EXPECT_EQ(choose(), "large-1");
}

// Guards against a list of VMs that makes a running handover count for ever.
TEST_F(gather_placement_test, new_list_keeps_what_is_known_and_forgets_vms_that_left)
{
    placement.record_sent("large-1");
    placement.record_loss("large-1", now);
    placement.adopt(own, {own, {"large-1", "a", 0.5}});
    EXPECT_FALSE(choose());
    placement.record_answer("large-2", 3, now);
    EXPECT_EQ(placement.candidate_count(), 1U);
}

// Guards against VMs that disagree on who gathers, and against gatherers in a fleet of equal VMs.
TEST(find_gatherers_test, vms_with_twice_the_share_of_the_smallest_of_their_data_centre_gather)
{
    EXPECT_EQ(
        find_gatherers({{"a1", "a", 0.1}, {"a2", "a", 0.5}, {"b1", "b", 0.5}, {"b2", "b", 0.5}}),
        std::set<std::string>{"a2"});
    EXPECT_TRUE(find_gatherers({{"a1", "a", 0.3}, {"a2", "a", 0.5}}).empty());
    EXPECT_TRUE(find_gatherers({{"a1", "a", 0}, {"a2", "a", 0.5}}).empty());
}

} // namespace
} // namespace ospreystair::forwarding
