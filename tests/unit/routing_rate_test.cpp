// The rate that an upstream takes from all VMs, as all VMs together use it.

#include <chrono>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/random.hpp"
#include "routing/rate_share.hpp"

namespace ospreystair::routing
{
namespace
{

using namespace std::chrono_literals;

/// VMs that send to one upstream as often as their shares and their own demand allow.
class fleet_rate_test : public testing::Test
{
protected:
    static constexpr base::duration step = 10ms;
    static constexpr base::duration window = 4s;

    void start(std::size_t vm_count, double limit)
    {
        m_limit = limit;
        for (std::size_t vm = 0; vm < vm_count; ++vm)
            m_shares.emplace_back(limit, fleet_position{vm_count, vm, base::time_point{}}, m_now);
    }

    /// Each VM wants to send `requests_per_second` on average for `duration`.
    void send_for(base::duration duration, double requests_per_second)
    {
        const double probability =
            requests_per_second * std::chrono::duration<double>(step).count();
        for (const base::time_point end = m_now + duration; m_now < end; m_now += step)
            for (rate_share& share : m_shares)
                if (choose_fraction() < probability && share.allows_request(m_now))
                {
                    share.record_request(m_now);
                    m_arrivals.push_back(m_now);
                }
    }

    /// Largest number of arrivals in any window.
    double most_in_window() const { return most_within(window); }

    double most_within(base::duration length) const
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < m_arrivals.size(); ++last)
        {
            while (m_arrivals[first] + length <= m_arrivals[last])
                ++first;
            most = std::max(most, last - first + 1);
        }
        return static_cast<double>(most);
    }

    /// What the upstream bears in a window.
    double tolerated() const
    {
        return 1.5 * m_limit * std::chrono::duration<double>(window).count() + 5;
    }

    double choose_fraction() { return static_cast<double>(m_random.below(1'000'000)) / 1e6; }

    base::seeded_random m_random{41};
    base::time_point m_now = base::time_point{} + 100s;
    double m_limit = 0;
    std::vector<rate_share> m_shares;
    std::vector<base::time_point> m_arrivals;
};

// Guards against VMs that each keep the whole limit, and against shares that leave most of it
// unused.
TEST_F(fleet_rate_test, vms_with_much_demand_use_most_of_the_limit_and_never_exceed_it)
{
    for (const std::size_t vm_count : {1U, 9U, 76U, 195U, 410U})
        for (const double limit : {0.5, 2.4, 8.5, 27.3, 200.0})
        {
            SCOPED_TRACE(testing::Message() << vm_count << " VMs, limit " << limit);
            m_shares.clear();
            m_arrivals.clear();
            start(vm_count, limit);
            const base::time_point begin = m_now;
            send_for(60s, 5);
            const double seconds = std::chrono::duration<double>(m_now - begin).count();
            EXPECT_LE(most_in_window(), tolerated());
            const double demand = 5.0 * static_cast<double>(vm_count);
            EXPECT_GE(static_cast<double>(m_arrivals.size()),
                      0.6 * std::min(limit, demand) * seconds - 1);
        }
}

// Guards against VMs of a large fleet that each keep a permit of a quiet time and use it in the
// same burst.
RC_GTEST_FIXTURE_PROP(fleet_rate_test, burst_after_a_quiet_time_stays_within_the_limit, ())
{
    const auto vm_count = *rc::gen::inRange<std::size_t>(1, 411);
    const auto tenths = *rc::gen::inRange(0, 500);
    start(vm_count, tenths / 10.0);
    send_for(10s, 0.05);
    send_for(4s, 50);
    RC_ASSERT(most_in_window() <= tolerated());
}

// Guards against more requests in one second than a cold upstream bears, whatever the fleet's size
// and the order in which the VMs want to send.
RC_GTEST_FIXTURE_PROP(fleet_rate_test, no_second_has_more_than_its_limit, ())
{
    const auto vm_count = *rc::gen::inRange<std::size_t>(1, 411);
    const double rate = *rc::gen::inRange(1, 500) / 10.0;
    const double most = rate * *rc::gen::inRange(10, 30) / 10.0 + *rc::gen::inRange(1, 10);
    for (std::size_t vm = 0; vm < vm_count; ++vm)
        m_shares.emplace_back(rate_limit{rate, most}, fleet_position{vm_count, vm, {}}, m_now);
    const auto demands = *rc::gen::container<std::vector<int>>(6, rc::gen::inRange(0, 100));
    for (const int demand : demands)
        send_for(1s, demand * demand / 200.0);
    RC_ASSERT(most_within(1s) <= most);
}

// Guards against a cold upstream that stays idle because each permit expires before its use.
TEST_F(fleet_rate_test, most_of_the_limit_for_each_second_is_used)
{
    for (const std::size_t vm_count : {1U, 9U, 76U, 410U})
    {
        m_shares.clear();
        m_arrivals.clear();
        for (std::size_t vm = 0; vm < vm_count; ++vm)
            m_shares.emplace_back(rate_limit{8, 17}, fleet_position{vm_count, vm, {}}, m_now);
        send_for(30s, 5);
        EXPECT_LE(most_within(1s), 17);
        EXPECT_GE(m_arrivals.size(), 0.6 * std::min(8.0, 5.0 * static_cast<double>(vm_count)) * 30);
    }
}

// Guards against VMs that start together and each take the whole limit, before they are listed.
TEST_F(fleet_rate_test, vm_that_is_not_listed_sends_nothing_under_a_limit_for_each_second)
{
    const fleet_position unlisted = find_fleet_position("new", {}, {});
    rate_share share(rate_limit{8, 17}, unlisted, m_now);
    EXPECT_FALSE(share.allows_request(m_now + 5s));
    share.update(rate_limit{8, 17}, find_fleet_position("new", {"new"}, {}), m_now);
    EXPECT_TRUE(share.allows_request(m_now + 5s));
}

// Guards against a limit of zero after which the VMs never hear that it has ended.
TEST_F(fleet_rate_test, limit_of_zero_still_allows_a_request_now_and_then)
{
    start(9, 0);
    send_for(60s, 5);
    EXPECT_LE(most_in_window(), tolerated());
    EXPECT_GE(m_arrivals.size(), 5U);
}

// Guards against two VMs that take the same turn.
TEST(fleet_position_test, vms_with_the_same_list_have_different_ranks)
{
    EXPECT_EQ(find_fleet_position("b", {"c", "b", "a"}, {}).rank, 1U);
    EXPECT_EQ(find_fleet_position("c", {"c", "b", "a"}, {}).rank, 2U);
    EXPECT_EQ(find_fleet_position("c", {"c", "b", "a"}, {}).vm_count, 3U);
    EXPECT_EQ(find_fleet_position("new", {}, {}).vm_count, 1U);
}

TEST_F(fleet_rate_test, refused_request_is_told_when_the_next_may_be_sent)
{
    start(2, 1);
    rate_share& share = m_shares.front();
    m_now = share.next(m_now);
    ASSERT_TRUE(share.allows_request(m_now));
    share.record_request(m_now);
    EXPECT_FALSE(share.allows_request(m_now));
    EXPECT_EQ(share.next(m_now), m_now + 2s);
}

// Guards against a limit so high that permits come less than a nanosecond apart: the division by
// that time ended the process on x86-64, and gave permits of any age on arm64.
TEST(rate_share_test, limit_beyond_any_rate_gives_current_permits)
{
    const base::time_point start{1000s};
    for (const double limit : {1e9, 4e9, 18446744073709551615.0, 1e300})
    {
        rate_share share(limit, {3, 1, base::time_point{}}, start);
        const base::time_point now = start + 1h;
        EXPECT_TRUE(share.allows_request(now)) << limit;
        EXPECT_GE(share.next(now), now - 2s) << limit;
        share.record_request(now);
        EXPECT_TRUE(share.allows_request(now + 1ms)) << limit;
    }
}

} // namespace
} // namespace ospreystair::routing
