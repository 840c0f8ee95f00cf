// The error type of the project: a kind that code can act on, and a message that names the remedy.
// A fallible function returns std::optional and reports its last reason in an `error&` parameter.

#ifndef OSPREYSTAIR_BASE_ERROR_HPP
#define OSPREYSTAIR_BASE_ERROR_HPP

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace ospreystair::base
{

/// What went wrong, as far as a caller can act on it. The numbers are part of the JSON-RPC
/// protocol: add kinds at the end only.
enum class error_kind
{
    none,
    invalid_argument,  ///< The input is wrong; correct it.
    invalid_settings,  ///< A flag or environment variable is wrong; correct it.
    address_in_use,    ///< Another process owns the address; stop it or choose another.
    unreachable,       ///< No connection; try another replica or later.
    timeout,           ///< No answer in time.
    conflict,          ///< Somebody else changed the object first; read it and decide again.
    not_found,         ///< The named object does not exist.
    overloaded,        ///< Refused to protect others; come back after `retry_after`.
    draining,          ///< The other side is leaving; use another.
    version_not_held,  ///< The replica no longer holds the pinned index version.
    protocol,          ///< The other side sent something that does not follow the protocol.
    cancelled,         ///< The work was given up on purpose.
    outcome_unknown,   ///< A write or command may or may not have taken effect.
    permission_denied, ///< The credential is missing or wrong.
    internal           ///< A defect; report it.
};

/// Returns the kind's name as used in messages, for example "not_found".
std::string_view to_string(error_kind kind);

/// The last reason of a failure. This and other types that coroutines make have constructors,
/// because GCC 12 moves a braced aggregate inside a coroutine bit by bit, which breaks short
/// strings.
struct error
{
    error() = default;
    error(error_kind failure_kind, std::string text,
          std::optional<std::chrono::milliseconds> come_back_after = std::nullopt)
        : kind(failure_kind), message(std::move(text)), retry_after(come_back_after)
    {
    }

    error_kind kind = error_kind::none;
    std::string message;
    /// When it is worth coming back, if known.
    std::optional<std::chrono::milliseconds> retry_after;
};

/// Sets `reason` and returns an empty optional, so that a failure is one statement.
std::nullopt_t fail(error& reason, error_kind kind, std::string message,
                    std::optional<std::chrono::milliseconds> retry_after = std::nullopt);

} // namespace ospreystair::base

#endif
