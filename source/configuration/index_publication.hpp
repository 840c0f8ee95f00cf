// Publishes versions of a service's index.

#ifndef OSPREYSTAIR_CONFIGURATION_INDEX_PUBLICATION_HPP
#define OSPREYSTAIR_CONFIGURATION_INDEX_PUBLICATION_HPP

#include <optional>

#include "base/error.hpp"
#include "configuration/command.hpp"
#include "configuration/index_state.hpp"

namespace ospreystair::configuration
{

/// Maximum number of versions in an index object, including the current one. Replicas hold fewer.
constexpr std::size_t max_index_versions = 16;

/// Returns the state after `statement`; `before` is empty if nothing was published yet. The first
/// version becomes the current one. Fails with invalid_argument if the statement is malformed, the
/// shards of a published version would change, the current version would decrease or the version is
/// too old to be kept, and with not_found if a version without shards was never published.
std::optional<index_state> publish(const publish_index& statement,
                                   const std::optional<index_state>& before, base::error& reason);

/// Whether `state` already contains the effect of `statement`.
bool is_published(const publish_index& statement, const index_state& state);

} // namespace ospreystair::configuration

#endif
