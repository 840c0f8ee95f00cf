// Changes of the registry, and the doubt about missing entries after an outage.

#include "forwarding/replica_directory.hpp"

#include <set>
#include <utility>

namespace ospreystair::forwarding
{

replica_directory::replica_directory(observer on_added, observer on_removed)
    : m_on_added(std::move(on_added)), m_on_removed(std::move(on_removed))
{
}

void replica_directory::apply_listing(const std::vector<registration>& listing,
                                      base::time_point now)
{
    std::set<std::string> listed;
    for (const registration& entry : listing)
    {
        listed.insert(entry.id);
        apply_entry(entry, now);
    }
    std::vector<std::string> missing;
    for (const auto& [id, known] : m_replicas)
        if (!listed.contains(id))
            missing.push_back(id);
    for (const std::string& id : missing)
        apply_removal(id, now);
    m_has_listing = true;
}

void replica_directory::apply_entry(const registration& entry, base::time_point now)
{
    const auto found = m_replicas.find(entry.id);
    if (found != m_replicas.end() && found->second->facts().is_same_incarnation(entry))
    {
        found->second->update(entry, now);
        return;
    }
    if (found != m_replicas.end())
        remove(entry.id);
    auto added = std::make_shared<replica>(entry, now);
    m_replicas[entry.id] = added;
    m_by_service[entry.service].push_back(added);
    m_on_added(added);
}

void replica_directory::apply_removal(const std::string& id, base::time_point now)
{
    const auto found = m_replicas.find(id);
    if (found == m_replicas.end())
        return;
    if (!m_is_away && now >= m_doubt_until)
        remove(id);
    else
        found->second->set_doubtful(true);
}

void replica_directory::record_outage()
{
    m_is_away = true;
}

void replica_directory::record_return(base::time_point now)
{
    if (!m_is_away)
        return;
    m_is_away = false;
    m_doubt_until = now + return_time;
}

void replica_directory::sweep(base::time_point now)
{
    if (m_is_away || now < m_doubt_until)
        return;
    std::vector<std::string> missing;
    for (const auto& [id, known] : m_replicas)
        if (known->is_doubtful())
            missing.push_back(id);
    for (const std::string& id : missing)
        remove(id);
}

std::optional<base::time_point> replica_directory::sweep_at() const
{
    if (m_is_away)
        return std::nullopt;
    for (const auto& [id, known] : m_replicas)
        if (known->is_doubtful())
            return m_doubt_until;
    return std::nullopt;
}

const std::vector<std::shared_ptr<replica>>&
replica_directory::replicas_of(const std::string& service) const
{
    static const std::vector<std::shared_ptr<replica>> none;
    const auto found = m_by_service.find(service);
    return found == m_by_service.end() ? none : found->second;
}

void replica_directory::remove(const std::string& id)
{
    const auto found = m_replicas.find(id);
    const std::shared_ptr<replica> removed = found->second;
    m_replicas.erase(found);
    const auto service = m_by_service.find(removed->facts().service);
    std::erase(service->second, removed);
    if (service->second.empty())
        m_by_service.erase(service);
    removed->set_listed(false);
    m_on_removed(removed);
}

} // namespace ospreystair::forwarding
