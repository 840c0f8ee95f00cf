// The oldest configuration with which another VM may serve this VM's callers.

#include <algorithm>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "forwarding/version_floor.hpp"

namespace ospreystair::forwarding
{
namespace
{

using namespace std::chrono_literals;

class version_floor_test : public testing::Test
{
protected:
    static constexpr std::chrono::milliseconds spread_time{1'000};

    base::time_point m_now = base::time_point{} + 100s;
    version_floor m_floor{spread_time};
};

// Guards against a VM without replicas whose callers are refused by all others for as long as these
// read a new configuration.
TEST_F(version_floor_test, configuration_that_no_caller_has_seen_is_required_after_its_spread_time)
{
    m_floor.record_adopted(44, m_now - 10s);
    m_floor.record_adopted(45, m_now);
    EXPECT_EQ(m_floor.required(m_now), 44U);
    EXPECT_EQ(m_floor.required(m_now + spread_time - 1ms), 44U);
    EXPECT_EQ(m_floor.required(m_now + spread_time), 45U);
}

// Guards against callers that see a configuration go back.
TEST_F(version_floor_test, configuration_that_callers_have_seen_is_required_at_once)
{
    m_floor.record_adopted(45, m_now);
    m_floor.record_seen(45);
    EXPECT_EQ(m_floor.required(m_now), 45U);
    m_floor.record_seen_elsewhere(47, m_now);
    EXPECT_EQ(m_floor.required(m_now), 47U);
    EXPECT_TRUE(m_floor.is_outdated(46, m_now));
    EXPECT_FALSE(m_floor.is_outdated(47, m_now));
    EXPECT_FALSE(m_floor.is_outdated(46, m_now + version_floor::outdated_memory));
    EXPECT_EQ(m_floor.required(m_now + version_floor::outdated_memory), 47U);
}

// Guards against a floor that falls, that is above all that was adopted or seen, or that is held
// back by configurations in quick succession.
RC_GTEST_FIXTURE_PROP(version_floor_test, floor_never_falls_and_follows_quick_changes, ())
{
    struct adoption
    {
        std::uint64_t version;
        base::time_point at;
    };
    std::vector<adoption> adoptions;
    std::uint64_t version = 0;
    std::uint64_t seen = 0;
    std::uint64_t previous = 0;
    for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3'000)))
    {
        m_now += std::chrono::milliseconds{step};
        if (step % 3 == 0)
        {
            m_floor.record_adopted(++version, m_now);
            adoptions.push_back({version, m_now});
        }
        else if (step % 3 == 1)
        {
            m_floor.record_seen(version);
            seen = version;
        }
        std::uint64_t expected = seen;
        for (const adoption& each : adoptions)
            if (m_now - each.at >= spread_time)
                expected = std::max(expected, each.version);
        RC_ASSERT(m_floor.required(m_now) == expected);
        RC_ASSERT(expected >= previous);
        previous = expected;
    }
}

} // namespace
} // namespace ospreystair::forwarding
