// Searches answers for the members that must match their request and each other.

#include "standins/load_driver/answer_check.hpp"

#include <charconv>
#include <optional>
#include <utility>
#include <vector>

#include <fmt/format.h>

namespace ospreystair::load_driver
{

namespace
{

// Returns the values of all members with this name: strings without their quotes, or numbers.
std::vector<std::string_view> find_members(std::string_view body, std::string_view name)
{
    std::vector<std::string_view> values;
    const std::string quoted = fmt::format("\"{}\"", name);
    std::size_t position = 0;
    while ((position = body.find(quoted, position)) != std::string_view::npos)
    {
        position += quoted.size();
        std::size_t start = body.find_first_not_of(" \t\r\n", position);
        if (start == std::string_view::npos || body[start] != ':')
            continue;
        start = body.find_first_not_of(" \t\r\n", start + 1);
        if (start == std::string_view::npos)
            continue;
        const bool is_text = body[start] == '"';
        if (is_text)
            ++start;
        const std::size_t end =
            is_text ? body.find('"', start) : body.find_first_of(",} \n", start);
        if (end == std::string_view::npos)
            break;
        values.push_back(body.substr(start, end - start));
        position = end;
    }
    return values;
}

std::string_view header(const http::response& reply, const char* name)
{
    const auto value = reply[name];
    return {value.data(), value.size()};
}

std::optional<std::pair<std::size_t, std::size_t>> read_coverage(std::string_view text)
{
    std::pair<std::size_t, std::size_t> coverage;
    const char* const end = text.data() + text.size();
    auto parsed = std::from_chars(text.data(), end, coverage.first);
    if (parsed.ec != std::errc{} || parsed.ptr == end || *parsed.ptr != '/')
        return std::nullopt;
    parsed = std::from_chars(parsed.ptr + 1, end, coverage.second);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return coverage;
}

bool all_equal(const std::vector<std::string_view>& values, std::string_view expected)
{
    for (const std::string_view value : values)
        if (value != expected)
            return false;
    return true;
}

void check_query(std::string_view sent_body, const http::response& reply, answer_summary& result)
{
    const std::string_view body = reply.body();
    const auto coverage = read_coverage(header(reply, "X-Coverage"));
    const auto echoes = find_members(body, "echo");
    const auto ids = find_members(body, "request_id");
    const std::string_view id = header(reply, "X-Request-Id");
    result.has_mixed_versions =
        !all_equal(find_members(body, "index_version"), header(reply, "X-Index-Version"));
    result.is_mismatched = !coverage || echoes.size() != coverage->first || ids.empty() ||
                           id.empty() || !all_equal(ids, id) || !all_equal(echoes, sent_body);
    result.is_complete = coverage && coverage->first == coverage->second;
    result.is_partial = !result.is_complete;
    result.kind = result.is_complete ? "whole" : "partial";
}

void check_single(std::string_view sent_body, const http::response& reply, answer_summary& result)
{
    const auto echoes = find_members(reply.body(), "echo");
    result.is_mismatched = echoes.size() != 1 || echoes.front() != sent_body;
    result.is_complete = true;
}

} // namespace

answer_summary check_answer(request_kind kind, std::string_view sent_body,
                            const http::response& reply)
{
    answer_summary result;
    if (reply.result() == http::status::ok)
    {
        result.outcome = outcome_class::answered;
        result.kind = kind == request_kind::command ? "ran" : "whole";
        if (kind == request_kind::query)
            check_query(sent_body, reply, result);
        else
            check_single(sent_body, reply, result);
        return result;
    }
    const bool is_refusal = reply.result() == http::status::service_unavailable ||
                            reply.result() == http::status::too_many_requests;
    result.outcome = is_refusal ? outcome_class::refused : outcome_class::failed;
    result.lacks_retry_after = is_refusal && header(reply, "Retry-After").empty();
    const auto kinds = find_members(reply.body(), "kind");
    result.kind =
        fmt::format("{} {}", reply.result_int(), kinds.empty() ? "without kind" : kinds.front());
    return result;
}

} // namespace ospreystair::load_driver
