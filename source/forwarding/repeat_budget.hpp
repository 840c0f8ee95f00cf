// Limits how many requests to a service are sent more than once, as retries or hedges.
//
// Guards against this failure: replicas of many shards become slow or fail at the same time.
// Without a limit each VM would send every request twice, which doubles the load when capacity is
// lowest.

#ifndef OSPREYSTAIR_FORWARDING_REPEAT_BUDGET_HPP
#define OSPREYSTAIR_FORWARDING_REPEAT_BUDGET_HPP

#include <array>
#include <chrono>
#include <cmath>
#include <cstdint>

#include "base/clock.hpp"

namespace ospreystair::forwarding
{

/// The limit for each service, which all VMs together keep in any interval of length `window`.
struct repeat_limits
{
    /// Repeats per request received from callers.
    double ratio = 0.1;
    /// Repeats allowed in addition, independent of the number of requests.
    double slack = 10;
    std::chrono::milliseconds window{10'000};

    bool operator==(const repeat_limits&) const = default;
};

/// Returns the number by which a VM divides the slack for a service. With `gatherer_count` VMs that
/// send most of the requests to the service, these share most of the slack, and the others the
/// rest; the shares of all `vm_count` VMs are at most the slack.
inline std::size_t count_slack_sharers(std::size_t vm_count, std::size_t gatherer_count,
                                       bool is_gatherer)
{
    constexpr double gatherers_share = 0.8;
    if (gatherer_count == 0 || gatherer_count >= vm_count)
        return vm_count;
    const double sharers =
        is_gatherer ? static_cast<double>(gatherer_count) / gatherers_share
                    : static_cast<double>(vm_count - gatherer_count) / (1 - gatherers_share);
    return static_cast<std::size_t>(std::ceil(sharers));
}

/// This VM's part of the limit for one service: the ratio of its own requests, and an equal share
/// of the slack. Counts in time slots that cover any interval of the window's length.
class repeat_budget
{
public:
    /// Fraction of the limit that is used; the rest allows for VMs that count at different times.
    static constexpr double used_share = 0.85;

    /// `rounding`, from 0 to below 1 and different on each VM, is added before the allowed number
    /// is rounded down. In a large fleet the share of a VM is three or four repeats: without it,
    /// all VMs together would use a fifth less than is allowed.
    explicit repeat_budget(double rounding = 0) : m_rounding(rounding) {}

    void record_request(base::time_point now, const repeat_limits& limits)
    {
        advance(now, limits);
        ++m_requests[m_slot];
        ++m_request_total;
    }

    /// Whether one more repeat is within the budget. `vm_count` VMs share the slack.
    bool allows_repeat(base::time_point now, const repeat_limits& limits, std::size_t vm_count)
    {
        advance(now, limits);
        const double allowed =
            used_share * (limits.ratio * static_cast<double>(m_request_total) +
                          limits.slack / static_cast<double>(vm_count == 0 ? 1 : vm_count));
        return static_cast<double>(m_repeat_total) + 1 <= allowed + m_rounding;
    }

    /// Counts a repeat, also one sent without a check by `allows_repeat`.
    void record_repeat(base::time_point now, const repeat_limits& limits)
    {
        advance(now, limits);
        ++m_repeats[m_slot];
        ++m_repeat_total;
    }

private:
    static constexpr std::size_t slot_count = 20;

    void advance(base::time_point now, const repeat_limits& limits)
    {
        const base::duration slot_time = base::duration(limits.window) / (slot_count - 1);
        const auto number = static_cast<std::uint64_t>(now.time_since_epoch() / slot_time);
        const std::uint64_t steps = number - m_slot_number;
        for (std::uint64_t step = 0; step < steps && step < slot_count; ++step)
        {
            m_slot = (m_slot + 1) % slot_count;
            m_request_total -= m_requests[m_slot];
            m_repeat_total -= m_repeats[m_slot];
            m_requests[m_slot] = 0;
            m_repeats[m_slot] = 0;
        }
        m_slot_number = number;
    }

    const double m_rounding;
    // Invariant: the totals are the sums of the slots.
    std::array<std::uint16_t, slot_count> m_requests{};
    std::array<std::uint16_t, slot_count> m_repeats{};
    std::uint32_t m_request_total = 0;
    std::uint32_t m_repeat_total = 0;
    std::uint64_t m_slot_number = 0;
    std::size_t m_slot = 0;
};

} // namespace ospreystair::forwarding

#endif
