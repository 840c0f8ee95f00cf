// Comparison of the inputs of a plan with those that it was computed from.

#include "routing/connection_planner.hpp"

#include <algorithm>
#include <utility>

namespace ospreystair::routing
{

bool connection_planner::set_vms(std::vector<node_location> vms, std::set<std::string> gatherers)
{
    if (vms == m_vms && gatherers == m_gatherers)
        return false;
    m_vms = std::move(vms);
    m_gatherers = std::move(gatherers);
    m_has_gatherer = has_gatherer();
    m_plans.clear();
    return true;
}

const std::vector<std::uint32_t>& connection_planner::plan(const std::string& service,
                                                           std::vector<node_location> replicas,
                                                           std::uint32_t limit, bool is_shard)
{
    const auto [found, is_new] = m_plans.try_emplace(service);
    service_plan& known = found->second;
    if (!is_new && known.limit == limit && known.is_shard == is_shard && known.replicas == replicas)
        return known.quotas;
    known.replicas = std::move(replicas);
    known.limit = limit;
    known.is_shard = is_shard;
    known.quotas = compute(service, known);
    ++m_computed_count;
    return known.quotas;
}

std::vector<std::uint32_t> connection_planner::compute(const std::string& service,
                                                       const service_plan& input) const
{
    if (m_vms.empty() || (input.is_shard && m_has_gatherer))
        return std::vector<std::uint32_t>(input.replicas.size());
    return plan_connections(service, m_own_vm, m_vms, input.replicas, input.limit,
                            input.is_shard ? m_gatherers : std::set<std::string>{});
}

bool connection_planner::has_gatherer() const
{
    const auto own = std::find_if(m_vms.begin(), m_vms.end(),
                                  [this](const node_location& vm) { return vm.name == m_own_vm; });
    return own != m_vms.end() && !m_gatherers.contains(m_own_vm) &&
           std::any_of(m_vms.begin(), m_vms.end(),
                       [&](const node_location& vm) {
                           return vm.data_centre == own->data_centre &&
                                  m_gatherers.contains(vm.name);
                       });
}

void connection_planner::forget_unless(
    const std::function<bool(const std::string& service)>& is_kept)
{
    std::erase_if(m_plans, [&is_kept](const auto& item) { return !is_kept(item.first); });
}

} // namespace ospreystair::routing
