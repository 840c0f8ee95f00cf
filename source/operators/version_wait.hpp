// The statement `wait for version N`, which the operators' client executes by polling.

#ifndef OSPREYSTAIR_OPERATORS_VERSION_WAIT_HPP
#define OSPREYSTAIR_OPERATORS_VERSION_WAIT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <json/json.h>

#include "base/error.hpp"

namespace ospreystair::operators
{

/// Whether a text is a wait statement: it starts with `wait`.
bool is_version_wait(const std::string& text);

/// Parses `wait for version N`; fails with invalid_argument.
std::optional<std::uint64_t> parse_version_wait(const std::string& text, base::error& reason);

/// Returns the names of the live members that have not applied a version yet, from the output of
/// `show members`. Members that failed or left do not count. Fails with protocol when the output
/// has another form or lists no live member.
std::optional<std::vector<std::string>>
find_lagging_members(const Json::Value& output, std::uint64_t version, base::error& reason);

} // namespace ospreystair::operators

#endif
