// Detects entries of a shared list that are no longer renewed.
//
// Members renew their entries periodically. The entry of a replaced VM is not removed in any other
// way. Members divide shared limits by the number of entries, so that each entry left behind would
// reduce the share of every member.

#ifndef OSPREYSTAIR_MEMBERSHIP_ENTRY_EXPIRY_HPP
#define OSPREYSTAIR_MEMBERSHIP_ENTRY_EXPIRY_HPP

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.hpp"

namespace ospreystair::membership
{

/// An entry as one read of the list returned it.
struct listed_entry
{
    std::string name;
    /// Changes with each renewal.
    std::uint64_t revision = 0;
};

/// Uses only the clock and the observations of this reader, so that clocks of different members are
/// never compared. Not thread-safe.
class entry_expiry
{
public:
    /// An entry expires after `lifetime` without a renewal.
    explicit entry_expiry(base::duration lifetime) : m_lifetime(lifetime) {}

    /// Processes one complete read of the list, and returns the expired entries.
    std::vector<listed_entry> observe(const std::vector<listed_entry>& entries,
                                      base::time_point now)
    {
        std::vector<listed_entry> expired;
        std::map<std::string, observation> observations;
        for (const listed_entry& entry : entries)
        {
            const auto previous = m_observations.find(entry.name);
            const bool is_unchanged =
                previous != m_observations.end() && previous->second.revision == entry.revision;
            const observation latest{entry.revision,
                                     is_unchanged ? previous->second.first_seen_at : now};
            if (now - latest.first_seen_at >= m_lifetime)
                expired.push_back(entry);
            observations.emplace(entry.name, latest);
        }
        m_observations = std::move(observations);
        return expired;
    }

    /// To be called when the list could not be read. Members may not have been able to renew their
    /// entries either, so that the lifetimes of all entries restart.
    void record_outage() { m_observations.clear(); }

private:
    struct observation
    {
        std::uint64_t revision = 0;
        // When this reader first saw the revision.
        base::time_point first_seen_at{};
    };

    const base::duration m_lifetime;
    std::map<std::string, observation> m_observations;
};

} // namespace ospreystair::membership

#endif
