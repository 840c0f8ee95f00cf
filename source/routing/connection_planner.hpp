// Keeps the connection plans of all services, and recomputes those whose replicas, limits or VMs
// have changed.
//
// Replicas come and go by the minute, each change concerns one service, and a plan goes over all
// VMs: planning 147 services for 144 VMs anew would stop a VM with a twelfth of a core for a
// tenth of a second, in the moments after a reshard or a crash when its time is needed most.

#ifndef OSPREYSTAIR_ROUTING_CONNECTION_PLANNER_HPP
#define OSPREYSTAIR_ROUTING_CONNECTION_PLANNER_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "routing/connection_plan.hpp"

namespace ospreystair::routing
{

/// Plans the connections of one VM. Not thread-safe.
class connection_planner
{
public:
    explicit connection_planner(std::string own_vm) : m_own_vm(std::move(own_vm)) {}

    /// Sets the VMs that share the replicas' limits, sorted by name, and those of them that gather
    /// the queries over many shards. Returns whether they differ from those before.
    bool set_vms(std::vector<node_location> vms, std::set<std::string> gatherers = {});

    /// Returns the result of `plan_connections`; all zero before the first list of VMs. Gatherers
    /// come first at a service that is only a shard of queries, and a VM whose queries others
    /// gather keeps no connection to it. Valid until the next call of a member.
    const std::vector<std::uint32_t>& plan(const std::string& service,
                                           std::vector<node_location> replicas, std::uint32_t limit,
                                           bool is_shard = false);

    /// Forgets the plans of the services for which `is_kept` returns false.
    void forget_unless(const std::function<bool(const std::string& service)>& is_kept);

    /// Number of plans that were computed so far.
    std::size_t computed_count() const { return m_computed_count; }

private:
    struct service_plan
    {
        std::vector<node_location> replicas;
        std::uint32_t limit = 0;
        bool is_shard = false;
        std::vector<std::uint32_t> quotas;
    };

    std::vector<std::uint32_t> compute(const std::string& service, const service_plan& input) const;
    bool has_gatherer() const;

    const std::string m_own_vm;
    std::vector<node_location> m_vms;
    std::set<std::string> m_gatherers;
    // Whether other VMs of this data centre gather the queries of this VM.
    bool m_has_gatherer = false;
    // Invariant: each plan is that of its replicas and limit for m_vms and m_gatherers. By service.
    std::map<std::string, service_plan> m_plans;
    std::size_t m_computed_count = 0;
};

} // namespace ospreystair::routing

#endif
