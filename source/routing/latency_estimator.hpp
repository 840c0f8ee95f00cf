// Estimates a quantile of a service's sub-request latency from recent samples.

#ifndef OSPREYSTAIR_ROUTING_LATENCY_ESTIMATOR_HPP
#define OSPREYSTAIR_ROUTING_LATENCY_ESTIMATOR_HPP

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <mutex>
#include <optional>
#include <tuple>
#include <vector>

#include <boost/histogram.hpp>

#include "base/clock.hpp"

namespace ospreystair::routing
{

/// Streaming quantile over a logarithmic histogram with exponentially decaying weights.
/// Thread-safe: the histogram is striped over threads, with one lock per stripe.
template<base::clock_source Clock>
class latency_estimator
{
public:
    struct settings
    {
        double quantile = 0.95;
        base::duration half_life = std::chrono::seconds{10};
        /// How long a computed quantile is reused.
        base::duration refresh_interval = std::chrono::milliseconds{50};
        /// There is no estimate below this many samples, weighted by their decay.
        double min_samples = 50;
    };

    explicit latency_estimator(const Clock& clock, settings values = {})
        : m_clock(clock), m_settings(values), m_refresh_at(clock.now().time_since_epoch().count())
    {
        for (stripe& each : m_stripes)
            each.decayed_at = clock.now();
    }

    /// Records the latency of a sub-request's first attempt, also when it was cancelled because a
    /// hedge was faster: the time that it was in flight is above the quantile either way. Hedges
    /// are not recorded.
    void record(base::duration latency)
    {
        stripe& target = m_stripes[thread_number() % stripe_count];
        const std::scoped_lock lock(target.mutex);
        decay(target, m_clock.now());
        target.histogram(std::chrono::duration<double, std::milli>(latency).count());
    }

    /// Returns the estimated quantile; empty until there are enough samples.
    std::optional<base::duration> estimate()
    {
        refresh();
        return load(m_estimate);
    }

    /// Returns the estimated median; empty until there are enough samples.
    std::optional<base::duration> median()
    {
        refresh();
        return load(m_median);
    }

private:
    // Buckets from 0.05 ms to 100 s, each about 6% wide.
    static constexpr unsigned bucket_count = 240;
    static constexpr double min_latency_ms = 0.05;
    static constexpr double max_latency_ms = 100'000;
    static constexpr std::size_t stripe_count = 8;

    using axis_type =
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using histogram_type =
        boost::histogram::histogram<std::tuple<axis_type>, boost::histogram::dense_storage<double>>;

    static axis_type make_axis() { return axis_type(bucket_count, min_latency_ms, max_latency_ms); }

    /// Returns a sequential number for the calling thread. Hashes of thread ids would put several
    /// threads into one stripe.
    static std::size_t thread_number()
    {
        static std::atomic<std::size_t> next{0};
        thread_local const std::size_t number = next.fetch_add(1, std::memory_order_relaxed);
        return number;
    }

    // Aligned to a cache line to avoid false sharing.
    struct alignas(64) stripe
    {
        std::mutex mutex;
        // Guarded by `mutex`.
        histogram_type histogram{make_axis()};
        base::time_point decayed_at{};
    };

    void decay(stripe& target, base::time_point now)
    {
        // At most once per tenth of the half-life, because each decay touches all buckets.
        const base::duration age = now - target.decayed_at;
        if (age < m_settings.half_life / 10)
            return;
        target.histogram *= std::exp2(-std::chrono::duration<double>(age) /
                                      std::chrono::duration<double>(m_settings.half_life));
        target.decayed_at = now;
    }

    static std::optional<base::duration> load(const std::atomic<base::duration::rep>& source)
    {
        const base::duration value{source.load(std::memory_order_relaxed)};
        if (value.count() == 0)
            return std::nullopt;
        return value;
    }

    void refresh()
    {
        const auto now = m_clock.now().time_since_epoch().count();
        auto refresh_at = m_refresh_at.load(std::memory_order_relaxed);
        if (now >= refresh_at &&
            m_refresh_at.compare_exchange_strong(
                refresh_at, now + m_settings.refresh_interval.count(), std::memory_order_relaxed))
            compute_quantiles();
    }

    void compute_quantiles()
    {
        histogram_type sum{make_axis()};
        for (stripe& each : m_stripes)
        {
            const std::scoped_lock lock(each.mutex);
            decay(each, m_clock.now());
            sum += each.histogram;
        }
        double total = 0;
        for (const double weight : sum)
            total += weight;
        const bool has_enough_samples = total >= m_settings.min_samples;
        const auto find = [&](double quantile)
        {
            return has_enough_samples ? find_quantile(sum, total * quantile) : base::duration{0};
        };
        m_estimate.store(find(m_settings.quantile).count(), std::memory_order_relaxed);
        m_median.store(find(0.5).count(), std::memory_order_relaxed);
    }

    // Returns the latency that `rank` samples do not exceed.
    static base::duration find_quantile(const histogram_type& sum, double rank)
    {
        return std::chrono::duration_cast<base::duration>(
            std::chrono::duration<double, std::milli>(find_quantile_ms(sum, rank)));
    }

    static double find_quantile_ms(const histogram_type& sum, double rank)
    {
        double weight_below = sum.at(-1);
        for (int index = 0; index < static_cast<int>(bucket_count); ++index)
        {
            const double weight = sum.at(index);
            if (weight > 0 && weight_below + weight >= rank)
            {
                const auto bin = sum.axis().bin(index);
                return bin.lower() +
                       (bin.upper() - bin.lower()) * std::max(0.0, (rank - weight_below) / weight);
            }
            weight_below += weight;
        }
        return max_latency_ms;
    }

    const Clock& m_clock;
    settings m_settings;
    std::atomic<base::duration::rep> m_refresh_at;
    // Zero while there is no estimate.
    std::atomic<base::duration::rep> m_estimate{0};
    std::atomic<base::duration::rep> m_median{0};
    std::array<stripe, stripe_count> m_stripes;
};

} // namespace ospreystair::routing

#endif
