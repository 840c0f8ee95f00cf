// Route tables, traffic splits, record merges and repeat budgets.

#include <chrono>
#include <set>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/random.hpp"
#include "forwarding/record_merge.hpp"
#include "forwarding/repeat_budget.hpp"
#include "forwarding/route_table.hpp"
#include "forwarding/traffic_split.hpp"

namespace ospreystair::forwarding
{
namespace
{

using namespace std::chrono_literals;

route make_route(const std::string& name, const std::string& host, const std::string& prefix)
{
    route result;
    result.name = name;
    result.host = host;
    result.path_prefix = prefix;
    result.is_idempotent = true;
    result.max_attempts = 2;
    result.timeout = 1000ms;
    result.objective = 100ms;
    result.services = {weighted_service{"s", 1}};
    return result;
}

class route_table_test : public testing::Test
{
protected:
    std::optional<route_table> create(std::vector<route> routes)
    {
        return route_table::create(7, std::move(routes), {}, {}, m_reason);
    }

    base::error m_reason;
};

// Guards against a short prefix that takes precedence over a more specific route.
TEST_F(route_table_test, longest_prefix_of_host_wins)
{
    const auto table =
        create({make_route("short", "A.example", "/a/"), make_route("long", "a.example", "/a/b/"),
                make_route("other", "b.example", "/a/b/c/")});
    ASSERT_TRUE(table);
    EXPECT_EQ(table->find_route("a.example:8080", "/a/b/c/d?x=/a/")->name, "long");
    EXPECT_EQ(table->find_route("a.EXAMPLE", "/a/c")->name, "short");
    EXPECT_EQ(table->find_route("a.example", "/c?/a/"), nullptr);
    EXPECT_EQ(table->find_route("c.example", "/a/"), nullptr);
}

// Guards against a lookup that misses a route among nested and neighbouring prefixes.
RC_GTEST_FIXTURE_PROP(route_table_test, lookup_equals_search_of_all_routes, ())
{
    const auto text = rc::gen::container<std::string>(rc::gen::element('/', 'a', 'b'));
    const auto prefixes = *rc::gen::container<std::set<std::string>>(text);
    std::vector<route> routes;
    for (const std::string& prefix : prefixes)
        routes.push_back(
            make_route(prefix, "a.example", prefix.empty() ? "/" : "/" + prefix + "/"));
    const auto table = create(std::move(routes));
    RC_ASSERT(table.has_value());
    const std::string path = "/" + *text;
    const route* longest = nullptr;
    for (const route& each : table->routes())
        if (path.starts_with(each.path_prefix) &&
            (!longest || each.path_prefix.size() > longest->path_prefix.size()))
            longest = &each;
    const bool is_same_route = table->find_route("a.example", path) == longest;
    RC_ASSERT(is_same_route);
    const bool is_found_by_name = !longest || table->find_named(longest->name) == longest;
    RC_ASSERT(is_found_by_name);
}

// Guards against a configuration that is applied in part: one invalid route rejects the whole
// table.
TEST_F(route_table_test, wrong_route_refuses_whole_table)
{
    auto wrong = make_route("wrong", "a.example", "/b/");
    wrong.shards = {"s1"};
    EXPECT_FALSE(create({make_route("right", "a.example", "/a/"), wrong}));
    EXPECT_NE(m_reason.message.find("wrong"), std::string::npos);
    EXPECT_FALSE(
        create({make_route("x", "a.example", "/a/"), make_route("y", "a.example", "/a/")}));
}

// Guards against rounding errors that require one shard more than the share.
TEST(route_test, min_parts_are_rounded_up_exactly)
{
    route gather;
    gather.shards.assign(20, "s");
    gather.min_coverage = 0.95;
    EXPECT_EQ(gather.min_parts(), 19U);
    gather.min_coverage = 0.89;
    EXPECT_EQ(gather.min_parts(), 18U);
    gather.min_coverage = 0;
    EXPECT_EQ(gather.min_parts(), 1U);
}

std::vector<weighted_service> make_weighted_services()
{
    std::vector<weighted_service> result;
    for (const unsigned weight :
         *rc::gen::container<std::vector<unsigned>>(4, rc::gen::inRange(0U, 10U)))
        result.push_back({"s", static_cast<double>(weight)});
    return result;
}

// Guards against a random distribution: each service must be within one request of its share.
RC_GTEST_PROP(traffic_split_test, any_weights_are_kept_within_one_request, (std::uint64_t seed))
{
    const std::vector<weighted_service> services = make_weighted_services();
    const double total = sum_weights(services);
    RC_PRE(total > 0);
    base::seeded_random random(seed);
    traffic_split split(services, random);
    std::vector<double> counts(services.size());
    constexpr int requests = 500;
    for (int index = 0; index < requests; ++index)
        ++counts[split.next()];
    for (std::size_t index = 0; index < services.size(); ++index)
    {
        RC_ASSERT(std::abs(counts[index] - requests * services[index].weight / total) <= 3.0);
        if (services[index].weight == 0)
            RC_ASSERT(counts[index] == 0);
    }
}

// Guards against draws that ignore the weights, and against a service of weight 0 that is drawn.
RC_GTEST_PROP(traffic_split_test, draws_follow_the_weights, (std::uint64_t seed))
{
    const std::vector<weighted_service> services = make_weighted_services();
    const double total = sum_weights(services);
    RC_PRE(total > 0);
    base::seeded_random random(seed);
    std::vector<double> counts(services.size());
    constexpr int requests = 4'000;
    for (int index = 0; index < requests; ++index)
        ++counts[draw_service(services, random)];
    for (std::size_t index = 0; index < services.size(); ++index)
    {
        // Six standard deviations of a count.
        RC_ASSERT(std::abs(counts[index] - requests * services[index].weight / total) <= 190);
        if (services[index].weight == 0)
            RC_ASSERT(counts[index] == 0);
    }
}

std::string record(char first, char last)
{
    std::string result(record_bytes, 'm');
    result.front() = first;
    result.back() = last;
    return result;
}

// Guards against signed comparison of bytes, lost duplicates, and a short remainder merged as a
// record.
TEST(record_merge_test, greatest_records_of_all_parts_come_first)
{
    const std::string one = record('a', 'z') + record('\xff', 'a') + "short remainder";
    const std::string two = record('b', 'b') + record('b', 'b') + record('a', 'a');
    EXPECT_EQ(merge_records({one, two}, 4),
              record('\xff', 'a') + record('b', 'b') + record('b', 'b') + record('a', 'z'));
    EXPECT_EQ(merge_records({}, 4), "");
    EXPECT_EQ(merge_records({one}, 0), "");
}

class repeat_budget_test : public testing::Test
{
protected:
    const repeat_limits m_limits{0.2, 50, 10'000ms};
    base::time_point m_now{1000s};
    repeat_budget m_budget;
};

// Guards against one VM that uses the slack of all VMs.
TEST_F(repeat_budget_test, slack_is_shared_by_vms)
{
    int spent = 0;
    while (m_budget.allows_repeat(m_now, m_limits, 10) && ++spent < 100)
        m_budget.record_repeat(m_now, m_limits);
    EXPECT_LE(spent, 5);
    EXPECT_GE(spent, 3);
}

// Guards against a burst of repeats across the boundary of two windows.
RC_GTEST_FIXTURE_PROP(repeat_budget_test, repeats_in_any_window_stay_within_rule, ())
{
    repeat_budget budget;
    base::time_point now{1000s};
    std::vector<base::time_point> requests;
    std::vector<base::time_point> repeats;
    const auto steps = *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 400));
    for (const int step : steps)
    {
        now += std::chrono::milliseconds{step};
        budget.record_request(now, m_limits);
        requests.push_back(now);
        for (int index = 0; index < 2 && budget.allows_repeat(now, m_limits, 1); ++index)
        {
            budget.record_repeat(now, m_limits);
            repeats.push_back(now);
        }
    }
    for (const base::time_point end : repeats)
    {
        const auto count = [&](const std::vector<base::time_point>& times, base::duration window)
        {
            return std::count_if(times.begin(), times.end(),
                                 [&](base::time_point at)
                                 { return at <= end && at > end - window; });
        };
        // The limit counts the requests of this window or of the one before it.
        RC_ASSERT(count(repeats, m_limits.window) <=
                  m_limits.ratio * static_cast<double>(count(requests, 2 * m_limits.window)) +
                      m_limits.slack);
    }
}

} // namespace
} // namespace ospreystair::forwarding
