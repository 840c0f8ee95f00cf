// Assigns connections round by round over the whole list of VMs.

#include "routing/connection_plan.hpp"

#include <algorithm>
#include <numeric>
#include <optional>
#include <tuple>

#include "base/hash.hpp"
#include "base/random.hpp"
#include "routing/connection_quota.hpp"

namespace ospreystair::routing
{

namespace
{

// Upper bound of a VM's connections per replica, on average over the replicas: a VM has about one
// request in flight to a replica, and a second one when replies are slow.
constexpr std::size_t max_average_per_replica = 2;

std::vector<std::size_t> order_vms(const std::string& service,
                                   const std::vector<node_location>& vms)
{
    const std::uint64_t service_hash = base::stable_hash(service);
    std::vector<std::uint64_t> ranks;
    ranks.reserve(vms.size());
    for (const node_location& vm : vms)
        ranks.push_back(base::mix_bits(base::stable_hash(vm.name) ^ service_hash));
    std::vector<std::size_t> result(vms.size());
    std::iota(result.begin(), result.end(), 0);
    std::sort(result.begin(), result.end(),
              [&](std::size_t left, std::size_t right) {
                  return std::tie(ranks[left], vms[left].name) <
                         std::tie(ranks[right], vms[right].name);
              });
    return result;
}

} // namespace

std::vector<std::uint32_t> plan_connections(const std::string& service, const std::string& own_vm,
                                            const std::vector<node_location>& vms,
                                            const std::vector<node_location>& replicas,
                                            std::uint32_t limit,
                                            const std::set<std::string>& preferred)
{
    std::vector<std::uint32_t> remaining(replicas.size(), shared_connections(limit));
    std::vector<std::vector<std::uint32_t>> planned(vms.size(),
                                                    std::vector<std::uint32_t>(replicas.size()));
    const auto choose_replica = [&](std::size_t vm)
    {
        std::optional<std::size_t> best;
        const auto preference_key = [&](std::size_t replica)
        {
            const bool is_remote = replicas[replica].data_centre != vms[vm].data_centre;
            return std::tuple(planned[vm][replica], is_remote,
                              -static_cast<std::int64_t>(remaining[replica]));
        };
        for (std::size_t replica = 0; replica < replicas.size(); ++replica)
            if (remaining[replica] > 0 &&
                (!best || preference_key(replica) < preference_key(*best)))
                best = replica;
        return best;
    };
    const auto assign = [&](const std::vector<std::size_t>& order)
    {
        bool is_any_assigned = true;
        for (std::size_t round = 0;
             is_any_assigned && round < max_average_per_replica * replicas.size(); ++round)
        {
            is_any_assigned = false;
            for (const std::size_t vm : order)
            {
                const auto replica = choose_replica(vm);
                if (!replica)
                    continue;
                --remaining[*replica];
                ++planned[vm][*replica];
                is_any_assigned = true;
            }
        }
    };
    std::vector<std::size_t> order = order_vms(service, vms);
    const auto others =
        std::stable_partition(order.begin(), order.end(),
                              [&](std::size_t vm) { return preferred.contains(vms[vm].name); });
    assign({order.begin(), others});
    assign({others, order.end()});
    for (std::size_t vm = 0; vm < vms.size(); ++vm)
        if (vms[vm].name == own_vm)
            return planned[vm];
    return std::vector<std::uint32_t>(replicas.size());
}

} // namespace ospreystair::routing
