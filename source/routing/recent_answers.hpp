// Remembers when replicas last answered requests of the same content.

#ifndef OSPREYSTAIR_ROUTING_RECENT_ANSWERS_HPP
#define OSPREYSTAIR_ROUTING_RECENT_ANSWERS_HPP

#include <cstddef>
#include <optional>
#include <vector>

#include "base/clock.hpp"
#include "base/fingerprint.hpp"

namespace ospreystair::routing
{

/// Holds the last answers in a table of fixed size, in which a newer request displaces an older one
/// of the same slot. Contents that callers request often stay. Not thread-safe.
class recent_answers
{
public:
    static constexpr std::size_t slot_count = 1'024;

    void record(const base::fingerprint& request, base::time_point now)
    {
        m_slots[request.low % slot_count] = {request, now};
    }

    std::optional<base::time_point> find(const base::fingerprint& request) const
    {
        const slot& entry = m_slots[request.low % slot_count];
        return entry.request == request && entry.answered_at != base::time_point{}
                   ? std::optional(entry.answered_at)
                   : std::nullopt;
    }

private:
    struct slot
    {
        base::fingerprint request;
        base::time_point answered_at{};
    };

    std::vector<slot> m_slots = std::vector<slot>(slot_count);
};

} // namespace ospreystair::routing

#endif
