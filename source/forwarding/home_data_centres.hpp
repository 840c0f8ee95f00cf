// Where a request may be served: in its home regions.

#ifndef OSPREYSTAIR_FORWARDING_HOME_DATA_CENTRES_HPP
#define OSPREYSTAIR_FORWARDING_HOME_DATA_CENTRES_HPP

#include <map>
#include <string>
#include <vector>

namespace ospreystair::forwarding
{

/// Guards against this failure: when the replicas at home are down or busy, a request that must not
/// leave its region is repeated or handed over elsewhere.
class home_data_centres
{
public:
    /// Permits every data centre.
    home_data_centres() = default;

    /// Permits the data centres in a region that both lists name; an empty list names all.
    /// `regions` holds the region of each data centre. One without a region is nobody's home.
    home_data_centres(const std::map<std::string, std::string>& regions,
                      const std::vector<std::string>& route_regions,
                      const std::vector<std::string>& team_regions);

    bool is_limited() const { return m_is_limited; }
    bool permits(const std::string& data_centre) const
    {
        return !m_is_limited || contains(data_centre);
    }

private:
    bool contains(const std::string& data_centre) const;

    bool m_is_limited = false;
    // Sorted; empty unless m_is_limited.
    std::vector<std::string> m_permitted;
};

} // namespace ospreystair::forwarding

#endif
