// Hybrid logical clock: its stamps stay close to wall time and respect causality between messages.
// After Kulkarni et al., "Logical Physical Clocks" (2014).

#ifndef OSPREYSTAIR_OBSERVE_HYBRID_CLOCK_HPP
#define OSPREYSTAIR_OBSERVE_HYBRID_CLOCK_HPP

#include <chrono>
#include <compare>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>

namespace ospreystair::observe
{

/// A timestamp of the hybrid logical clock, which orders causally related events.
struct stamp
{
    /// Wall time since the Unix epoch, or a later time taken from a received message.
    std::chrono::milliseconds physical{0};
    /// Orders events within one millisecond.
    std::uint32_t logical = 0;

    auto operator<=>(const stamp&) const = default;

    /// Returns `<milliseconds>.<logical>`, the format of messages and logs.
    std::string to_text() const;
    /// Parses the format of to_text(); empty when the text has another format.
    static std::optional<stamp> from_text(std::string_view text);
};

/// Issues stamps. Thread-safe.
class hybrid_clock
{
public:
    /// A remote stamp further ahead of wall time than this is ignored, so that one wrong clock
    /// cannot advance the clocks of all processes.
    static constexpr std::chrono::milliseconds max_clock_lead{60'000};

    /// Returns a stamp later than all stamps issued or observed before.
    stamp tick();
    /// Advances the clock to the stamp of a received message if that is later.
    void observe(stamp remote);

private:
    std::mutex m_mutex;
    // Guarded by m_mutex. Never decreases.
    stamp m_last;
};

} // namespace ospreystair::observe

#endif
