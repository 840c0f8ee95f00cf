// Assigns the connections to a service's replicas to VMs, for replicas that accept fewer
// connections than there are VMs.

#ifndef OSPREYSTAIR_ROUTING_CONNECTION_PLAN_HPP
#define OSPREYSTAIR_ROUTING_CONNECTION_PLAN_HPP

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace ospreystair::routing
{

/// A VM or a replica and its data centre.
struct node_location
{
    std::string name;
    std::string data_centre;

    bool operator==(const node_location&) const = default;
};

/// Returns for each replica how many connections `own_vm` keeps to it.
///
/// The plan is made in rounds over all VMs, in an order that depends on the service; those in
/// `preferred`, which send most of the requests, are served before the others. In each round a VM
/// gets one connection, to the replica to which it has the fewest; ties go to a replica in its
/// own data centre, then to the one with the most connections left. VMs with the same lists compute
/// the same plan without communicating. Invariants: over all VMs a replica gets at most
/// `shared_connections(limit)`; the totals of two VMs that are both preferred, or both not, differ
/// by at most one, whatever their data centres.
std::vector<std::uint32_t> plan_connections(const std::string& service, const std::string& own_vm,
                                            const std::vector<node_location>& vms,
                                            const std::vector<node_location>& replicas,
                                            std::uint32_t limit,
                                            const std::set<std::string>& preferred = {});

} // namespace ospreystair::routing

#endif
