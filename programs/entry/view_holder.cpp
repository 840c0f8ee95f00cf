// Adopts views without decreasing any version, and adds the drains observed by this process.

#include "programs/entry/view_holder.hpp"

#include <set>
#include <utility>

namespace ospreystair::entry
{

namespace
{

// Replaces the older configuration of `candidate` by the newer one of the current view. Drains by
// operators belong to the configuration: those of the newer one are kept with it, and those of the
// older one count only if the current view has them too, for example from gossip.
void restore_newer_configuration(const configuration::view& newer, configuration::view& candidate)
{
    for (const std::string& name : candidate.configuration.draining)
        if (!newer.draining.contains(name))
            candidate.draining.erase(name);
    candidate.configuration = newer.configuration;
    candidate.configuration_version = newer.configuration_version;
    candidate.draining.insert(newer.configuration.draining.begin(),
                              newer.configuration.draining.end());
}

} // namespace

std::shared_ptr<const configuration::view> view_holder::current() const
{
    const std::scoped_lock lock(m_mutex);
    return m_view;
}

std::shared_ptr<const configuration::view> view_holder::adopt(configuration::view candidate,
                                                              base::time_point now)
{
    const std::scoped_lock lock(m_mutex);
    // An agent that has not found any configuration yet sends version 0.
    if (!m_view && candidate.configuration_version == 0)
        return nullptr;
    if (m_view)
    {
        if (m_view->configuration_version > candidate.configuration_version)
            restore_newer_configuration(*m_view, candidate);
        for (const auto& [service_name, state] : m_view->indexes)
        {
            const auto [position, is_new] = candidate.indexes.emplace(service_name, state);
            if (!is_new && position->second.current_version < state.current_version)
                position->second = state;
        }
    }
    for (auto& [name, drain] : m_observed_drains)
        if (candidate.draining.contains(name))
            drain.is_known_to_agent = true;
        else if (drain.is_known_to_agent)
            drain.end = now;
    std::erase_if(m_observed_drains, [now](const auto& item) { return item.second.end <= now; });
    for (const auto& [name, drain] : m_observed_drains)
        candidate.draining.insert(name);
    m_view = std::make_shared<const configuration::view>(std::move(candidate));
    return m_view;
}

void view_holder::mark_draining(const std::string& replica_name, base::time_point now)
{
    const std::scoped_lock lock(m_mutex);
    const bool is_in_view = m_view && m_view->draining.contains(replica_name);
    // A drain that is in the view but was not observed here was reported by the agent.
    const auto position =
        m_observed_drains.try_emplace(replica_name, observed_drain{now, is_in_view}).first;
    position->second.end = now + observed_drain_lifetime;
    if (!m_view || is_in_view)
        return;
    configuration::view changed = *m_view;
    changed.draining.insert(replica_name);
    m_view = std::make_shared<const configuration::view>(std::move(changed));
    m_new_drains.push_back(replica_name);
}

std::shared_ptr<const configuration::view> view_holder::expire_drains(base::time_point now)
{
    const std::scoped_lock lock(m_mutex);
    std::set<std::string> expired;
    for (const auto& [name, drain] : m_observed_drains)
        if (drain.end <= now && !drain.is_known_to_agent)
            expired.insert(name);
    std::erase_if(m_observed_drains, [now](const auto& item) { return item.second.end <= now; });
    if (!m_view || expired.empty())
        return m_view;
    configuration::view changed = *m_view;
    for (const std::string& name : expired)
        changed.draining.erase(name);
    m_view = std::make_shared<const configuration::view>(std::move(changed));
    return m_view;
}

std::vector<std::string> view_holder::take_new_drains()
{
    const std::scoped_lock lock(m_mutex);
    return std::exchange(m_new_drains, {});
}

void view_holder::retry_drain_report(const std::string& replica_name)
{
    const std::scoped_lock lock(m_mutex);
    m_new_drains.push_back(replica_name);
}

} // namespace ospreystair::entry
