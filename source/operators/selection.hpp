// Statements over live state: `select` over rows and `explain request`. The grammar is documented
// in docs/OPERATIONS.md.

#ifndef OSPREYSTAIR_OPERATORS_SELECTION_HPP
#define OSPREYSTAIR_OPERATORS_SELECTION_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <json/json.h>

#include "base/error.hpp"
#include "operators/row.hpp"

namespace ospreystair::operators
{

enum class row_kind
{
    requests,
    events,
    upstreams,
    vms
};

enum class comparison
{
    equal,
    not_equal,
    less,
    less_or_equal,
    greater,
    greater_or_equal,
    contains ///< Substring match; strings only.
};

/// Matches a row that has the field, with a value of the same type, for which the comparison is
/// true. A row without the field never matches.
struct condition
{
    std::string field;
    comparison operation = comparison::equal;
    cell value;

    bool operator==(const condition&) const = default;
};

enum class aggregate_function
{
    count,
    p50,
    p99
};

struct aggregate
{
    aggregate_function function = aggregate_function::count;
    /// The numeric field of a percentile; empty for count.
    std::string field;

    bool operator==(const aggregate&) const = default;
    /// `count` or, for example, `p99(elapsed_ms)`; the name of the result's column.
    std::string name() const;
};

struct ordering
{
    std::string column;
    bool is_descending = false;

    bool operator==(const ordering&) const = default;
};

struct selection
{
    row_kind kind = row_kind::requests;
    std::vector<condition> conditions;
    /// If empty, the result consists of the rows themselves.
    std::vector<aggregate> aggregates;
    /// Field whose values form the groups of the aggregates.
    std::optional<std::string> group_by;
    std::optional<ordering> order;
    std::optional<std::uint32_t> limit;

    bool operator==(const selection&) const = default;
};

struct explanation_request
{
    std::string request_id;

    bool operator==(const explanation_request&) const = default;
};

using live_inquiry = std::variant<selection, explanation_request>;

constexpr std::size_t max_selection_bytes = 64 << 10;
constexpr std::size_t max_condition_count = 64;

/// Whether a text is a statement over live state rather than a configuration command: it starts
/// with `select` or `explain`.
bool is_live_inquiry(std::string_view text);

/// Fails with invalid_argument.
std::optional<live_inquiry> parse_live_inquiry(std::string_view text, base::error& reason);
/// Prints a statement so that it parses back to the same value.
std::string print(const live_inquiry& value);
std::string_view to_string(row_kind kind);

/// Evaluates a selection. The result is `{"title":…,"columns":[…],"rows":[[…]]}`; a cell without a
/// value is null.
Json::Value evaluate(const selection& statement, const std::vector<row>& rows);

} // namespace ospreystair::operators

#endif
