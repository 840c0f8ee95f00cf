// Executes statements over live state on the rows that a live_source supplies.

#ifndef OSPREYSTAIR_OPERATORS_LIVE_INQUIRY_EXECUTOR_HPP
#define OSPREYSTAIR_OPERATORS_LIVE_INQUIRY_EXECUTOR_HPP

#include <concepts>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <json/json.h>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "http/asio.hpp"
#include "operators/explanation.hpp"
#include "operators/row.hpp"
#include "operators/selection.hpp"

namespace ospreystair::operators
{

/// Rows of all VMs that answered.
struct gathered_rows
{
    std::vector<row> rows;
    /// Names of the VMs that did not answer; the result says so.
    std::vector<std::string> missing;
};

/// Gathers live state. Both calls return by their deadline.
template<class Source>
concept live_source = requires(Source& source, row_kind kind, std::string request_id,
                               base::time_point deadline, base::error& reason)
{
    {
        source.gather(kind, deadline, reason)
        } -> std::same_as<http::awaitable<std::optional<gathered_rows>>>;
    // Returns the record of `GET /requests/<id>`; fails with not_found when no VM has it.
    {
        source.find_request(request_id, deadline, reason)
        } -> std::same_as<http::awaitable<std::optional<Json::Value>>>;
};

/// Executes the text of one statement. The result is `{"results":[…]}` with a table, which has
/// `missing` when VMs did not answer, or with `{"title":…,"lines":[…]}`. `text` must outlive the
/// call, and must be a named object: GCC 12 can destroy a temporary argument of a co_await
/// expression twice.
template<live_source Source>
http::awaitable<std::optional<Json::Value>>
execute_live_inquiry(Source& source, const std::string& text, base::time_point deadline,
                     base::error& reason)
{
    const auto parsed = parse_live_inquiry(text, reason);
    if (!parsed)
        co_return std::nullopt;
    Json::Value result;
    if (const auto* const statement = std::get_if<selection>(&*parsed))
    {
        const auto gathered = co_await source.gather(statement->kind, deadline, reason);
        if (!gathered)
            co_return std::nullopt;
        Json::Value table = evaluate(*statement, gathered->rows);
        for (const std::string& name : gathered->missing)
            table["missing"].append(name);
        result["results"].append(std::move(table));
        co_return result;
    }
    const std::string request_id = std::get<explanation_request>(*parsed).request_id;
    const auto record = co_await source.find_request(request_id, deadline, reason);
    if (!record)
        co_return std::nullopt;
    const auto lines = explain(*record, reason);
    if (!lines)
        co_return std::nullopt;
    Json::Value explanation;
    explanation["title"] = fmt::format("request {}", request_id);
    for (const std::string& line : *lines)
        explanation["lines"].append(line);
    result["results"].append(std::move(explanation));
    co_return result;
}

} // namespace ospreystair::operators

#endif
