// Clocks. Code that makes decisions from the time takes any type that models `clock_source`, so
// that tests can supply their own clock.

#ifndef OSPREYSTAIR_BASE_CLOCK_HPP
#define OSPREYSTAIR_BASE_CLOCK_HPP

#include <chrono>
#include <concepts>

namespace ospreystair::base
{

using time_point = std::chrono::steady_clock::time_point;
using duration = std::chrono::steady_clock::duration;

/// A source of monotonic time.
template<class Clock>
concept clock_source = requires(const Clock& clock)
{
    {
        clock.now()
        } -> std::same_as<time_point>;
};

/// The machine's monotonic clock.
struct steady_clock_source
{
    time_point now() const { return std::chrono::steady_clock::now(); }
};

/// Returns the start of the Unix epoch on the monotonic clock, as far as this machine's time of day
/// is right: an instant that is about the same on all machines.
inline time_point unix_epoch()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::steady_clock::now() - std::chrono::duration_cast<duration>(since_epoch);
}

/// A clock that stays at the monotonic time of the last sample(). An event loop takes one sample
/// for each event, so that all decisions about the event use the same time.
class sampled_clock
{
public:
    time_point now() const { return m_now; }
    void sample() { m_now = std::chrono::steady_clock::now(); }

private:
    time_point m_now = std::chrono::steady_clock::now();
};

/// A clock that moves only by advance(); for tests and benchmarks of time-dependent code.
class manual_clock
{
public:
    time_point now() const { return m_now; }
    void advance(duration step) { m_now += step; }

private:
    time_point m_now{};
};

} // namespace ospreystair::base

#endif
