// A VM's place in the fleet, by the list of VMs.

#include "routing/rate_share.hpp"

#include <algorithm>

#include "base/hash.hpp"

namespace ospreystair::routing
{

fleet_position find_fleet_position(const std::string& own_vm, std::vector<std::string> vms,
                                   base::time_point epoch)
{
    std::sort(vms.begin(), vms.end());
    fleet_position result;
    result.vm_count = std::max<std::size_t>(1, vms.size());
    const auto found = std::lower_bound(vms.begin(), vms.end(), own_vm);
    const bool is_listed = found != vms.end() && *found == own_vm;
    result.rank = is_listed ? static_cast<std::size_t>(found - vms.begin())
                            : base::stable_hash(own_vm) % result.vm_count;
    result.epoch = epoch;
    result.is_listed = is_listed;
    return result;
}

} // namespace ospreystair::routing
