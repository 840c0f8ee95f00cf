// The budget of repeats as all VMs together use it, and the estimate of rare events.

#include <chrono>
#include <vector>

#include <gtest/gtest.h>

#include "base/random.hpp"
#include "forwarding/event_rate.hpp"
#include "forwarding/repeat_budget.hpp"

namespace ospreystair::forwarding
{
namespace
{

using namespace std::chrono_literals;

class fleet_budget_test : public testing::Test
{
protected:
    /// Returns how many repeats all VMs send in one window when they need as many as they may.
    std::uint32_t use_all(std::size_t vm_count, int requests_per_vm)
    {
        base::seeded_random random(3);
        std::uint32_t used = 0;
        for (std::size_t vm = 0; vm < vm_count; ++vm)
        {
            repeat_budget budget(static_cast<double>(random.below(1'000)) / 1'000);
            for (int number = 0; number < requests_per_vm; ++number)
                budget.record_request(m_now, m_limits);
            while (budget.allows_repeat(m_now, m_limits, vm_count))
            {
                budget.record_repeat(m_now, m_limits);
                ++used;
            }
        }
        return used;
    }

    const repeat_limits m_limits{0.2, 192, 10'000ms};
    const base::time_point m_now = base::time_point{} + 100s;
};

// Guards against a large fleet that exceeds the limit together, and against one that leaves a large
// part of it unused because each VM rounds its share down.
TEST_F(fleet_budget_test, many_vms_use_most_of_the_limit_and_never_more)
{
    for (const std::size_t vm_count : {3U, 9U, 30U, 76U, 195U, 300U})
    {
        constexpr int requests_per_vm = 10;
        const double limit =
            m_limits.slack + m_limits.ratio * static_cast<double>(vm_count * requests_per_vm);
        const double used = use_all(vm_count, requests_per_vm);
        EXPECT_LE(used, limit) << vm_count << " VMs";
        EXPECT_GE(used, 0.75 * limit) << vm_count << " VMs";
    }
}

// Guards against a limit that gatherers and the other VMs exceed together, and against gatherers
// that cannot repeat because VMs without requests hold the slack.
TEST_F(fleet_budget_test, gatherers_get_most_of_the_slack_and_all_vms_at_most_all_of_it)
{
    constexpr std::size_t vm_count = 144;
    constexpr std::size_t gatherers = 6;
    const auto share = [&](bool is_gatherer)
    {
        return 1.0 / static_cast<double>(count_slack_sharers(vm_count, gatherers, is_gatherer));
    };
    EXPECT_LE(gatherers * share(true) + (vm_count - gatherers) * share(false), 1);
    EXPECT_GE(gatherers * share(true), 0.7);
    EXPECT_EQ(count_slack_sharers(vm_count, 0, false), vm_count);
    EXPECT_EQ(count_slack_sharers(vm_count, vm_count, true), vm_count);
}

// Guards against a replica that refuses most requests and looks healthy again before its next
// sample, and against one that is avoided long after it has recovered.
TEST(event_rate_test, estimate_decays_at_the_pace_of_the_samples)
{
    event_rate rare(0.35);
    event_rate frequent(0.35);
    base::time_point now{100s};
    for (int index = 0; index < 4; ++index)
    {
        now += 3s;
        rare.record(true, now);
        frequent.record(false, now - 1s);
        for (int repeat = 0; repeat < 30; ++repeat)
            frequent.record(true, now + repeat * 1ms);
    }
    EXPECT_GT(rare.value(now + 3s), 0.5 * rare.value(now));
    EXPECT_LT(frequent.value(now + 3s + 30ms), 0.55);
    EXPECT_LT(rare.value(now + 30s), 0.1);
}

} // namespace
} // namespace ospreystair::forwarding
