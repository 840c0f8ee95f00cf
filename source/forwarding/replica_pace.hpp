// How much of its usual work a replica gets from this VM after it has started or recovered.

#ifndef OSPREYSTAIR_FORWARDING_REPLICA_PACE_HPP
#define OSPREYSTAIR_FORWARDING_REPLICA_PACE_HPP

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>

#include "base/clock.hpp"

namespace ospreystair::forwarding
{

/// Guards against this failure: a replica returns after a crash, and either all VMs send it their
/// full share while it is still slow, so that it refuses and falls behind, or they avoid it until a
/// fixed time has passed, while its neighbours carry its load, and then return together.
///
/// The share rises with answers in time and free slots, and falls with late answers, refusals and
/// waiting requests. In a large fleet each VM sends a replica a request every few seconds, so a
/// single answer moves the share far, and it also rises slowly without any. At its full share a
/// replica counts as warm, and only a series of refusals lowers the share again. Not thread-safe.
class replica_pace
{
public:
    /// Smallest share: a replica is always tried now and then.
    static constexpr double min_share = 0.1;

    /// Records that the replica has started or recovered.
    void restart(base::time_point now)
    {
        m_is_reduced = true;
        m_refusals = 0;
        set(initial_share, now);
    }

    /// Records a complete answer, late if other VMs would have asked a second replica before it.
    void record_answer(bool is_late, base::time_point now)
    {
        m_refusals = 0;
        if (is_late)
            fall(now);
        else
            rise(now);
    }

    void record_refusal(base::time_point now)
    {
        ++m_refusals;
        if (is_reduced(now))
            fall(now);
        else if (m_refusals >= refusals_of_a_series)
            restart(now);
    }

    /// Records the load that the replica reports, to which all VMs contribute.
    void record_load(std::uint32_t running, std::uint32_t waiting, std::uint32_t slots,
                     base::time_point now)
    {
        if (waiting > 0)
            fall(now);
        else if (running < slots)
            rise(now);
    }

    /// Share of the usual work, from `min_share` to 1.
    double share(base::time_point now) const
    {
        if (!m_is_reduced)
            return 1;
        const double age = std::chrono::duration<double>(now - m_set_at).count();
        const double missing = (1 - m_share) * std::exp2(-std::max(0.0, age) / half_life_s);
        return missing < negligible ? 1 : 1 - missing;
    }

    bool is_reduced(base::time_point now) const { return share(now) < 1; }

private:
    static constexpr double initial_share = 0.25;
    static constexpr double increase = 0.25;
    static constexpr double decrease = 0.5;
    // Time in which the share rises half of the way to 1 without any answer.
    static constexpr double half_life_s = 2;
    static constexpr double negligible = 0.05;
    // Single refusals come from requests that happen to arrive together.
    static constexpr unsigned refusals_of_a_series = 3;

    void rise(base::time_point now)
    {
        if (is_reduced(now))
            set(share(now) + increase, now);
        m_is_reduced = is_reduced(now);
    }

    void fall(base::time_point now)
    {
        m_is_reduced = is_reduced(now);
        if (m_is_reduced)
            set(share(now) * decrease, now);
    }

    void set(double share, base::time_point now)
    {
        m_share = std::clamp(share, min_share, 1.0);
        m_set_at = now;
    }

    // Whether the replica has been below its full share since the last restart.
    bool m_is_reduced = false;
    // The share at m_set_at.
    double m_share = 1;
    base::time_point m_set_at{};
    // Refusals since the last answer.
    unsigned m_refusals = 0;
};

} // namespace ospreystair::forwarding

#endif
