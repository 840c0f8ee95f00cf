// Tells which entries of a shared list belong to members that have gone for good.
//
// Members renew their entries from time to time. Nothing else removes one whose VM was replaced,
// and what members share out by the list would become less with each replacement.

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

/// An entry as one read of the list had it.
struct listed_entry
{
    std::string name;
    /// Changes with each renewal.
    std::uint64_t revision = 0;
};

/// Judges by this reader's own clock and by what it has seen itself, so that clocks of different
/// members are never compared. Not thread-safe.
class entry_expiry
{
public:
    /// `lifetime` is the time without a renewal after which an entry counts as gone.
    explicit entry_expiry(base::duration lifetime) : m_lifetime(lifetime) {}

    /// Takes in one complete read, and returns the entries that are gone.
    std::vector<listed_entry> observe(const std::vector<listed_entry>& entries,
                                      base::time_point now)
    {
        std::vector<listed_entry> gone;
        std::map<std::string, observation> seen;
        for (const listed_entry& entry : entries)
        {
            const auto known = m_seen.find(entry.name);
            const bool is_unchanged =
                known != m_seen.end() && known->second.revision == entry.revision;
            const observation latest{entry.revision, is_unchanged ? known->second.since : now};
            if (now - latest.since >= m_lifetime)
                gone.push_back(entry);
            seen.emplace(entry.name, latest);
        }
        m_seen = std::move(seen);
        return gone;
    }

    /// The list could not be read: its members may not have been able to renew their entries
    /// either, so that the time starts anew for all.
    void record_outage() { m_seen.clear(); }

private:
    struct observation
    {
        std::uint64_t revision = 0;
        // When this reader first saw the revision.
        base::time_point since{};
    };

    const base::duration m_lifetime;
    std::map<std::string, observation> m_seen;
};

} // namespace ospreystair::membership

#endif
