// The replicas listed in the registry, by service, kept through outages of the registry.

#ifndef OSPREYSTAIR_FORWARDING_REPLICA_DIRECTORY_HPP
#define OSPREYSTAIR_FORWARDING_REPLICA_DIRECTORY_HPP

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "forwarding/replica.hpp"

namespace ospreystair::forwarding
{

/// The replicas at reduced pace.
struct pace_summary
{
    std::size_t reduced = 0;
    /// Smallest share of the usual work; 1 when none is reduced.
    double lowest_share = 1;
};

/// Whether a list of entries has all that there are.
enum class listing_extent
{
    complete,
    partial
};

/// Keeps one `replica` for each incarnation that may receive requests.
///
/// Guards against this failure: entries expire during an outage of the registry, which a VM may not
/// even notice when its watch survives the outage. Live replicas register again within about two
/// seconds of the registry's recovery. Until then a missing entry does not show that a replica has
/// left, so the replica stays in use as a last resort.
class replica_directory
{
public:
    using replica_callback = std::function<void(const std::shared_ptr<replica>&)>;

    /// Time within which live replicas register again after an outage, by the registry's contract.
    /// Without a margin, since a VM notices the recovery later than the replicas do, and a replica
    /// that left during the outage must not get requests for long.
    static constexpr std::chrono::milliseconds reregistration_time{2'000};

    /// A replica whose removal is heard of late is still used for the removal delay divided by
    /// this, since its entry may be back in a moment.
    static constexpr int min_delay_divisor = 3;

    /// `on_added` and `on_removed` are called for each incarnation that is added or removed. A
    /// replica whose entry is removed is kept as unconfirmed until `removal_delay` after the
    /// removal; it is still used then.
    replica_directory(std::chrono::milliseconds removal_delay, replica_callback on_added,
                      replica_callback on_removed);

    /// Sets how long replicas are kept whose entries are removed from now on.
    void set_removal_delay(std::chrono::milliseconds removal_delay)
    {
        m_removal_delay = removal_delay;
    }

    /// Applies the registry's list. `age` is an upper bound of the time since entries that are
    /// missing in a complete list were removed. Entries that are missing in a partial one are kept.
    void apply_listing(const std::vector<registration>& listing, base::time_point now,
                       base::duration age = {}, listing_extent extent = listing_extent::complete);
    void apply_entry(const registration& entry, base::time_point now);
    /// `age` is an upper bound of the time since the removal.
    void apply_removal(const std::string& id, base::time_point now, base::duration age = {});

    /// Sets the data centres whose replicas, present and later ones, get no requests.
    void set_evacuated(std::set<std::string> data_centres);

    /// Records that the registry is unreachable; the known entries are kept.
    void record_outage();
    /// Records that the registry is reachable again. Must be called before its list is applied.
    void record_recovery(base::time_point now);
    /// Records that the registry came back from a copy that is some seconds old. Must be called
    /// before its list is applied. Live replicas write their entries again, as after an outage. An
    /// entry that this VM has already seen removed counts only when it stays for
    /// `reappearance_delay`; that of a replica that was draining does not count at all.
    void record_restoration(base::time_point now);
    /// Time within which an entry that its replica does not renew expires. Of the magnitude of
    /// three registration intervals.
    static constexpr std::chrono::milliseconds reappearance_delay{5'000};
    /// How long removed replicas are remembered; longer than a copy of the registry is old.
    static constexpr std::chrono::minutes departure_memory{5};

    /// Removes the replicas that have been unconfirmed for too long.
    void remove_expired(base::time_point now);
    /// When `remove_expired` is due next; empty without unconfirmed replicas or in an outage.
    std::optional<base::time_point> next_expiry() const;

    /// Replicas of a service in any state; empty when it has none.
    const std::vector<std::shared_ptr<replica>>& replicas_of(const std::string& service) const;
    const std::map<std::string, std::shared_ptr<replica>>& replicas() const { return m_replicas; }
    /// Sums up the replicas that get less than their usual work.
    pace_summary summarize_pace(base::time_point now) const;
    bool has_listing() const { return m_has_listing; }

private:
    struct departure
    {
        registration entry;
        base::time_point removed_at{};
    };
    struct reappearance
    {
        registration entry;
        base::time_point due_at{};
    };

    void remove(const std::string& id, base::time_point now);
    void mark_evacuated(replica& known) const;
    // Whether the entry may be one that the registry has brought back from an older copy.
    bool is_from_copy(const registration& entry) const;
    void add_due_reappearances(base::time_point now);

    std::chrono::milliseconds m_removal_delay;
    replica_callback m_on_added;
    replica_callback m_on_removed;
    bool m_has_listing = false;
    bool m_is_registry_down = false;
    // Whether the next list comes from an older copy.
    bool m_is_restored = false;
    // Removed replicas, by id.
    std::map<std::string, departure> m_departures;
    // Entries from an older copy that are not used yet, by id.
    std::map<std::string, reappearance> m_reappearances;
    // End of the time for replicas to register again after the last outage.
    base::time_point m_reregistration_end{};
    // When each unconfirmed replica is removed, by id.
    std::map<std::string, base::time_point> m_removal_times;
    // Invariant: exactly the replicas of these data centres are marked as evacuated.
    std::set<std::string> m_evacuated;
    // Invariant: m_by_service holds exactly the replicas of m_replicas.
    std::map<std::string, std::shared_ptr<replica>> m_replicas;
    std::unordered_map<std::string, std::vector<std::shared_ptr<replica>>> m_by_service;
};

} // namespace ospreystair::forwarding

#endif
