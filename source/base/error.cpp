// Names of error kinds, and the helper that stores an error.

#include "base/error.hpp"

#include <utility>

namespace ospreystair::base
{

std::string_view to_string(error_kind kind)
{
    switch (kind)
    {
    case error_kind::none:
        return "none";
    case error_kind::invalid_argument:
        return "invalid_argument";
    case error_kind::invalid_settings:
        return "invalid_settings";
    case error_kind::address_in_use:
        return "address_in_use";
    case error_kind::unreachable:
        return "unreachable";
    case error_kind::timeout:
        return "timeout";
    case error_kind::conflict:
        return "conflict";
    case error_kind::not_found:
        return "not_found";
    case error_kind::overloaded:
        return "overloaded";
    case error_kind::draining:
        return "draining";
    case error_kind::version_not_held:
        return "version_not_held";
    case error_kind::protocol:
        return "protocol";
    case error_kind::cancelled:
        return "cancelled";
    case error_kind::outcome_unknown:
        return "outcome_unknown";
    case error_kind::permission_denied:
        return "permission_denied";
    case error_kind::internal:
        return "internal";
    }
    return "internal";
}

std::nullopt_t fail(error& reason, error_kind kind, std::string message,
                    std::optional<std::chrono::milliseconds> retry_after)
{
    reason = error{kind, std::move(message), retry_after};
    return std::nullopt;
}

} // namespace ospreystair::base
