// The error type of the project: a kind that code can act on, and a message that names the remedy.
// A fallible function returns std::optional and stores the error in an `error&` parameter.

#ifndef OSPREYSTAIR_BASE_ERROR_HPP
#define OSPREYSTAIR_BASE_ERROR_HPP

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace ospreystair::base
{

/// Kind of a failure, as far as the calling code can react to it. The numbers are part of the
/// JSON-RPC protocol: add kinds at the end only.
enum class error_kind
{
    none,
    invalid_argument,  ///< The input is wrong; correct it.
    invalid_settings,  ///< A flag or environment variable is wrong; correct it.
    address_in_use,    ///< Another process owns the address; stop it or choose another.
    unreachable,       ///< No connection; try another replica or later.
    timeout,           ///< No answer in time.
    conflict,          ///< The object was changed concurrently; read it and decide again.
    not_found,         ///< The named object does not exist.
    overloaded,        ///< Refused because of overload; retry after `retry_after`.
    draining,          ///< The other side is draining; use another.
    version_not_held,  ///< The replica no longer has the pinned index version.
    protocol,          ///< The other side violated the protocol.
    cancelled,         ///< The operation was cancelled.
    outcome_unknown,   ///< A write or command may or may not have been applied.
    permission_denied, ///< The credential is missing or wrong.
    internal           ///< A defect in this program; report it.
};

/// Returns the kind's name as used in messages, for example "not_found".
std::string_view to_string(error_kind kind);

/// Why an operation failed. This and other types that coroutines construct have constructors,
/// because GCC 12 moves a brace-initialised aggregate inside a coroutine bitwise, which corrupts
/// short strings.
struct error
{
    error() = default;
    error(error_kind failure_kind, std::string text,
          std::optional<std::chrono::milliseconds> retry_delay = std::nullopt)
        : kind(failure_kind), message(std::move(text)), retry_after(retry_delay)
    {
    }

    error_kind kind = error_kind::none;
    std::string message;
    /// Time after which a retry can succeed, if known.
    std::optional<std::chrono::milliseconds> retry_after;
};

/// Sets `reason` and returns an empty optional, so that a function can fail in one statement.
std::nullopt_t fail(error& reason, error_kind kind, std::string message,
                    std::optional<std::chrono::milliseconds> retry_after = std::nullopt);

} // namespace ospreystair::base

#endif
