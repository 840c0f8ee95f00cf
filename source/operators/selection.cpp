// Prints and evaluates selections.

#include "operators/selection.hpp"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include <fmt/format.h>

namespace ospreystair::operators
{

namespace
{

std::string_view to_string(comparison operation)
{
    switch (operation)
    {
    case comparison::equal:
        return "=";
    case comparison::not_equal:
        return "!=";
    case comparison::less:
        return "<";
    case comparison::less_or_equal:
        return "<=";
    case comparison::greater:
        return ">";
    case comparison::greater_or_equal:
        return ">=";
    case comparison::contains:
        return "contains";
    }
    return "=";
}

std::string print_value(const cell& value)
{
    if (const auto* const boolean = std::get_if<bool>(&value))
        return *boolean ? "true" : "false";
    if (const auto* const number = std::get_if<double>(&value))
        return fmt::format("{}", *number);
    std::string text = "\"";
    for (const char character : std::get<std::string>(value))
    {
        if (character == '"' || character == '\\')
            text += '\\';
        text += character;
    }
    return text + '"';
}

std::string print_selection(const selection& value)
{
    std::string text = fmt::format("select {}", to_string(value.kind));
    std::string_view separator = " where ";
    for (const condition& item : value.conditions)
    {
        text += fmt::format("{}{} {} {}", separator, item.field, to_string(item.operation),
                            print_value(item.value));
        separator = " and ";
    }
    separator = " compute ";
    for (const aggregate& item : value.aggregates)
    {
        text += fmt::format("{}{}", separator, item.name());
        separator = ", ";
    }
    if (value.group_by)
        text += fmt::format(" by {}", *value.group_by);
    if (value.order)
        text += fmt::format(" order by {}{}", value.order->column,
                            value.order->is_descending ? " desc" : "");
    if (value.limit)
        text += fmt::format(" limit {}", *value.limit);
    return text;
}

bool matches(const condition& item, const row& candidate)
{
    const auto position = candidate.find(item.field);
    if (position == candidate.end() || position->second.index() != item.value.index())
        return false;
    const cell& actual = position->second;
    switch (item.operation)
    {
    case comparison::equal:
        return actual == item.value;
    case comparison::not_equal:
        return actual != item.value;
    case comparison::less:
        return actual < item.value;
    case comparison::less_or_equal:
        return actual <= item.value;
    case comparison::greater:
        return actual > item.value;
    case comparison::greater_or_equal:
        return actual >= item.value;
    case comparison::contains:
        break;
    }
    const auto* const text = std::get_if<std::string>(&actual);
    return text != nullptr && text->find(std::get<std::string>(item.value)) != std::string::npos;
}

// Nearest-rank percentile: the smallest value that at least this share of the values does not
// exceed.
std::optional<cell> percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return std::nullopt;
    std::sort(values.begin(), values.end());
    const auto rank =
        static_cast<std::size_t>(std::ceil(share * static_cast<double>(values.size())));
    return values[std::max<std::size_t>(rank, 1) - 1];
}

std::optional<cell> compute(const aggregate& item, const std::vector<const row*>& group)
{
    if (item.function == aggregate_function::count)
        return static_cast<double>(group.size());
    std::vector<double> values;
    for (const row* member : group)
    {
        const auto position = member->find(item.field);
        if (position == member->end())
            continue;
        if (const auto* const number = std::get_if<double>(&position->second))
            values.push_back(*number);
    }
    constexpr double p50_share = 0.5;
    constexpr double p99_share = 0.99;
    return percentile(std::move(values),
                      item.function == aggregate_function::p50 ? p50_share : p99_share);
}

std::vector<row> compute_groups(const selection& statement, const std::vector<row>& rows)
{
    // Rows without the field form a separate group, whose cell is empty.
    std::map<std::optional<cell>, std::vector<const row*>> groups;
    if (!statement.group_by)
        groups[std::nullopt];
    for (const row& item : rows)
    {
        std::optional<cell> key;
        if (statement.group_by && item.contains(*statement.group_by))
            key = item.at(*statement.group_by);
        groups[key].push_back(&item);
    }
    std::vector<row> result;
    for (const auto& [key, members] : groups)
    {
        row line;
        if (key)
            line[*statement.group_by] = *key;
        for (const aggregate& item : statement.aggregates)
            if (const auto value = compute(item, members))
                line[item.name()] = *value;
        result.push_back(std::move(line));
    }
    return result;
}

// Rows without the column come last in both directions.
void sort(std::vector<row>& rows, const ordering& order)
{
    const auto comes_first = [&](const row& left, const row& right)
    {
        const auto left_cell = left.find(order.column);
        const auto right_cell = right.find(order.column);
        if (left_cell == left.end() || right_cell == right.end())
            return left_cell != left.end() && right_cell == right.end();
        return order.is_descending ? right_cell->second < left_cell->second
                                   : left_cell->second < right_cell->second;
    };
    std::stable_sort(rows.begin(), rows.end(), comes_first);
}

std::vector<std::string> columns_of(const selection& statement, const std::vector<row>& rows)
{
    std::vector<std::string> columns;
    if (!statement.aggregates.empty())
    {
        if (statement.group_by)
            columns.push_back(*statement.group_by);
        for (const aggregate& item : statement.aggregates)
            if (std::find(columns.begin(), columns.end(), item.name()) == columns.end())
                columns.push_back(item.name());
        return columns;
    }
    std::set<std::string> names;
    for (const row& item : rows)
        for (const auto& [name, value] : item)
            names.insert(name);
    return {names.begin(), names.end()};
}

} // namespace

std::string aggregate::name() const
{
    switch (function)
    {
    case aggregate_function::count:
        return "count";
    case aggregate_function::p50:
        return fmt::format("p50({})", field);
    case aggregate_function::p99:
        return fmt::format("p99({})", field);
    }
    return "count";
}

std::string print(const live_inquiry& value)
{
    if (const auto* const statement = std::get_if<selection>(&value))
        return print_selection(*statement);
    return fmt::format("explain request {}", std::get<explanation_request>(value).request_id);
}

std::string_view to_string(row_kind kind)
{
    switch (kind)
    {
    case row_kind::requests:
        return "requests";
    case row_kind::events:
        return "events";
    case row_kind::upstreams:
        return "upstreams";
    case row_kind::vms:
        return "vms";
    }
    return "requests";
}

Json::Value evaluate(const selection& statement, const std::vector<row>& rows)
{
    std::vector<row> selected;
    for (const row& item : rows)
        if (std::all_of(statement.conditions.begin(), statement.conditions.end(),
                        [&](const condition& wanted) { return matches(wanted, item); }))
            selected.push_back(item);
    if (!statement.aggregates.empty())
        selected = compute_groups(statement, selected);
    if (statement.order)
        sort(selected, *statement.order);
    if (statement.limit && selected.size() > *statement.limit)
        selected.resize(*statement.limit);

    Json::Value table;
    table["title"] = std::string(to_string(statement.kind));
    table["columns"] = Json::arrayValue;
    table["rows"] = Json::arrayValue;
    const std::vector<std::string> columns = columns_of(statement, selected);
    for (const std::string& name : columns)
        table["columns"].append(name);
    for (const row& item : selected)
    {
        Json::Value line = Json::arrayValue;
        for (const std::string& name : columns)
        {
            const auto position = item.find(name);
            line.append(position == item.end() ? Json::Value() : to_json(position->second));
        }
        table["rows"].append(std::move(line));
    }
    return table;
}

} // namespace ospreystair::operators
