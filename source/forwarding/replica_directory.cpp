// Applies registry changes, and delays the removal of replicas whose entries are missing.

#include "forwarding/replica_directory.hpp"

#include <algorithm>
#include <utility>

namespace ospreystair::forwarding
{

replica_directory::replica_directory(std::chrono::milliseconds removal_delay,
                                     replica_callback on_added, replica_callback on_removed)
    : m_removal_delay(removal_delay), m_on_added(std::move(on_added)),
      m_on_removed(std::move(on_removed))
{
}

void replica_directory::apply_listing(const std::vector<registration>& listing,
                                      base::time_point now, base::duration age,
                                      listing_extent extent)
{
    const bool is_restored = std::exchange(m_is_restored, false);
    std::set<std::string> listed;
    for (const registration& entry : listing)
    {
        listed.insert(entry.id);
        if (is_restored && is_from_copy(entry))
            m_reappearances[entry.id] = {entry, now + reappearance_delay};
        else
            apply_entry(entry, now);
    }
    std::vector<std::string> missing;
    for (const auto& [id, known] : m_replicas)
        if (extent == listing_extent::complete && !listed.contains(id))
            missing.push_back(id);
    for (const std::string& id : missing)
        apply_removal(id, now, age);
    m_has_listing = true;
}

bool replica_directory::is_from_copy(const registration& entry) const
{
    const auto known = m_replicas.find(entry.id);
    if (known != m_replicas.end())
        return m_removal_times.contains(entry.id) &&
               known->second->registry_entry().is_same_incarnation(entry);
    const auto departed = m_departures.find(entry.id);
    return departed != m_departures.end() && departed->second.entry.is_same_incarnation(entry);
}

void replica_directory::apply_entry(const registration& entry, base::time_point now)
{
    m_reappearances.erase(entry.id);
    const auto departed = m_departures.find(entry.id);
    // A replica that was draining does not come back without a new start.
    if (departed != m_departures.end() && departed->second.entry.is_draining &&
        departed->second.entry.is_same_incarnation(entry))
        return;
    const auto found = m_replicas.find(entry.id);
    if (found != m_replicas.end() && found->second->registry_entry().is_same_incarnation(entry))
    {
        found->second->update(entry, now);
        mark_evacuated(*found->second);
        m_removal_times.erase(entry.id);
        return;
    }
    if (found != m_replicas.end())
        remove(entry.id, now);
    m_departures.erase(entry.id);
    auto added = std::make_shared<replica>(entry, now);
    mark_evacuated(*added);
    m_replicas[entry.id] = added;
    m_by_service[entry.service].push_back(added);
    m_on_added(added);
}

void replica_directory::apply_removal(const std::string& id, base::time_point now,
                                      base::duration age)
{
    m_reappearances.erase(id);
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end())
        return;
    found->second->set_unconfirmed(true);
    // After an outage the entry may have been missing for any time already.
    const base::duration delay =
        std::max<base::duration>(m_removal_delay - age, m_removal_delay / min_delay_divisor);
    m_removal_times.try_emplace(id,
                                now < m_reregistration_end ? m_reregistration_end : now + delay);
}

void replica_directory::set_evacuated(std::set<std::string> data_centres)
{
    m_evacuated = std::move(data_centres);
    for (const auto& [id, known] : m_replicas)
        mark_evacuated(*known);
}

void replica_directory::mark_evacuated(replica& known) const
{
    known.set_evacuated(m_evacuated.contains(known.registry_entry().data_centre));
}

void replica_directory::record_outage()
{
    m_is_registry_down = true;
}

void replica_directory::record_recovery(base::time_point now)
{
    if (!m_is_registry_down)
        return;
    m_is_registry_down = false;
    m_reregistration_end = now + reregistration_time;
}

void replica_directory::record_restoration(base::time_point now)
{
    m_is_restored = true;
    m_reregistration_end = now + reregistration_time;
}

void replica_directory::add_due_reappearances(base::time_point now)
{
    std::vector<registration> due;
    for (const auto& [id, item] : m_reappearances)
        if (now >= item.due_at)
            due.push_back(item.entry);
    for (const registration& entry : due)
        apply_entry(entry, now);
}

void replica_directory::remove_expired(base::time_point now)
{
    if (m_is_registry_down)
        return;
    add_due_reappearances(now);
    std::vector<std::string> expired;
    for (const auto& [id, until] : m_removal_times)
        if (now >= until)
            expired.push_back(id);
    for (const std::string& id : expired)
        remove(id, now);
}

std::optional<base::time_point> replica_directory::next_expiry() const
{
    if (m_is_registry_down)
        return std::nullopt;
    std::optional<base::time_point> result;
    for (const auto& [id, until] : m_removal_times)
        result = result ? std::min(*result, until) : until;
    for (const auto& [id, item] : m_reappearances)
        result = result ? std::min(*result, item.due_at) : item.due_at;
    return result;
}

const std::vector<std::shared_ptr<replica>>&
replica_directory::replicas_of(const std::string& service) const
{
    static const std::vector<std::shared_ptr<replica>> none;
    const auto found = m_by_service.find(service);
    return found == m_by_service.end() ? none : found->second;
}

pace_summary replica_directory::summarize_pace(base::time_point now) const
{
    pace_summary result;
    for (const auto& [id, known] : m_replicas)
    {
        const double share = known->pace().share(now);
        result.reduced += share < 1 ? 1 : 0;
        result.lowest_share = std::min(result.lowest_share, share);
    }
    return result;
}

void replica_directory::remove(const std::string& id, base::time_point now)
{
    const auto found = m_replicas.find(id);
    const std::shared_ptr<replica> removed = found->second;
    std::erase_if(m_departures, [now](const auto& item)
                  { return now - item.second.removed_at > departure_memory; });
    departure& departed = m_departures[id];
    departed = {removed->registry_entry(), now};
    departed.entry.is_draining = departed.entry.is_draining || removed->is_leaving();
    m_replicas.erase(found);
    m_removal_times.erase(id);
    const auto service = m_by_service.find(removed->registry_entry().service);
    std::erase(service->second, removed);
    if (service->second.empty())
        m_by_service.erase(service);
    removed->set_listed(false);
    m_on_removed(removed);
}

} // namespace ospreystair::forwarding
