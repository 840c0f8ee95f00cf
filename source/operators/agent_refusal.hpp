// Reads the reason of a refusal from the text of a JSON-RPC error.

#ifndef OSPREYSTAIR_OPERATORS_AGENT_REFUSAL_HPP
#define OSPREYSTAIR_OPERATORS_AGENT_REFUSAL_HPP

#include <optional>
#include <string>

#include "base/error.hpp"

namespace ospreystair::operators
{

/// Reads the form `kind: message` that rpc_server gives; empty when the text names no kind.
/// libjsonrpccpp puts a text of its own before it when the code is one that it uses itself.
std::optional<base::error> refusal_from_text(const std::string& text);

} // namespace ospreystair::operators

#endif
