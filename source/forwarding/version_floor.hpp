// Decides how old a configuration may be with which another VM serves callers of this one.

#ifndef OSPREYSTAIR_FORWARDING_VERSION_FLOOR_HPP
#define OSPREYSTAIR_FORWARDING_VERSION_FLOOR_HPP

#include <chrono>
#include <cstdint>
#include <deque>

#include "base/clock.hpp"

namespace ospreystair::forwarding
{

/// Guards against two failures. A VM that serves its callers through others must not take a
/// configuration back that they have seen. But while a new configuration spreads, VMs read it at
/// slightly different times: a VM that asked the others for it at once would find none that can
/// serve its callers. Not thread-safe.
class version_floor
{
public:
    /// How long callers that were served elsewhere with a newer configuration are not served here.
    /// After this time this VM has the newer configuration too, or has lost the store.
    static constexpr std::chrono::milliseconds outdated_memory{5'000};

    /// Within `spread_time` after this VM, the others have adopted a configuration too.
    explicit version_floor(std::chrono::milliseconds spread_time) : m_spread_time(spread_time) {}

    void set_spread_time(std::chrono::milliseconds spread_time) { m_spread_time = spread_time; }

    /// Records that this VM has adopted a configuration, newer than the one before.
    void record_adopted(std::uint64_t version, base::time_point now);
    /// Records that callers may have seen the configuration through this VM.
    void record_seen(std::uint64_t version);
    /// Records that another VM has served callers of this one with the configuration.
    void record_seen_elsewhere(std::uint64_t version, base::time_point now);

    /// Returns the oldest version with which another VM may serve callers of this one.
    std::uint64_t required(base::time_point now);

    /// Whether callers of this VM have seen a newer configuration elsewhere than `version`, the one
    /// that this VM has.
    bool is_outdated(std::uint64_t version, base::time_point now) const;

private:
    struct adoption
    {
        std::uint64_t version = 0;
        base::time_point adopted_at{};
    };

    // Requires the configurations that have reached the other VMs.
    void raise(base::time_point now);

    std::chrono::milliseconds m_spread_time;
    // Adopted configurations that may not have reached the other VMs, oldest first.
    std::deque<adoption> m_spreading;
    std::uint64_t m_required = 0;
    std::uint64_t m_seen_elsewhere = 0;
    base::time_point m_seen_elsewhere_at{};
};

} // namespace ospreystair::forwarding

#endif
