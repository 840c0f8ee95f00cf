// Adds a version to a service's index versions.

#ifndef OSPREYSTAIR_CONFIGURATION_INDEX_PUBLICATION_HPP
#define OSPREYSTAIR_CONFIGURATION_INDEX_PUBLICATION_HPP

#include <optional>

#include "base/error.hpp"
#include "configuration/command.hpp"
#include "configuration/index_state.hpp"

namespace ospreystair::configuration
{

/// Versions kept in an index object beside the current one; replicas hold fewer.
constexpr std::size_t max_index_versions = 16;

/// Returns the state after `statement`; `before` is empty when nothing was published yet. The first
/// version becomes the current one. Fails with invalid_argument when a published version would get
/// other shards or the current version would decrease, and with not_found when a version to make
/// current was never published.
std::optional<index_state> publish(const publish_index& statement,
                                   const std::optional<index_state>& before, base::error& reason);

/// Whether `state` already shows the effect of `statement`.
bool is_published(const publish_index& statement, const index_state& state);

} // namespace ospreystair::configuration

#endif
