// Schedule of the requests (open loop): it depends on rate and seed only, never on answers, so that
// a slow system under test does not reduce its load.

#ifndef OSPREYSTAIR_STANDINS_LOAD_DRIVER_ARRIVAL_SCHEDULE_HPP
#define OSPREYSTAIR_STANDINS_LOAD_DRIVER_ARRIVAL_SCHEDULE_HPP

#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>

#include "base/random.hpp"

namespace ospreystair::load_driver
{

enum class arrival_process
{
    constant,
    poisson
};

/// Schedule `index` of `count` schedules that together have `rate` arrivals a second.
class arrival_schedule
{
public:
    arrival_schedule(arrival_process process, double rate, std::size_t index, std::size_t count,
                     std::uint64_t seed)
        : m_process(process), m_interval_s(static_cast<double>(count) / rate),
          // Constant schedules are interleaved, so that their combination has equal gaps too.
          m_next_s(process == arrival_process::constant ? static_cast<double>(index) / rate : 0),
          m_random(base::mix_bits(seed + index))
    {
        if (process == arrival_process::poisson)
            m_next_s = next_gap_s();
    }

    /// Returns the offset of the next arrival from the start; it never decreases.
    std::chrono::nanoseconds next()
    {
        const double offset_s = m_next_s;
        m_next_s += next_gap_s();
        return std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::duration<double>(offset_s));
    }

private:
    double next_gap_s()
    {
        if (m_process == arrival_process::constant)
            return m_interval_s;
        constexpr std::uint64_t resolution = std::uint64_t{1} << 53;
        // In (0, 1], so that the logarithm is finite.
        const double uniform =
            static_cast<double>(m_random.below(resolution) + 1) / static_cast<double>(resolution);
        return -std::log(uniform) * m_interval_s;
    }

    arrival_process m_process;
    double m_interval_s;
    double m_next_s;
    base::seeded_random m_random;
};

} // namespace ospreystair::load_driver

#endif
