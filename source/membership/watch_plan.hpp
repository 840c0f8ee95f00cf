// Which agents watch the platform, so that the number of watches does not grow with the fleet.

#ifndef OSPREYSTAIR_MEMBERSHIP_WATCH_PLAN_HPP
#define OSPREYSTAIR_MEMBERSHIP_WATCH_PLAN_HPP

#include <cstddef>
#include <string>
#include <vector>

#include "protocol/datagram.hpp"

namespace ospreystair::membership
{

/// Two, so that the failure of one does not leave a data centre without.
constexpr std::size_t watchers_per_data_centre = 2;

/// Returns the VMs of `data_centre` that watch: the first live members in rendezvous order. Agents
/// with the same members agree on them.
std::vector<std::string> plan_watchers(const std::vector<protocol::member_record>& members,
                                       const std::string& data_centre);

} // namespace ospreystair::membership

#endif
