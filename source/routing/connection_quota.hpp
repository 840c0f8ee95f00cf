// Computes how many connections to a replica one VM may hold from the list of live VMs.

#ifndef OSPREYSTAIR_ROUTING_CONNECTION_QUOTA_HPP
#define OSPREYSTAIR_ROUTING_CONNECTION_QUOTA_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace ospreystair::routing
{

/// Returns how many of a replica's connections are divided among the VMs: 90% of its limit, at
/// least 1; 0 when the limit is 0.
std::uint32_t shared_connections(std::uint32_t limit);

/// Returns how many of a replica's connections are reserved for VMs that the others do not know
/// yet.
std::uint32_t reserved_connections(std::uint32_t limit);

/// Returns how many connections to the replica `vm` may hold when `live_vms` are alive; 0 when it
/// owns none of them or is not in the list. Invariant: over all VMs of one list the sum is at most
/// `shared_connections(limit)`, and at least one VM has a connection unless the limit is 0.
std::uint32_t connection_quota(const std::string& vm, const std::vector<std::string>& live_vms,
                               const std::string& replica, std::uint32_t limit);

} // namespace ospreystair::routing

#endif
