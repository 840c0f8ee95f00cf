// What the registry says of one replica.

#ifndef OSPREYSTAIR_FORWARDING_REGISTRATION_HPP
#define OSPREYSTAIR_FORWARDING_REGISTRATION_HPP

#include <chrono>
#include <cstdint>
#include <string>

namespace ospreystair::forwarding
{

/// One replica's own entry in the registry.
struct registration
{
    std::string id;
    std::string service;
    /// ip:port
    std::string address;
    std::string data_centre;
    /// Requests that it works on at a time; at least 1.
    std::uint32_t slots = 1;
    bool is_draining = false;
    /// How much longer it stays slow after its start.
    std::chrono::milliseconds warm_up_left{0};
    /// Start time since the epoch. A replica that starts again may keep its id; then this differs.
    std::chrono::milliseconds started_at{0};

    bool operator==(const registration&) const = default;
    /// Whether both describe the same run of the same process.
    bool is_same_incarnation(const registration& other) const
    {
        return id == other.id && started_at == other.started_at && address == other.address &&
               service == other.service;
    }
};

} // namespace ospreystair::forwarding

#endif
