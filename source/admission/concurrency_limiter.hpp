// Adaptive limit on the concurrent requests of one service.

#ifndef OSPREYSTAIR_ADMISSION_CONCURRENCY_LIMITER_HPP
#define OSPREYSTAIR_ADMISSION_CONCURRENCY_LIMITER_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <mutex>

#include "base/clock.hpp"

namespace ospreystair::admission
{

/// Settings of the limiter.
struct limiter_settings
{
    std::uint32_t max_concurrency = 256;
    std::uint32_t min_concurrency = 4;
    /// Minimum length of a measurement window; a window also needs `min_samples`.
    base::duration window = std::chrono::milliseconds{100};
    std::uint32_t min_samples = 10;
    /// A window's mean latency above this multiple of the baseline indicates queueing.
    double latency_tolerance = 2;
    double decrease_factor = 0.9;
    /// Weights of a window's latency in the baseline, when it is lower and when it is higher.
    double baseline_fall_weight = 0.05;
    double baseline_rise_weight = 0.005;
};

/// Additive increase and multiplicative decrease of the limit, by comparing the latency with a
/// slowly adapting baseline. The limit changes only while at least half of it is used. A series of
/// decreases that does not lower the latency is reverted, because the latency then has another
/// cause than this load. Thread-safe, with one lock per limiter.
template<base::clock_source Clock>
class concurrency_limiter
{
public:
    explicit concurrency_limiter(const Clock& clock, limiter_settings settings = {})
        : m_clock(clock), m_settings(settings), m_limit(settings.max_concurrency),
          m_window_start(clock.now())
    {
    }

    /// Takes a permit; returns false when the limit is reached.
    bool try_acquire()
    {
        const std::scoped_lock lock(m_mutex);
        m_window_max_in_flight = std::max(m_window_max_in_flight, m_in_flight + 1);
        if (m_in_flight >= limit_locked())
            return false;
        ++m_in_flight;
        return true;
    }

    /// Releases the permit of a request that took `latency`.
    void release(base::duration latency)
    {
        const std::scoped_lock lock(m_mutex);
        release_permit();
        m_latency_sum_s += std::chrono::duration<double>(latency).count();
        ++m_sample_count;
        const base::time_point now = m_clock.now();
        if (m_sample_count >= m_settings.min_samples && now - m_window_start >= m_settings.window)
            close_window(now);
    }

    /// Releases a permit without a latency sample, for a request that was cancelled or failed
    /// early.
    void release()
    {
        const std::scoped_lock lock(m_mutex);
        release_permit();
    }

    /// Changes the upper bound of the limit. Requests in flight stay counted, unlike with a new
    /// limiter.
    void set_max_concurrency(std::uint32_t max_concurrency)
    {
        const std::scoped_lock lock(m_mutex);
        // A limit at the old bound moves to the new one; a limit that was decreased because of
        // latency is kept unless it exceeds the new bound.
        const bool is_at_bound = limit_locked() == m_settings.max_concurrency;
        m_settings.max_concurrency = max_concurrency;
        m_limit = is_at_bound ? max_concurrency : std::min<double>(m_limit, max_concurrency);
        m_limit_before_decrease = 0;
    }

    std::uint32_t limit() const
    {
        const std::scoped_lock lock(m_mutex);
        return limit_locked();
    }

    std::uint32_t in_flight() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_in_flight;
    }

private:
    std::uint32_t limit_locked() const { return static_cast<std::uint32_t>(m_limit); }

    double min_limit() const
    {
        return std::min(m_settings.min_concurrency, m_settings.max_concurrency);
    }

    void release_permit()
    {
        if (m_in_flight > 0)
            --m_in_flight;
    }

    void close_window(base::time_point now)
    {
        const double latency = m_latency_sum_s / m_sample_count;
        if (m_baseline_s == 0)
            m_baseline_s = latency;
        // A service that uses less than half of its limit is not slow because the limit is too
        // high.
        const bool is_limit_used = m_window_max_in_flight * 2 >= limit_locked();
        if (latency > m_baseline_s * m_settings.latency_tolerance)
        {
            if (is_limit_used)
                decrease_limit(latency);
        }
        else
        {
            m_limit_before_decrease = 0;
            if (is_limit_used)
                m_limit = std::min<double>(m_settings.max_concurrency, m_limit + 1);
        }
        // While the limit is used, only `decrease_limit` raises the baseline: if the baseline
        // followed the latency that the load causes, the limit would rise again within seconds
        // during a lasting overload.
        if (latency < m_baseline_s)
            m_baseline_s += m_settings.baseline_fall_weight * (latency - m_baseline_s);
        else if (!is_limit_used)
            m_baseline_s += m_settings.baseline_rise_weight * (latency - m_baseline_s);
        m_latency_sum_s = 0;
        m_sample_count = 0;
        m_window_max_in_flight = m_in_flight;
        m_window_start = now;
    }

    void decrease_limit(double latency)
    {
        if (m_limit_before_decrease == 0)
        {
            m_limit_before_decrease = m_limit;
            m_latency_before_decrease = latency;
        }
        m_limit = std::max(min_limit(), m_limit * m_settings.decrease_factor);
        const bool is_halved = m_limit <= std::max(min_limit(), m_limit_before_decrease / 2);
        if (!is_halved)
            return;
        // Half the load would have shortened queues. If the latency did not fall, it has another
        // cause.
        if (latency > m_latency_before_decrease * 0.8)
        {
            m_limit = m_limit_before_decrease;
            m_baseline_s = latency;
        }
        m_limit_before_decrease = 0;
    }

    const Clock& m_clock;
    limiter_settings m_settings;
    mutable std::mutex m_mutex;
    // All below are guarded by m_mutex. Invariant: min_limit() <= m_limit <= max_concurrency.
    double m_limit;
    std::uint32_t m_in_flight = 0;
    std::uint32_t m_window_max_in_flight = 0;
    base::time_point m_window_start;
    double m_latency_sum_s = 0;
    std::uint32_t m_sample_count = 0;
    // Zero before the first window.
    double m_baseline_s = 0;
    // Limit and latency before the current series of decreases; zero when there is none.
    double m_limit_before_decrease = 0;
    double m_latency_before_decrease = 0;
};

} // namespace ospreystair::admission

#endif
