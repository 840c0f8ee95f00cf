// The latest durations of one kind, and their quantiles.

#ifndef OSPREYSTAIR_FORWARDING_LATENCY_WINDOW_HPP
#define OSPREYSTAIR_FORWARDING_LATENCY_WINDOW_HPP

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>

#include "base/clock.hpp"

namespace ospreystair::forwarding
{

/// Keeps the last samples as they are. Replies to one query over many shards come in rising order,
/// which misleads estimates that move with each sample. A kilobyte for each route;
/// `routing::latency_estimator` keeps whole histograms for many threads.
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
    // Two to three queries over the largest number of shards.
    static constexpr std::size_t capacity = 256;

    // Seconds.
    std::array<float, capacity> m_samples{};
    std::size_t m_next = 0;
    std::size_t m_size = 0;
};

} // namespace ospreystair::forwarding

#endif
