// Follows a quantile of a stream of durations in constant memory.

#ifndef OSPREYSTAIR_FORWARDING_QUANTILE_TRACKER_HPP
#define OSPREYSTAIR_FORWARDING_QUANTILE_TRACKER_HPP

#include <algorithm>
#include <chrono>
#include <cmath>

#include "base/clock.hpp"

namespace ospreystair::forwarding
{

/// Stochastic approximation (Robbins and Monro 1951) on a logarithmic scale: each sample moves the
/// estimate up in proportion to the quantile or down in proportion to its complement. A VM keeps
/// one for each route and quantile, so it must be small; `routing::latency_estimator` keeps a whole
/// histogram.
class quantile_tracker
{
public:
    /// `quantile` lies between 0 and 1; `first_guess` is above 0.
    quantile_tracker(double quantile, base::duration first_guess)
        : m_quantile(quantile), m_log_seconds(std::log(to_seconds(first_guess)))
    {
    }

    void record(base::duration sample)
    {
        const double value = std::log(to_seconds(sample));
        const double step = std::max(last_step, first_step / (1 + m_count));
        m_count += step_decay;
        m_log_seconds += value > m_log_seconds ? step * m_quantile : -step * (1 - m_quantile);
    }

    base::duration value() const
    {
        return std::chrono::duration_cast<base::duration>(
            std::chrono::duration<double>(std::exp(m_log_seconds)));
    }

private:
    // Steps on the logarithmic scale: the first ones cross a wrong guess within a few dozen
    // samples, the last one leaves an error of a few percent.
    static constexpr double first_step = 1.0;
    static constexpr double last_step = 0.08;
    static constexpr double step_decay = 0.2;

    static double to_seconds(base::duration value)
    {
        constexpr double shortest = 1e-6;
        return std::max(shortest, std::chrono::duration<double>(value).count());
    }

    double m_quantile;
    double m_log_seconds;
    double m_count = 0;
};

} // namespace ospreystair::forwarding

#endif
