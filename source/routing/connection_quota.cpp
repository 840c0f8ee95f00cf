// Divides connections equally while there is at least one for each VM, and by rendezvous hashing
// otherwise.

#include "routing/connection_quota.hpp"

#include <algorithm>
#include <utility>

#include "base/hash.hpp"
#include "base/random.hpp"

namespace ospreystair::routing
{

namespace
{

std::pair<std::uint64_t, std::string_view> rank_of(const std::string& vm,
                                                   std::uint64_t replica_hash)
{
    return {base::mix_bits(base::stable_hash(vm) ^ replica_hash), vm};
}

} // namespace

std::uint32_t shared_connections(std::uint32_t limit)
{
    if (limit == 0)
        return 0;
    return static_cast<std::uint32_t>(std::max<std::uint64_t>(1, std::uint64_t{limit} * 9 / 10));
}

std::uint32_t reserved_connections(std::uint32_t limit)
{
    return limit - shared_connections(limit);
}

std::uint32_t connection_quota(const std::string& vm, const std::vector<std::string>& live_vms,
                               const std::string& replica, std::uint32_t limit)
{
    if (std::find(live_vms.begin(), live_vms.end(), vm) == live_vms.end())
        return 0;
    const std::uint32_t shared = shared_connections(limit);
    if (live_vms.size() <= shared)
        return shared / static_cast<std::uint32_t>(live_vms.size());
    const std::uint64_t replica_hash = base::stable_hash(replica);
    const auto own_rank = rank_of(vm, replica_hash);
    const auto higher_ranked_count = std::count_if(
        live_vms.begin(), live_vms.end(),
        [&](const std::string& other) { return rank_of(other, replica_hash) > own_rank; });
    return higher_ranked_count < static_cast<std::ptrdiff_t>(shared) ? 1 : 0;
}

} // namespace ospreystair::routing
