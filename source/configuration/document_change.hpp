// Applies changes to a configuration document, and finds the changes between two documents.

#ifndef OSPREYSTAIR_CONFIGURATION_DOCUMENT_CHANGE_HPP
#define OSPREYSTAIR_CONFIGURATION_DOCUMENT_CHANGE_HPP

#include <optional>
#include <vector>

#include "base/error.hpp"
#include "configuration/command.hpp"
#include "configuration/document.hpp"

namespace ospreystair::configuration
{

/// Sorts shards and replicas by name, so that documents with the same content compare equal.
document normalize(document value);

/// Applies `changes` in order and validates the result, which is normalized. Either applies all
/// changes or fails with invalid_argument or not_found; the error names a statement that failed.
std::optional<document> apply(const std::vector<change>& changes, const document& before,
                              base::error& reason);

/// Returns changes that turn `before` into `after`; empty if they differ only in order.
std::vector<change> changes_between(const document& before, const document& after);

} // namespace ospreystair::configuration

#endif
