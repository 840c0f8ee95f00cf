// Finds the data centres in a request's home regions.

#include "forwarding/home_data_centres.hpp"

#include <algorithm>

namespace ospreystair::forwarding
{

home_data_centres::home_data_centres(const std::map<std::string, std::string>& regions,
                                     const std::vector<std::string>& route_regions,
                                     const std::vector<std::string>& team_regions)
    : m_is_limited(!route_regions.empty() || !team_regions.empty())
{
    if (!m_is_limited)
        return;
    const auto names = [](const std::vector<std::string>& list, const std::string& region)
    {
        return list.empty() || std::find(list.begin(), list.end(), region) != list.end();
    };
    // The map's order is the sorted one.
    for (const auto& [data_centre, region] : regions)
        if (names(route_regions, region) && names(team_regions, region))
            m_permitted.push_back(data_centre);
}

bool home_data_centres::contains(const std::string& data_centre) const
{
    return std::binary_search(m_permitted.begin(), m_permitted.end(), data_centre);
}

} // namespace ospreystair::forwarding
