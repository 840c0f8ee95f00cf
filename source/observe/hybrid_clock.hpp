// Hybrid logical clock: stamps that follow wall time and never contradict the order of messages.
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

/// A point in the causal order of events.
struct stamp
{
    /// Wall time since the Unix epoch, or later when a message carried a later one.
    std::chrono::milliseconds physical{0};
    /// Orders events within one millisecond.
    std::uint32_t logical = 0;

    auto operator<=>(const stamp&) const = default;

    /// Returns `<milliseconds>.<logical>`, the form that messages and logs carry.
    std::string to_text() const;
    /// Parses the form of to_text(); empty when the text has another form.
    static std::optional<stamp> from_text(std::string_view text);
};

/// Issues stamps. Thread-safe.
class hybrid_clock
{
public:
    /// A remote stamp further ahead than this is ignored, so that one wrong clock cannot move all.
    static constexpr std::chrono::milliseconds max_lead{60'000};

    /// Returns a stamp later than all issued or observed before.
    stamp tick();
    /// Takes in the stamp of a received message.
    void observe(stamp remote);

private:
    std::mutex m_mutex;
    // Guarded by m_mutex. Never decreases.
    stamp m_last;
};

} // namespace ospreystair::observe

#endif
