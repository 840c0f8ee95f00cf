// The versions of a service's index that can be queried, as published in the platform.

#ifndef OSPREYSTAIR_CONFIGURATION_INDEX_STATE_HPP
#define OSPREYSTAIR_CONFIGURATION_INDEX_STATE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <json/json.h>

#include "base/error.hpp"

namespace ospreystair::configuration
{

/// The versions of one index and the shards that each consists of.
struct index_state
{
    std::uint64_t current_version = 0;
    /// Invariant: contains `current_version`; no shard list is empty.
    std::map<std::uint64_t, std::vector<std::string>> versions;

    bool operator==(const index_state&) const = default;
};

Json::Value to_json(const index_state& value);
/// Fails with protocol or invalid_argument.
std::optional<index_state> index_state_from_json(const Json::Value& value, base::error& reason);

} // namespace ospreystair::configuration

#endif
