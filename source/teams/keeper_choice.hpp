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

    /// Returns the keeper (rank 0) or a standby keeper (from rank 1). Returns an empty name when
    /// the list has no more VMs. The result refers to this object.
    std::string_view find(std::string_view team, unsigned rank = 0) const
    {
        std::string_view result = find_below(team, no_limit);
        for (; rank > 0 && !result.empty(); --rank)
            result = find_below(team, weigh(team, base::stable_hash(result)));
        return result;
    }

    const std::vector<std::string>& vms() const { return m_vms; }

private:
    static constexpr std::uint64_t no_limit = ~std::uint64_t{0};

    static std::uint64_t weigh(std::string_view team, std::uint64_t vm_hash)
    {
        return base::mix_bits(base::stable_hash(team) ^ base::mix_bits(vm_hash));
    }

    // Returns the VM of the highest weight below `limit`.
    std::string_view find_below(std::string_view team, std::uint64_t limit) const
    {
        std::string_view result;
        std::uint64_t highest = 0;
        for (std::size_t index = 0; index < m_vms.size(); ++index)
        {
            const std::uint64_t weight = weigh(team, m_hashes[index]);
            if (weight >= limit || (!result.empty() && weight <= highest))
                continue;
            highest = weight;
            result = m_vms[index];
        }
        return result;
    }

    std::vector<std::string> m_vms;
    // At the positions of m_vms.
    std::vector<std::uint64_t> m_hashes;
};

} // namespace ospreystair::teams

#endif
