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

/// Takes the kind from its number, as rpc_client gives it, and the message from the text. With the
/// number 0, or one that this release does not know, the text alone decides.
std::optional<base::error> read_refusal(int kind_number, const std::string& text);

} // namespace ospreystair::operators

#endif
