// Classifies an answer and checks that it is consistent and matches its request.

#ifndef OSPREYSTAIR_STANDINS_LOAD_DRIVER_ANSWER_CHECK_HPP
#define OSPREYSTAIR_STANDINS_LOAD_DRIVER_ANSWER_CHECK_HPP

#include <string>
#include <string_view>

#include "http/asio.hpp"

namespace ospreystair::load_driver
{

enum class request_kind
{
    query,   ///< Sent to an entry.
    command, ///< Sent to an entry.
    search   ///< Sent directly to a stand-in upstream, to measure it without the tier.
};

enum class outcome_class
{
    answered,
    refused,
    failed
};

/// Classification of an answer and the results of its checks.
struct answer_summary
{
    outcome_class outcome = outcome_class::failed;
    /// Key of the counts by kind, for example `whole`, `partial`, `ran`, `503 overloaded`.
    std::string kind;
    bool is_complete = false;
    bool is_partial = false;
    /// The shard answers contain more than one index version.
    bool has_mixed_versions = false;
    /// The answer contains the id or echo of another request, or a number of shard answers that
    /// differs from its coverage.
    bool is_mismatched = false;
    bool lacks_retry_after = false;
};

/// Checks `reply` to a request whose body was `sent_body`. The reply's body is searched for the
/// members `index_version`, `request_id` and `echo` instead of being parsed, because parsing would
/// limit the request rate of the driver.
answer_summary check_answer(request_kind kind, std::string_view sent_body,
                            const http::response& reply);

} // namespace ospreystair::load_driver

#endif
