// Adaptive limit of the concurrent requests of one service.

#ifndef OSPREYSTAIR_ADMISSION_CONCURRENCY_LIMITER_HPP
#define OSPREYSTAIR_ADMISSION_CONCURRENCY_LIMITER_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <mutex>

#include "base/clock.hpp"

namespace ospreystair::admission
{

/// Rules of the limiter.
struct limiter_settings
{
    std::uint32_t max_concurrency = 256;
    std::uint32_t min_concurrency = 4;
    /// Length of a measuring window; a window also needs `fewest_samples`.
    base::duration window = std::chrono::milliseconds{100};
    std::uint32_t fewest_samples = 10;
    /// A window's mean latency above this many baselines is a sign of queueing.
    double tolerance = 2;
    double decrease = 0.9;
    /// Weight of a window in the baseline, when its latency is lower and higher.
    double baseline_fall = 0.05;
    double baseline_rise = 0.005;
};

/// Additive increase, multiplicative decrease by latency against a slowly moving baseline.
/// The limit moves only while it is used, and a decrease that does not lower the latency is taken
/// back: then the latency has another cause than this load. Thread-safe; one lock per service.
template<base::clock_source Clock>
class concurrency_limiter
{
public:
    explicit concurrency_limiter(const Clock& clock, limiter_settings settings = {})
        : m_clock(clock), m_settings(settings), m_limit(settings.max_concurrency),
          m_window_start(clock.now())
    {
    }

    /// Takes a place; false when the limit is reached.
    bool try_acquire()
    {
        const std::scoped_lock lock(m_mutex);
        m_highest = std::max(m_highest, m_in_flight + 1);
        if (m_in_flight >= limit_locked())
            return false;
        ++m_in_flight;
        return true;
    }

    /// Gives the place back after a request that took `latency`.
    void release(base::duration latency)
    {
        const std::scoped_lock lock(m_mutex);
        give_back();
        m_latency_sum += std::chrono::duration<double>(latency).count();
        ++m_samples;
        const base::time_point now = m_clock.now();
        if (m_samples >= m_settings.fewest_samples && now - m_window_start >= m_settings.window)
            close_window(now);
    }

    /// Gives the place back without a sample, for a request that was cancelled or failed early.
    void release()
    {
        const std::scoped_lock lock(m_mutex);
        give_back();
    }

    /// Adopts a changed configuration. Requests in flight stay counted, which a new limiter would
    /// not know of.
    void set_max_concurrency(std::uint32_t max_concurrency)
    {
        const std::scoped_lock lock(m_mutex);
        // A limit that was at its bound follows it; one that was lowered by latency is kept.
        const bool is_at_bound = limit_locked() == m_settings.max_concurrency;
        m_settings.max_concurrency = max_concurrency;
        m_limit = is_at_bound ? max_concurrency : std::min<double>(m_limit, max_concurrency);
        m_limit_before = 0;
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

    double lowest() const
    {
        return std::min(m_settings.min_concurrency, m_settings.max_concurrency);
    }

    void give_back()
    {
        if (m_in_flight > 0)
            --m_in_flight;
    }

    void close_window(base::time_point now)
    {
        const double latency = m_latency_sum / m_samples;
        if (m_baseline == 0)
            m_baseline = latency;
        // A service that does not use its limit can't be slow because of it.
        const bool is_used = m_highest * 2 >= limit_locked();
        if (latency > m_baseline * m_settings.tolerance)
        {
            if (is_used)
                lower(latency);
        }
        else
        {
            m_limit_before = 0;
            if (is_used)
                m_limit = std::min<double>(m_settings.max_concurrency, m_limit + 1);
        }
        // Under load the baseline rises in `lower` only: if it followed the latency that the load
        // causes, a lasting overload would raise its own limit again within seconds.
        if (latency < m_baseline)
            m_baseline += m_settings.baseline_fall * (latency - m_baseline);
        else if (!is_used)
            m_baseline += m_settings.baseline_rise * (latency - m_baseline);
        m_latency_sum = 0;
        m_samples = 0;
        m_highest = m_in_flight;
        m_window_start = now;
    }

    void lower(double latency)
    {
        if (m_limit_before == 0)
        {
            m_limit_before = m_limit;
            m_latency_before = latency;
        }
        m_limit = std::max(lowest(), m_limit * m_settings.decrease);
        const bool is_halved = m_limit <= std::max(lowest(), m_limit_before / 2);
        if (!is_halved)
            return;
        // Queueing would have become shorter with half of the load; this did not.
        if (latency > m_latency_before * 0.8)
        {
            m_limit = m_limit_before;
            m_baseline = latency;
        }
        m_limit_before = 0;
    }

    const Clock& m_clock;
    limiter_settings m_settings;
    mutable std::mutex m_mutex;
    // All below are guarded by m_mutex. Invariant: lowest() <= m_limit <= max_concurrency.
    double m_limit;
    std::uint32_t m_in_flight = 0;
    std::uint32_t m_highest = 0;
    base::time_point m_window_start;
    double m_latency_sum = 0;
    std::uint32_t m_samples = 0;
    // Seconds; zero before the first window.
    double m_baseline = 0;
    // Limit and latency when the present series of decreases began; zero outside of one.
    double m_limit_before = 0;
    double m_latency_before = 0;
};

} // namespace ospreystair::admission

#endif
