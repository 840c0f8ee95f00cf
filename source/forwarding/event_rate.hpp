// Estimates how often an event happens from rare samples.

#ifndef OSPREYSTAIR_FORWARDING_EVENT_RATE_HPP
#define OSPREYSTAIR_FORWARDING_EVENT_RATE_HPP

#include <algorithm>
#include <chrono>
#include <cmath>

#include "base/clock.hpp"

namespace ospreystair::forwarding
{

/// A moving average of yes-or-no samples that decays towards zero while there are none.
///
/// Guards against this failure: in a fleet of hundreds of VMs each sends a request to a given
/// replica only every few seconds. With a fixed half-life of about that length, each sample is
/// forgotten before the next, and a replica that refuses most requests for ten seconds looks as
/// good as any other. The half-life therefore follows the interval between samples. Not
/// thread-safe.
class event_rate
{
public:
    /// `weight` is that of a new sample.
    explicit event_rate(double weight) : m_weight(weight) {}

    void record(bool has_happened, base::time_point now)
    {
        const double current = value(now);
        if (m_has_samples)
        {
            constexpr double interval_weight = 0.3;
            const double interval = std::min(to_seconds(now - m_sampled_at), max_interval_s);
            m_interval_s += interval_weight * (interval - m_interval_s);
        }
        m_has_samples = true;
        m_value = current + m_weight * ((has_happened ? 1.0 : 0.0) - current);
        m_sampled_at = now;
    }

    /// From 0 to 1.
    double value(base::time_point now) const
    {
        const double half_life =
            std::clamp(half_life_intervals * m_interval_s, min_half_life_s, max_half_life_s);
        return m_value * std::exp2(-std::max(0.0, to_seconds(now - m_sampled_at)) / half_life);
    }

private:
    static constexpr double half_life_intervals = 3;
    static constexpr double min_half_life_s = 3;
    // Disturbances of replicas last for some seconds; afterwards they must get requests again.
    static constexpr double max_half_life_s = 8;
    static constexpr double max_interval_s = 10;

    static double to_seconds(base::duration value)
    {
        return std::chrono::duration<double>(value).count();
    }

    const double m_weight;
    bool m_has_samples = false;
    double m_value = 0;
    // Average time between samples.
    double m_interval_s = 0;
    base::time_point m_sampled_at{};
};

} // namespace ospreystair::forwarding

#endif
