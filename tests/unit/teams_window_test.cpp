// The count of a team's requests in a sliding window, without a network.

#include <algorithm>
#include <cstddef>
#include <deque>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "teams/quota_window.hpp"

namespace ospreystair::teams
{
namespace
{

using namespace std::chrono_literals;

class quota_window_test : public testing::Test
{
protected:
    // Takes whatever is granted every 10 ms.
    void exhaust(quota_window& requests, base::duration time)
    {
        for (const base::time_point end = m_now + time; m_now < end; m_now += 10ms)
            while (requests.take(m_now))
                m_granted.push_back(m_now);
    }

    double most_in_window() const
    {
        std::size_t result = 0;
        std::deque<base::time_point> window;
        for (const base::time_point at : m_granted)
        {
            window.push_back(at);
            while (window.front() <= at - m_grant.window)
                window.pop_front();
            result = std::max(result, window.size());
        }
        return static_cast<double>(result);
    }

    base::time_point m_now = base::time_point{} + 100s;
    quota_grant m_grant{56, 6.4, 5'000ms};
    std::vector<base::time_point> m_granted;
};

// Guards against a team that can use its burst only once.
TEST_F(quota_window_test, whole_capacity_is_granted_in_each_window)
{
    quota_window requests(m_grant, m_now - 1min);
    for (int window = 0; window < 4; ++window)
    {
        const std::size_t before = m_granted.size();
        exhaust(requests, m_grant.window);
        // What leaves the window together leaves a slot of it unused.
        EXPECT_GE(m_granted.size() - before, 54U);
    }
    EXPECT_LE(most_in_window(), m_grant.capacity);
}

// Guards against a promised time of return at which there is no room.
TEST_F(quota_window_test, room_is_there_at_the_promised_time_and_not_long_before)
{
    quota_window requests(m_grant, m_now);
    for (int round = 0; round < 40; ++round)
    {
        while (requests.take(m_now))
            m_granted.push_back(m_now);
        const base::duration wait = requests.time_to_room(m_now);
        EXPECT_GT(wait, 0ms);
        EXPECT_LT(requests.room(m_now + wait / 2), 1);
        m_now += wait;
        EXPECT_GE(requests.room(m_now), 1);
        requests.charge(round % 7 == 0 ? 10 : 0, m_now);
    }
}

// Guards against permits that are given back and never granted again.
TEST_F(quota_window_test, requests_that_are_given_back_leave_room)
{
    quota_window requests(m_grant, m_now - 1min);
    exhaust(requests, 50ms);
    const double before = requests.room(m_now);
    requests.charge(-5, m_now);
    EXPECT_DOUBLE_EQ(requests.room(m_now), before + 5);
    requests.charge(-1'000, m_now);
    EXPECT_DOUBLE_EQ(requests.room(m_now), m_grant.most_at_once());
}

// Guards against requests that count too short a time because younger ones were given back for
// them.
TEST_F(quota_window_test, requests_that_are_given_back_are_the_oldest)
{
    quota_window requests(m_grant, m_now - 1min);
    const base::time_point begin = m_now;
    exhaust(requests, 10ms);
    const auto older = static_cast<double>(m_granted.size());
    m_now = begin + m_grant.window - 100ms;
    exhaust(requests, 10ms);
    requests.charge(-older, m_now);
    m_granted.erase(m_granted.begin(), m_granted.begin() + static_cast<std::ptrdiff_t>(older));
    exhaust(requests, m_grant.window);
    EXPECT_LE(most_in_window(), m_grant.capacity);
}

// Guards against a team of the smallest quota that is never served, and against a time of return
// that cannot be represented.
TEST_F(quota_window_test, smallest_grant_serves_one_request_and_names_a_time_for_the_next)
{
    m_grant = {1.1, 0.02, 5'000ms};
    quota_window requests(m_grant, m_now - 1min);
    EXPECT_TRUE(requests.take(m_now));
    requests.charge(4e9, m_now);
    EXPECT_GT(requests.time_to_room(m_now), 0ms);
    EXPECT_LE(requests.time_to_room(m_now), m_grant.window);
}

// Guards against a lower quota that lets requests through beyond it.
TEST_F(quota_window_test, lower_quota_binds_after_one_window)
{
    quota_window requests(m_grant, m_now - 1min);
    exhaust(requests, m_grant.window);
    m_grant = {12, 1, 5'000ms};
    requests.update(m_grant);
    exhaust(requests, m_grant.window);
    m_granted.clear();
    exhaust(requests, 4 * m_grant.window);
    EXPECT_LE(most_in_window(), m_grant.capacity);
    EXPECT_GE(m_granted.size(), 40U);
}

// Guards against a keeper that takes over at any moment and grants what its predecessor has
// granted.
RC_GTEST_FIXTURE_PROP(quota_window_test, predecessor_and_successor_stay_within_the_capacity, ())
{
    m_grant.capacity = *rc::gen::inRange(2, 200);
    const int share = *rc::gen::inRange(1, 99);
    m_grant.takeover_rate = (m_grant.capacity - 1) / 5 * share / 100;
    quota_window first(m_grant, m_now - 1min);
    const auto pauses = *rc::gen::container<std::vector<int>>(6, rc::gen::inRange(0, 3'000));
    for (const int pause : pauses)
    {
        m_now += std::chrono::milliseconds{pause};
        exhaust(first, std::chrono::milliseconds{1 + pause % 700});
    }
    quota_window second(m_grant, m_now);
    exhaust(second, 12s);
    RC_ASSERT(most_in_window() <= m_grant.capacity);
}

} // namespace
} // namespace ospreystair::teams
