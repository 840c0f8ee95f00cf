// Orders announcements and take-backs of evacuations by their versions.

#include "forwarding/evacuation_register.hpp"

#include <algorithm>

namespace ospreystair::forwarding
{

evacuation_register::changes evacuation_register::apply_listing(const std::set<std::string>& listed,
                                                                const change_version& version,
                                                                base::time_point now)
{
    changes result;
    if (m_has_listing && version < m_listed)
        return result;
    for (const std::string& data_centre : listed)
        announce(data_centre, version, now, result);
    std::vector<std::string> missing;
    for (const auto& [data_centre, known] : m_evacuations)
        if (!listed.contains(data_centre) && known.version < version)
            missing.push_back(data_centre);
    for (const std::string& data_centre : missing)
        take_back(data_centre, version, result);
    m_listed = version;
    m_has_listing = true;
    std::erase_if(m_ends, [&](const auto& item) { return item.second <= version; });
    return result;
}

evacuation_register::changes evacuation_register::apply_change(const std::string& data_centre,
                                                               bool is_evacuated,
                                                               const change_version& version,
                                                               base::time_point now)
{
    changes result;
    // The newest list has already shown what came before it.
    if (m_has_listing && version <= m_listed)
        return result;
    if (is_evacuated)
        announce(data_centre, version, now, result);
    else
        take_back(data_centre, version, result);
    return result;
}

std::set<std::string> evacuation_register::data_centres() const
{
    std::set<std::string> result;
    for (const auto& [data_centre, known] : m_evacuations)
        result.insert(data_centre);
    return result;
}

change_version evacuation_register::find_end(const std::string& data_centre) const
{
    const auto found = m_ends.find(data_centre);
    return found == m_ends.end() ? change_version{} : found->second;
}

void evacuation_register::announce(const std::string& data_centre, const change_version& version,
                                   base::time_point now, changes& result)
{
    const auto known = m_evacuations.find(data_centre);
    if (known != m_evacuations.end())
    {
        known->second.version = std::max(known->second.version, version);
        return;
    }
    if (version <= find_end(data_centre))
        return;
    m_ends.erase(data_centre);
    m_evacuations[data_centre] = {now, version};
    result.started.push_back(data_centre);
}

void evacuation_register::take_back(const std::string& data_centre, const change_version& version,
                                    changes& result)
{
    const auto known = m_evacuations.find(data_centre);
    if (known != m_evacuations.end() && version <= known->second.version)
        return;
    change_version& end = m_ends[data_centre];
    end = std::max(end, version);
    if (known == m_evacuations.end())
        return;
    m_evacuations.erase(known);
    result.ended.push_back(data_centre);
}

} // namespace ospreystair::forwarding
