// Decides when a VM that was added to a running system begins to keep quotas. Answers this failure:
// VMs read the list of VMs at different times, so that the new VM and the one that kept a quota
// before would both grant it.

#ifndef OSPREYSTAIR_TEAMS_KEEPER_TAKEOVER_HPP
#define OSPREYSTAIR_TEAMS_KEEPER_TAKEOVER_HPP

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "teams/keeper_choice.hpp"

namespace ospreystair::teams
{

/// A VM that knows of the new one does not keep the quotas that are the new one's, since the choice
/// of a keeper is the same for all who know the same VMs. So the new VM keeps a quota once it has
/// told the VM that would keep it otherwise. That one may be new too and not have told its own
/// predecessor; then the predecessor has to be told as well. Not thread-safe.
class keeper_takeover
{
public:
    /// This VM is new: others may not know of it. A VM that only starts again is known.
    void begin() { m_is_settled = false; }

    /// `vm` knows of this VM. `is_settled` tells whether all VMs know of `vm`.
    void record_told(const std::string& vm, bool is_settled)
    {
        m_told[vm] = m_told[vm] || is_settled;
    }
    bool has_told(const std::string& vm) const { return m_told.contains(vm); }

    /// Updates whether all VMs of the list know of this one.
    void update(const std::string& own_vm, const std::vector<std::string>& vms)
    {
        m_is_settled = m_is_settled || std::all_of(vms.begin(), vms.end(),
                                                   [&](const std::string& vm)
                                                   { return vm == own_vm || has_told(vm); });
    }
    bool is_settled() const { return m_is_settled; }

    /// Whether this VM, the first of `choice` for the team, may keep its quota.
    bool may_keep(const keeper_choice& choice, std::string_view team) const
    {
        if (m_is_settled)
            return true;
        for (unsigned rank = 1;; ++rank)
        {
            const std::string predecessor(choice.find(team, rank));
            if (predecessor.empty())
                return true;
            const auto found = m_told.find(predecessor);
            if (found == m_told.end())
                return false;
            if (found->second)
                return true;
        }
    }

private:
    bool m_is_settled = true;
    // The VMs that know of this one, and whether they are settled.
    std::map<std::string, bool> m_told;
};

} // namespace ospreystair::teams

#endif
