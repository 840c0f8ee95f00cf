// Selects the agents that watch the platform, so that the number of watches does not grow with the
// number of VMs.

#ifndef OSPREYSTAIR_MEMBERSHIP_WATCH_PLAN_HPP
#define OSPREYSTAIR_MEMBERSHIP_WATCH_PLAN_HPP

#include <cstddef>
#include <string>
#include <vector>

#include "protocol/datagram.hpp"

namespace ospreystair::membership
{

/// Two, so that a data centre still has a watcher when one fails.
constexpr std::size_t watchers_per_data_centre = 2;

/// Returns the VMs of `data_centre` that watch: its first live members in the order of rendezvous
/// hashing. Agents that know the same members select the same VMs.
std::vector<std::string> plan_watchers(const std::vector<protocol::member_record>& members,
                                       const std::string& data_centre);

} // namespace ospreystair::membership

#endif
