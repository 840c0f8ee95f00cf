// Which data centres are evacuated: operators ask that their replicas get no requests for a while.

#ifndef OSPREYSTAIR_FORWARDING_EVACUATION_REGISTER_HPP
#define OSPREYSTAIR_FORWARDING_EVACUATION_REGISTER_HPP

#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.hpp"

namespace ospreystair::forwarding
{

/// Where a change stands in the history of its source. A later era is always newer: the source came
/// back from an older copy then, and gives out revisions again.
struct change_version
{
    std::uint64_t era = 0;
    std::uint64_t revision = 0;

    auto operator<=>(const change_version&) const = default;
};

/// Guards against this failure: a VM reads announcements and take-backs from several sources, of
/// which some are late. One that reads a take-back before the announcement, or a list of an earlier
/// moment, would leave a data centre without load for ever, or send requests to replicas that are
/// about to be switched off. Not thread-safe.
class evacuation_register
{
public:
    struct evacuation
    {
        /// When this VM heard of it.
        base::time_point since{};
        /// The newest version at which it is known to have been in force.
        change_version version;
    };

    /// Data centres whose state a call has changed.
    struct changes
    {
        std::vector<std::string> started;
        std::vector<std::string> ended;

        bool is_empty() const { return started.empty() && ended.empty(); }
    };

    /// Applies the complete list as of `version`. A data centre that is not listed has been taken
    /// back, unless a newer change says otherwise.
    changes apply_listing(const std::set<std::string>& listed, const change_version& version,
                          base::time_point now);
    /// Applies an announcement or a take-back.
    changes apply_change(const std::string& data_centre, bool is_evacuated,
                         const change_version& version, base::time_point now);

    bool is_evacuated(const std::string& data_centre) const
    {
        return m_evacuations.contains(data_centre);
    }
    /// By data centre.
    const std::map<std::string, evacuation>& evacuations() const { return m_evacuations; }
    std::set<std::string> data_centres() const;
    bool has_listing() const { return m_has_listing; }

private:
    // The newest version that says that the data centre is not evacuated.
    change_version find_end(const std::string& data_centre) const;
    void announce(const std::string& data_centre, const change_version& version,
                  base::time_point now, changes& result);
    void take_back(const std::string& data_centre, const change_version& version, changes& result);

    std::map<std::string, evacuation> m_evacuations;
    // Take-backs that are newer than the newest list. Invariant: each is newer than the evacuation
    // of the same data centre was.
    std::map<std::string, change_version> m_ends;
    // Version of the newest list.
    change_version m_listed;
    bool m_has_listing = false;
};

} // namespace ospreystair::forwarding

#endif
