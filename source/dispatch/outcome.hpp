// What is known about the execution of a command.

#ifndef OSPREYSTAIR_DISPATCH_OUTCOME_HPP
#define OSPREYSTAIR_DISPATCH_OUTCOME_HPP

#include <optional>
#include <string_view>

namespace ospreystair::dispatch
{

/// How a command ended, as told to callers and recorded with its claim.
enum class outcome
{
    ran,     ///< The upstream answered that it ran.
    not_run, ///< No byte of it reached a request handler, or the upstream refused it as not run.
    unknown  ///< Bytes were sent and no complete reply to them was received.
};

/// Returns "ran", "not_run" or "unknown".
std::string_view to_string(outcome value);
/// Parses the text of to_string(); empty when the text is another one.
std::optional<outcome> outcome_from_text(std::string_view text);

} // namespace ospreystair::dispatch

#endif
