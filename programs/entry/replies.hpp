// Builds the HTTP answers to callers.

#ifndef OSPREYSTAIR_PROGRAMS_ENTRY_REPLIES_HPP
#define OSPREYSTAIR_PROGRAMS_ENTRY_REPLIES_HPP

#include <chrono>
#include <optional>
#include <string>

#include "base/error.hpp"
#include "http/asio.hpp"
#include "query/pinned_snapshot.hpp"
#include "query/query_run.hpp"

namespace ospreystair::entry
{

/// The `Retry-After` of a refusal whose error gives no time.
constexpr std::chrono::milliseconds default_retry_after{1000};

/// Answers a request that was not run. Its status follows from the error's kind; a refusal that
/// can succeed later carries `Retry-After`.
http::response make_refusal(const std::string& request_id, const base::error& reason);

/// Answers a query with its snapshot, its coverage and the answers gathered.
http::response make_query_answer(const std::string& request_id,
                                 const query::pinned_snapshot& snapshot,
                                 const query::gathered_answers& answers);

/// Sets `Retry-After` in whole seconds, rounded up.
void set_retry_after(http::response& reply, std::chrono::milliseconds delay);

/// Reads `X-Deadline-Ms`; returns `default_deadline` without the header field. Fails with
/// invalid_argument.
std::optional<std::chrono::milliseconds> read_deadline(const http::request& message,
                                                       std::chrono::milliseconds default_deadline,
                                                       base::error& reason);

/// Writes a JSON string with its quotes.
std::string quote(const std::string& text);

} // namespace ospreystair::entry

#endif
