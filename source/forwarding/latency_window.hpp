// A sliding window of recent latencies, and its quantiles.

#ifndef OSPREYSTAIR_FORWARDING_LATENCY_WINDOW_HPP
#define OSPREYSTAIR_FORWARDING_LATENCY_WINDOW_HPP

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>

#include "base/clock.hpp"

namespace ospreystair::forwarding
{

/// Keeps the most recent samples unaggregated. Replies to one query over many shards arrive in
/// order of rising latency, which biases estimators that move with each sample. Takes one kilobyte
/// for each route. `routing::latency_estimator` keeps complete histograms, shared by many threads.
class latency_window
{
public:
    void record(base::duration sample)
    {
        m_samples[m_next] = std::chrono::duration<float>(sample).count();
        m_next = (m_next + 1) % capacity;
        m_size = std::min(m_size + 1, capacity);
    }

    std::size_t size() const { return m_size; }

    /// `fraction` lies between 0 and 1. Needs at least one sample.
    base::duration quantile(double fraction) const
    {
        std::array<float, capacity> sorted = m_samples;
        const auto rank = static_cast<std::ptrdiff_t>(fraction * static_cast<double>(m_size - 1));
        std::nth_element(sorted.begin(), sorted.begin() + rank,
                         sorted.begin() + static_cast<std::ptrdiff_t>(m_size));
        return std::chrono::duration_cast<base::duration>(
            std::chrono::duration<float>(sorted[static_cast<std::size_t>(rank)]));
    }

private:
    // Holds the samples of two to three queries over the largest number of shards.
    static constexpr std::size_t capacity = 256;

    // Seconds.
    std::array<float, capacity> m_samples{};
    std::size_t m_next = 0;
    std::size_t m_size = 0;
};

} // namespace ospreystair::forwarding

#endif
