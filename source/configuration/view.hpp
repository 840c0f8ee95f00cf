// The system state that an agent sends to its entry: the configuration, the index versions, the
// members and the draining upstreams. The agent keeps it up to date; the entry uses it as one
// value.

#ifndef OSPREYSTAIR_CONFIGURATION_VIEW_HPP
#define OSPREYSTAIR_CONFIGURATION_VIEW_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <json/json.h>

#include "base/error.hpp"
#include "configuration/document.hpp"
#include "configuration/index_state.hpp"

namespace ospreystair::configuration
{

/// A VM in the membership.
struct member
{
    std::string vm;
    std::string data_centre;
    /// The agent's control address.
    settings::socket_address address;
    /// "alive", "suspect", "failed" or "left".
    std::string state;
    std::uint64_t incarnation = 0;
    /// The configuration version that the VM uses.
    std::uint64_t configuration_version = 0;

    bool operator==(const member&) const = default;

    /// Whether the VM counts as live. A suspected VM may still be working, so it counts as live
    /// until it is declared failed.
    bool is_live() const { return state == "alive" || state == "suspect"; }
};

/// A consistent snapshot of the system state.
struct view
{
    /// Increases with each change within one incarnation of the agent.
    std::uint64_t revision = 0;
    std::uint64_t configuration_version = 0;
    document configuration;
    std::map<std::string, index_state> indexes;
    std::vector<member> members;
    /// Names of replicas that receive no new requests.
    std::set<std::string> draining;
};

Json::Value to_json(const view& value);
/// Fails with protocol or invalid_argument; an invalid view is rejected as a whole.
std::optional<view> view_from_json(const Json::Value& value, base::error& reason);

Json::Value to_json(const member& value);
/// Throws Json::Exception if a member has the wrong type.
member member_from_json(const Json::Value& value);

} // namespace ospreystair::configuration

#endif
