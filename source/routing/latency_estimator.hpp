// Learns a quantile of a service's sub-request latency, and forgets old samples.

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

/// Streaming quantile over a logarithmic histogram whose weights halve at each half-life.
/// Thread-safe: threads record into different parts, each under its own lock.
template<base::clock_source Clock>
class latency_estimator
{
public:
    struct settings
    {
        double quantile = 0.95;
        base::duration half_life = std::chrono::seconds{10};
        /// How long a computed quantile is used again.
        base::duration refresh = std::chrono::milliseconds{50};
        /// No estimate is given below this many (decayed) samples.
        double fewest_samples = 50;
    };

    explicit latency_estimator(const Clock& clock, settings values = {})
        : m_clock(clock), m_settings(values), m_refresh_at(clock.now().time_since_epoch().count())
    {
        for (part& each : m_parts)
            each.decayed_at = clock.now();
    }

    /// Records the first attempt of a sub-request, also when it was cancelled because a hedge was
    /// faster: its waiting time lies above the quantile either way. Hedges are not recorded.
    void record(base::duration latency)
    {
        part& mine = m_parts[thread_number() % part_count];
        const std::scoped_lock lock(mine.mutex);
        decay(mine, m_clock.now());
        mine.histogram(std::chrono::duration<double, std::milli>(latency).count());
    }

    /// Returns the learnt quantile; empty until enough is known.
    std::optional<base::duration> estimate()
    {
        const auto now = m_clock.now().time_since_epoch().count();
        auto due = m_refresh_at.load(std::memory_order_relaxed);
        if (now >= due && m_refresh_at.compare_exchange_strong(
                              due, now + m_settings.refresh.count(), std::memory_order_relaxed))
            m_estimate.store(compute().count(), std::memory_order_relaxed);
        const base::duration value{m_estimate.load(std::memory_order_relaxed)};
        if (value.count() == 0)
            return std::nullopt;
        return value;
    }

private:
    // 0.05 ms to 100 s in 240 steps of about 6%.
    static constexpr unsigned bucket_count = 240;
    static constexpr double lowest_ms = 0.05;
    static constexpr double highest_ms = 100'000;
    static constexpr std::size_t part_count = 8;

    using axis_type =
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using histogram_type =
        boost::histogram::histogram<std::tuple<axis_type>, boost::histogram::dense_storage<double>>;

    static axis_type make_axis() { return axis_type(bucket_count, lowest_ms, highest_ms); }

    /// Numbers threads one after the other: hashes of thread ids put several threads in one part.
    static std::size_t thread_number()
    {
        static std::atomic<std::size_t> next{0};
        thread_local const std::size_t number = next.fetch_add(1, std::memory_order_relaxed);
        return number;
    }

    // Aligned, so that threads do not share cache lines.
    struct alignas(64) part
    {
        std::mutex mutex;
        // Guarded by `mutex`.
        histogram_type histogram{make_axis()};
        base::time_point decayed_at{};
    };

    void decay(part& target, base::time_point now)
    {
        // In steps of a tenth of the half-life, because each one touches all buckets.
        const base::duration age = now - target.decayed_at;
        if (age < m_settings.half_life / 10)
            return;
        target.histogram *= std::exp2(-std::chrono::duration<double>(age) /
                                      std::chrono::duration<double>(m_settings.half_life));
        target.decayed_at = now;
    }

    base::duration compute()
    {
        histogram_type sum{make_axis()};
        for (part& each : m_parts)
        {
            const std::scoped_lock lock(each.mutex);
            decay(each, m_clock.now());
            sum += each.histogram;
        }
        double total = 0;
        for (const double weight : sum)
            total += weight;
        if (total < m_settings.fewest_samples)
            return base::duration{0};
        return std::chrono::duration_cast<base::duration>(
            std::chrono::duration<double, std::milli>(find_quantile(sum, total)));
    }

    double find_quantile(const histogram_type& sum, double total) const
    {
        const double rank = total * m_settings.quantile;
        double below = sum.at(-1);
        for (int index = 0; index < static_cast<int>(bucket_count); ++index)
        {
            const double weight = sum.at(index);
            if (weight > 0 && below + weight >= rank)
            {
                const auto bin = sum.axis().bin(index);
                return bin.lower() +
                       (bin.upper() - bin.lower()) * std::max(0.0, (rank - below) / weight);
            }
            below += weight;
        }
        return highest_ms;
    }

    const Clock& m_clock;
    settings m_settings;
    std::atomic<base::duration::rep> m_refresh_at;
    // Zero while unknown.
    std::atomic<base::duration::rep> m_estimate{0};
    std::array<part, part_count> m_parts;
};

} // namespace ospreystair::routing

#endif
