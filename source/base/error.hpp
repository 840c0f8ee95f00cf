// The error type of the project: a kind that code can act on, and a message that names the remedy.
// A fallible function returns std::optional and reports its last reason in an `error&` parameter.

#ifndef OSPREYSTAIR_BASE_ERROR_HPP
#define OSPREYSTAIR_BASE_ERROR_HPP

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace ospreystair::base
{

/// What went wrong, as far as a caller can act on it.
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

/// The last reason of a failure.
struct error
{
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
