// Reads the reason of a refusal from the text of a JSON-RPC error.

#ifndef OSPREYSTAIR_OPERATORS_AGENT_REFUSAL_HPP
#define OSPREYSTAIR_OPERATORS_AGENT_REFUSAL_HPP

#include <optional>
#include <string>

#include "base/error.hpp"

namespace ospreystair::operators
{

/// Parses the form `kind: message` that rpc_server writes; empty when the text contains no kind.
/// libjsonrpccpp prepends its own text when the error code is one that it uses itself.
std::optional<base::error> refusal_from_text(const std::string& text);

/// Takes the kind from its number, as rpc_client returns it, and the message from the text. If the
/// number is 0 or not a kind of this release, the kind is parsed from the text too.
std::optional<base::error> read_refusal(int kind_number, const std::string& text);

} // namespace ospreystair::operators

#endif
