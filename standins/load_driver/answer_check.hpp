// Classifies an answer and checks that it is consistent and belongs to its request.

#ifndef OSPREYSTAIR_STANDINS_LOAD_DRIVER_ANSWER_CHECK_HPP
#define OSPREYSTAIR_STANDINS_LOAD_DRIVER_ANSWER_CHECK_HPP

#include <string>
#include <string_view>

#include "http/asio.hpp"

namespace ospreystair::load_driver
{

enum class request_kind
{
    query,   ///< To an entry.
    command, ///< To an entry.
    search   ///< Straight to a stand-in upstream, to measure it without the tier.
};

enum class outcome_class
{
    answered,
    refused,
    failed
};

/// What an answer is.
struct answer_summary
{
    outcome_class outcome = outcome_class::failed;
    /// For the counts by kind, for example `whole`, `partial`, `ran`, `503 overloaded`.
    std::string kind;
    bool is_whole = false;
    bool is_partial = false;
    /// Its parts name more than one index version.
    bool is_mixed = false;
    /// It carries another request's id or echo, or not as many parts as its coverage says.
    bool is_mismatched = false;
    bool lacks_retry_after = false;
};

/// Checks `reply` to a request whose body was `sent`. The body is searched for the members
/// `index_version`, `request_id` and `echo` instead of being parsed, because parsing would limit
/// the rate of the driver.
answer_summary check_answer(request_kind kind, std::string_view sent, const http::response& reply);

} // namespace ospreystair::load_driver

#endif
