// Writes answers to callers as JSON.

#include "programs/entry/replies.hpp"

#include <algorithm>
#include <charconv>
#include <set>

#include <fmt/format.h>
#include <json/json.h>

#include "http/server.hpp"

namespace ospreystair::entry
{

namespace
{

constexpr std::chrono::milliseconds max_deadline{600'000};

http::status status_of(base::error_kind kind)
{
    switch (kind)
    {
    case base::error_kind::invalid_argument:
    case base::error_kind::protocol:
        return http::status::bad_request;
    case base::error_kind::not_found:
        return http::status::not_found;
    case base::error_kind::conflict:
        return http::status::conflict;
    case base::error_kind::overloaded:
        return http::status::too_many_requests;
    case base::error_kind::permission_denied:
        return http::status::forbidden;
    default:
        return http::status::service_unavailable;
    }
}

bool can_succeed_later(http::status code)
{
    return code == http::status::too_many_requests || code == http::status::service_unavailable;
}

// Lists the data centres of a shard's configured replicas, so that a caller or operator sees which
// ones are missing.
std::string write_data_centres(const configuration::shard* shard)
{
    std::set<std::string> names;
    if (shard != nullptr)
        for (const configuration::replica& item : shard->replicas)
            names.insert(item.data_centre);
    std::string text;
    for (const std::string& name : names)
        text += (text.empty() ? "" : ",") + quote(name);
    return text;
}

} // namespace

std::string quote(const std::string& text)
{
    return Json::valueToQuotedString(text.c_str());
}

void set_retry_after(http::response& reply, std::chrono::milliseconds delay)
{
    const auto seconds = std::chrono::ceil<std::chrono::seconds>(delay);
    reply.set(http::field::retry_after, std::to_string(std::max<std::int64_t>(seconds.count(), 1)));
}

http::response make_refusal(const std::string& request_id, const base::error& reason)
{
    const http::status code = status_of(reason.kind);
    http::response reply = http::make_json_response(
        code, fmt::format(
                  R"({{"request_id":{},"outcome":"not_run","error":{{"kind":"{}","message":{}}}}})"
                  "\n",
                  quote(request_id), base::to_string(reason.kind), quote(reason.message)));
    reply.set("X-Request-Id", request_id);
    if (can_succeed_later(code))
        set_retry_after(reply, reason.retry_after.value_or(default_retry_after));
    return reply;
}

http::response make_query_answer(const std::string& request_id,
                                 const query::pinned_snapshot& snapshot,
                                 const query::gathered_answers& answers)
{
    std::string missing;
    std::string answered;
    for (std::size_t index = 0; index < answers.shard_count(); ++index)
    {
        const auto& entry = answers.entries()[index];
        if (entry.is_answered)
            answered += fmt::format(R"({}{{"shard":{},"answer":{}}})", answered.empty() ? "" : ",",
                                    quote(entry.shard), entry.answer);
        else
            missing += fmt::format(R"({}{{"shard":{},"reason":"{}","data_centres":[{}]}})",
                                   missing.empty() ? "" : ",", quote(entry.shard),
                                   query::to_string(entry.missing_reason),
                                   write_data_centres(snapshot.shard_at(index)));
    }
    std::string body = fmt::format(
        R"({{"request_id":{},"snapshot":{{"service":{},"index_version":{}}},"coverage":{{"shards":{},"answered":{},"missing":[{}]}},"answers":[{}]}})"
        "\n",
        quote(request_id), quote(snapshot.service().name), snapshot.index_version(),
        answers.shard_count(), answers.answered_count(), missing, answered);
    const bool has_answer = answers.answered_count() != 0;
    http::response reply = http::make_json_response(
        has_answer ? http::status::ok : http::status::service_unavailable, std::move(body));
    reply.set("X-Request-Id", request_id);
    reply.set("X-Index-Version", std::to_string(snapshot.index_version()));
    reply.set("X-Coverage", fmt::format("{}/{}", answers.answered_count(), answers.shard_count()));
    if (!has_answer)
        set_retry_after(reply, default_retry_after);
    return reply;
}

std::optional<std::chrono::milliseconds> read_deadline(const http::request& message,
                                                       std::chrono::milliseconds default_deadline,
                                                       base::error& reason)
{
    const auto value = message["X-Deadline-Ms"];
    if (value.empty())
        return default_deadline;
    std::int64_t count = 0;
    const char* const end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, count);
    if (parsed.ec != std::errc{} || parsed.ptr != end || count < 1 || count > max_deadline.count())
        return base::fail(
            reason, base::error_kind::invalid_argument,
            fmt::format("X-Deadline-Ms must be a whole number from 1 to {}", max_deadline.count()));
    return std::chrono::milliseconds{count};
}

} // namespace ospreystair::entry
