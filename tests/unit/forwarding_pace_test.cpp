// The pace of a replica that returns cold, as a fleet's VMs find it from its answers.

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <concepts>
#include <optional>
#include <vector>

#include <gtest/gtest.h>

#include "base/random.hpp"
#include "forwarding/replica_pace.hpp"

namespace ospreystair::forwarding
{
namespace
{

using namespace std::chrono_literals;

constexpr base::time_point start{1000s};

template<class Pace>
concept pace_rule = requires(Pace& pace, const Pace& known, base::time_point now)
{
    pace.restart(now);
    pace.record_answer(1.6, now);
    pace.record_refusal(now);
    pace.record_load(1U, 0U, 2U, now);
    {
        known.share(now)
        } -> std::convertible_to<double>;
};

/// The product's rule, from latencies as multiples of the usual one.
struct increase_and_decrease : replica_pace
{
    void record_answer(double ratio, base::time_point now)
    {
        replica_pace::record_answer(ratio > 2, now);
    }
};

/// Reaches the full share at a fixed time after the start, whatever the replica answers.
struct fixed_ramp
{
    void restart(base::time_point now) { m_start = now; }
    void record_answer(double, base::time_point) {}
    void record_refusal(base::time_point) {}
    void record_load(unsigned, unsigned, unsigned, base::time_point) {}
    double share(base::time_point now) const
    {
        return std::clamp(0.1 + 0.9 * std::chrono::duration<double>(now - m_start).count() / 3.0,
                          0.1, 1.0);
    }
    base::time_point m_start{};
};

/// Follows the ratio of the usual latency to that of the last answers; without an answer it rises
/// with time like the product's.
struct latency_gradient
{
    void restart(base::time_point now) { set(0.25, now); }
    void record_answer(double ratio, base::time_point now)
    {
        const double gradient = std::clamp(1.5 / ratio, 0.5, 1.0);
        const double current = share(now);
        set(0.5 * current + 0.5 * (current * gradient + std::sqrt(current)), now);
    }
    void record_refusal(base::time_point now) { set(share(now) / 2, now); }
    void record_load(unsigned, unsigned, unsigned, base::time_point) {}
    double share(base::time_point now) const
    {
        return 1 - (1 - m_share) *
                       std::exp2(-std::chrono::duration<double>(now - m_set_at).count() / 2);
    }
    void set(double share, base::time_point now)
    {
        m_share = std::clamp(share, 0.1, 1.0);
        m_set_at = now;
    }
    double m_share = 1;
    base::time_point m_set_at{};
};

struct fleet_result
{
    int refused = 0;
    int late = 0;
    /// Requests that the returning replica answered in the first four seconds.
    int answered_early = 0;
    /// Share of its usual work that it got from six seconds after the return on.
    double share_later = 0;
};

/// Two slots, a queue of two that refuses, and work that takes `slowdown` times as long for
/// `cold_time`.
class cold_replica
{
public:
    cold_replica(double slowdown, base::duration cold_time)
        : m_slowdown(slowdown), m_cold_time(cold_time)
    {
    }

    unsigned load(base::time_point now)
    {
        std::erase_if(m_ends, [now](base::time_point end) { return end <= now; });
        return static_cast<unsigned>(m_ends.size());
    }

    /// Returns when the request is answered; empty if it is refused.
    std::optional<base::time_point> run(base::time_point now)
    {
        if (load(now) >= slots + queue)
            return std::nullopt;
        base::time_point& slot = *std::min_element(m_slots.begin(), m_slots.end());
        const base::time_point begin = std::max(slot, now);
        const double factor = begin < start + m_cold_time ? m_slowdown : 1.0;
        slot = begin + std::chrono::duration_cast<base::duration>(work * factor);
        m_ends.push_back(slot);
        return slot;
    }

    static constexpr unsigned slots = 2;
    static constexpr unsigned queue = 2;
    static constexpr std::chrono::milliseconds work{20};

private:
    double m_slowdown;
    base::duration m_cold_time;
    std::array<base::time_point, slots> m_slots{};
    std::vector<base::time_point> m_ends;
};

/// Plays the ten seconds after the return of a replica whose usual work from all VMs together is
/// `requests_per_second`.
template<pace_rule Pace>
fleet_result play_return(std::size_t vm_count, double requests_per_second, double slowdown,
                         base::duration cold_time)
{
    struct pending_answer
    {
        base::time_point at;
        double ratio;
        std::size_t vm;
    };
    cold_replica replica(slowdown, cold_time);
    std::vector<Pace> paces(vm_count);
    for (Pace& pace : paces)
        pace.restart(start);
    base::seeded_random random{5};
    const auto fraction = [&]
    {
        return static_cast<double>(random.below(1'000'000)) / 1e6;
    };
    std::vector<pending_answer> pending;
    fleet_result result;
    double offered_later = 0;
    double sent_later = 0;
    for (base::time_point now = start; now < start + 10s; now += 1ms)
    {
        std::erase_if(pending,
                      [&](const pending_answer& each)
                      {
                          if (each.at > now)
                              return false;
                          const unsigned ahead = replica.load(now);
                          paces[each.vm].record_answer(each.ratio, now);
                          paces[each.vm].record_load(std::min(ahead, cold_replica::slots),
                                                     ahead - std::min(ahead, cold_replica::slots),
                                                     cold_replica::slots, now);
                          result.late += each.ratio > 2 ? 1 : 0;
                          result.answered_early += now < start + 4s ? 1 : 0;
                          return true;
                      });
        if (fraction() >= requests_per_second / 1'000)
            continue;
        const std::size_t vm = random.below(vm_count);
        const bool is_late = now >= start + 6s;
        offered_later += is_late ? 1 : 0;
        if (fraction() >= paces[vm].share(now))
            continue;
        sent_later += is_late ? 1 : 0;
        const auto answered_at = replica.run(now);
        if (!answered_at)
        {
            ++result.refused;
            paces[vm].record_refusal(now);
            continue;
        }
        const double ratio = std::chrono::duration<double>(*answered_at - now) /
                             std::chrono::duration<double>(cold_replica::work);
        pending.push_back({*answered_at, ratio, vm});
    }
    result.share_later = sent_later / offered_later;
    return result;
}

class pace_replay_test : public testing::TestWithParam<std::size_t>
{
protected:
    static constexpr double requests_per_second = 60;
    template<pace_rule Pace>
    fleet_result play(double slowdown, base::duration cold_time) const
    {
        return play_return<Pace>(GetParam(), requests_per_second, slowdown, cold_time);
    }
};

// Guards against a replica that is flooded because its cold time or slowness exceeds what is known.
TEST_P(pace_replay_test, replica_that_stays_slow_refuses_less_than_with_other_rules)
{
    const fleet_result paced = play<increase_and_decrease>(4, 6s);
    EXPECT_LT(paced.refused, play<fixed_ramp>(4, 6s).refused);
    EXPECT_LT(paced.refused, play<latency_gradient>(4, 6s).refused);
    // Its answers are the same number: what it refuses less was never served.
    EXPECT_GE(paced.answered_early, 0.8 * play<fixed_ramp>(4, 6s).answered_early);
}

// Guards against a replica that is idle while its neighbours carry its load.
TEST_P(pace_replay_test, replica_that_is_well_soon_has_its_usual_work)
{
    for (const double slowdown : {1.0, 1.6})
    {
        const fleet_result paced = play<increase_and_decrease>(slowdown, 3s);
        EXPECT_GE(paced.answered_early, 0.9 * play<fixed_ramp>(slowdown, 3s).answered_early);
        EXPECT_GE(paced.share_later, 0.95);
    }
}

// From a VM that sends many requests a second to one that sends a request every five seconds.
INSTANTIATE_TEST_SUITE_P(fleets, pace_replay_test, testing::Values(4, 65, 300));

// Guards against a well replica that loses work for requests that arrive together.
TEST(replica_pace_test, only_a_series_of_refusals_lowers_the_pace_of_a_warm_replica)
{
    replica_pace pace;
    pace.record_refusal(start);
    pace.record_refusal(start);
    pace.record_answer(true, start);
    pace.record_load(2, 9, 2, start);
    EXPECT_EQ(pace.share(start), 1);
    for (int index = 0; index < 3; ++index)
        pace.record_refusal(start);
    EXPECT_LT(pace.share(start), 0.5);
}

// Guards against a replica that is never tried again because nobody sends it a request.
TEST(replica_pace_test, share_rises_without_any_answer)
{
    replica_pace pace;
    pace.restart(start);
    EXPECT_TRUE(pace.is_reduced(start));
    EXPECT_GT(pace.share(start + 2s), 0.6);
    EXPECT_FALSE(pace.is_reduced(start + 10s));
}

} // namespace
} // namespace ospreystair::forwarding
