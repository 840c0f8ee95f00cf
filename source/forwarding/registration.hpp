// The registry's entry of one replica.

#ifndef OSPREYSTAIR_FORWARDING_REGISTRATION_HPP
#define OSPREYSTAIR_FORWARDING_REGISTRATION_HPP

#include <chrono>
#include <cstdint>
#include <string>

namespace ospreystair::forwarding
{

/// The entry that a replica writes to the registry.
struct registration
{
    std::string id;
    std::string service;
    /// ip:port
    std::string address;
    std::string data_centre;
    /// Number of requests that the replica runs concurrently; at least 1.
    std::uint32_t slots = 1;
    bool is_draining = false;
    /// Remaining time of the slow phase after the replica's start.
    std::chrono::milliseconds warm_up_left{0};
    /// Start time since the epoch. Differs after a restart, even when the replica keeps its id.
    std::chrono::milliseconds started_at{0};

    bool operator==(const registration&) const = default;
    /// Whether both entries describe the same run of the same process.
    bool is_same_incarnation(const registration& other) const
    {
        return id == other.id && started_at == other.started_at && address == other.address &&
               service == other.service;
    }
};

} // namespace ospreystair::forwarding

#endif
