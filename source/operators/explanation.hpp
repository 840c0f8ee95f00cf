// Renders a request's record as an explanation that an operator can read.

#ifndef OSPREYSTAIR_OPERATORS_EXPLANATION_HPP
#define OSPREYSTAIR_OPERATORS_EXPLANATION_HPP

#include <optional>
#include <string>
#include <vector>

#include <json/json.h>

#include "base/error.hpp"

namespace ospreystair::operators
{

/// Returns the lines of an explanation: the request, its snapshot, every sub-request, and the
/// reasons for a refusal or missing shards. `record` is the document of `GET /requests/<id>` of an
/// entry. Fails with protocol when a member has another type.
std::optional<std::vector<std::string>> explain(const Json::Value& record, base::error& reason);

} // namespace ospreystair::operators

#endif
