// The two kinds of time that dispatch needs: monotonic for deadlines, wall time for the age of
// keys.

#ifndef OSPREYSTAIR_DISPATCH_DISPATCH_CLOCK_HPP
#define OSPREYSTAIR_DISPATCH_DISPATCH_CLOCK_HPP

#include <chrono>
#include <concepts>

#include "base/clock.hpp"

namespace ospreystair::dispatch
{

/// A monotonic clock that also tells the seconds since the Unix epoch.
template<class Clock>
concept dispatch_clock = base::clock_source<Clock> && requires(const Clock& clock)
{
    {
        clock.unix_time()
        } -> std::same_as<std::chrono::seconds>;
};

/// The machine's clocks.
struct system_dispatch_clock : base::steady_clock_source
{
    std::chrono::seconds unix_time() const
    {
        return std::chrono::duration_cast<std::chrono::seconds>(
            std::chrono::system_clock::now().time_since_epoch());
    }
};

} // namespace ospreystair::dispatch

#endif
