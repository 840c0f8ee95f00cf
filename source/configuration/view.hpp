// What an entry knows of the system: the configuration, the index versions, the members and the
// upstreams that are leaving. Its agent keeps it up to date; the entry uses it as one value.

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

/// A VM as the membership sees it.
struct member
{
    std::string vm;
    std::string data_centre;
    /// The agent's control address.
    settings::socket_address address;
    /// "alive", "suspect", "failed" or "left".
    std::string state;
    std::uint64_t incarnation = 0;
    /// The configuration version in force there.
    std::uint64_t configuration_version = 0;

    bool operator==(const member&) const = default;

    /// Whether the VM may be working: a suspected one is until it is declared failed.
    bool is_live() const { return state == "alive" || state == "suspect"; }
};

/// One consistent state, as sent from agent to entry.
struct view
{
    /// Rises with each change within one incarnation of the agent.
    std::uint64_t revision = 0;
    std::uint64_t configuration_version = 0;
    document configuration;
    std::map<std::string, index_state> indexes;
    std::vector<member> members;
    /// Names of replicas that receive no new work.
    std::set<std::string> draining;
};

Json::Value to_json(const view& value);
/// Fails with protocol or invalid_argument; nothing of a view that does not check out is used.
std::optional<view> view_from_json(const Json::Value& value, base::error& reason);

Json::Value to_json(const member& value);
/// Throws Json::Exception when a field has another type.
member member_from_json(const Json::Value& value);

} // namespace ospreystair::configuration

#endif
