// Which VM keeps a team's quota.

#ifndef OSPREYSTAIR_TEAMS_KEEPER_CHOICE_HPP
#define OSPREYSTAIR_TEAMS_KEEPER_CHOICE_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "base/hash.hpp"
#include "base/random.hpp"

namespace ospreystair::teams
{

/// Rendezvous hashing: a VM that comes or goes moves only the teams that it keeps. All VMs with the
/// same list choose the same keeper.
class keeper_choice
{
public:
    /// Returns whether the list has changed.
    bool adopt(std::vector<std::string> vms)
    {
        if (vms == m_vms)
            return false;
        m_vms = std::move(vms);
        m_hashes.clear();
        for (const std::string& vm : m_vms)
            m_hashes.push_back(base::stable_hash(vm));
        return true;
    }

    /// Returns an empty name while no list is known. The result refers to this object.
    std::string_view find(std::string_view team) const
    {
        const std::uint64_t team_hash = base::stable_hash(team);
        std::string_view result;
        std::uint64_t highest = 0;
        for (std::size_t index = 0; index < m_vms.size(); ++index)
        {
            const std::uint64_t weight =
                base::mix_bits(team_hash ^ base::mix_bits(m_hashes[index]));
            if (!result.empty() && weight <= highest)
                continue;
            highest = weight;
            result = m_vms[index];
        }
        return result;
    }

    const std::vector<std::string>& vms() const { return m_vms; }

private:
    std::vector<std::string> m_vms;
    // At the positions of m_vms.
    std::vector<std::uint64_t> m_hashes;
};

} // namespace ospreystair::teams

#endif
