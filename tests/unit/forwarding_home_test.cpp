// Home regions: where the requests of a route and of a team may be served.

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <gtest/gtest.h>

#include "forwarding/home_data_centres.hpp"
#include "tests/unit/dispatcher_fixture.hpp"

namespace ospreystair::forwarding
{
namespace
{

using names = std::vector<std::string>;

// Guards against a team's limit that is ignored because the route has one too.
TEST(home_data_centres_test, both_lists_bind)
{
    const std::map<std::string, std::string> regions{{"a1", "a"}, {"b1", "b"}, {"b2", "b"}};
    EXPECT_TRUE(home_data_centres(regions, {}, {}).permits("unknown"));
    EXPECT_FALSE(home_data_centres(regions, {"a"}, {}).permits("unknown"));
    const home_data_centres both(regions, {"a", "b"}, {"b"});
    EXPECT_FALSE(both.permits("a1"));
    EXPECT_TRUE(both.permits("b1"));
    EXPECT_TRUE(both.permits("b2"));
    EXPECT_FALSE(home_data_centres(regions, {"a"}, {"b"}).permits("b1"));
}

class home_test : public dispatcher_test
{
protected:
    home_test()
    {
        m_dispatcher.set_regions({{"a", "near"}, {"b", "far"}});
        std::vector<registration> listing;
        for (const char* data_centre : {"a", "b"})
        {
            registration entry;
            entry.id = data_centre;
            entry.service = "a";
            entry.address = "127.0.0.1:1";
            entry.data_centre = data_centre;
            listing.push_back(entry);
        }
        m_directory.apply_listing(listing, m_clock.now());
    }

    std::size_t sent_to(const std::string& id) const
    {
        return static_cast<std::size_t>(
            std::count(m_transport.sent.begin(), m_transport.sent.end(), id));
    }
};

// Guards against a first attempt, a retry or a hedge that leaves the home region.
TEST_F(home_test, attempts_stay_in_home_region_of_route_and_team)
{
    route rule = single(true);
    rule.home_regions = {"far"};
    adopt(rule);
    m_transport.behaviours["b"] = {.latency = 300ms, .refusal_share = 0.3};
    for (int count = 0; count < 20; ++count)
        submit_and_wait();
    EXPECT_EQ(sent_to("a"), 0U);
    EXPECT_GT(sent_to("b"), 0U);
    teams::team team;
    team.home_regions = {"near"};
    m_team = std::make_shared<const teams::team>(team);
    adopt(single(true));
    m_transport.sent.clear();
    m_transport.behaviours["a"].outcome = attempt_outcome::failed;
    submit_and_wait();
    EXPECT_GT(sent_to("a"), 0U);
    EXPECT_EQ(sent_to("b"), 0U);
}

// Guards against a caller that waits, or is served elsewhere, when nobody at home can serve.
TEST_F(home_test, request_is_refused_at_once_without_replicas_at_home)
{
    route rule = single(true);
    rule.home_regions = {"nowhere"};
    adopt(rule);
    submit();
    ASSERT_TRUE(m_answer);
    EXPECT_EQ(m_answer->kind, answer_kind::not_run);
    EXPECT_FALSE(m_answer->is_out_of_reach);
    EXPECT_TRUE(m_transport.sent.empty());
}

} // namespace
} // namespace ospreystair::forwarding
