// Teams that are counted under their own names.

#include <gtest/gtest.h>

#include "teams/largest_teams.hpp"

namespace ospreystair::teams
{
namespace
{

// Guards against a metric for each of thousands of teams, and against a large one that is not seen.
TEST(largest_teams_test, only_teams_with_a_large_share_are_named)
{
    largest_teams subject;
    std::set<std::string> named;
    for (int index = 0; index < 20'000; ++index)
    {
        const std::string team = index % 10 == 0 ? "large" : "small" + std::to_string(index % 997);
        if (subject.record(team))
            named.insert(team);
    }
    EXPECT_EQ(named, std::set<std::string>{"large"});
}

// Guards against a team that becomes large late and is never seen.
TEST(largest_teams_test, team_that_becomes_large_is_named_from_then_on)
{
    largest_teams subject;
    for (int index = 0; index < 5'000; ++index)
        EXPECT_FALSE(subject.record("small" + std::to_string(index % 500)));
    for (int index = 0; index < 1'000; ++index)
    {
        subject.record("hot");
        subject.record("small" + std::to_string(index % 500));
    }
    for (int index = 0; index < 5'000; ++index)
        subject.record("small" + std::to_string(index % 500));
    EXPECT_TRUE(subject.record("hot"));
}

// Guards against metrics without bound while teams take turns at being large.
TEST(largest_teams_test, number_of_names_is_bounded)
{
    largest_teams subject;
    std::set<std::string> named;
    for (int team = 0; team < 500; ++team)
        for (int index = 0; index < 200; ++index)
            if (subject.record("team" + std::to_string(team)))
                named.insert("team" + std::to_string(team));
    EXPECT_EQ(named.size(), largest_teams::max_named);
}

} // namespace
} // namespace ospreystair::teams
