// Output of commands as text for a terminal.

#include "operators/output_format.hpp"

#include <algorithm>
#include <vector>

#include <fmt/format.h>

namespace ospreystair::operators
{

namespace
{

std::string to_text(const Json::Value& value)
{
    if (value.isNull())
        return "-";
    if (value.isString())
        return value.asString();
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, value);
}

// Replaces control characters by spaces, because the operator's terminal would interpret them.
std::string replace_control_characters(std::string text)
{
    for (char& character : text)
        if (static_cast<unsigned char>(character) < ' ' || character == '\x7f')
            character = ' ';
    return text;
}

std::vector<std::string> cells_of(const Json::Value& row)
{
    std::vector<std::string> cells;
    if (row.isArray())
        for (const Json::Value& cell : row)
            cells.push_back(replace_control_characters(to_text(cell)));
    return cells;
}

std::string format_table(const Json::Value& table)
{
    std::vector<std::vector<std::string>> lines{cells_of(table["columns"])};
    for (const Json::Value& row : table["rows"])
        lines.push_back(cells_of(row));
    std::vector<std::size_t> widths;
    for (const auto& line : lines)
    {
        widths.resize(std::max(widths.size(), line.size()));
        for (std::size_t index = 0; index < line.size(); ++index)
            widths[index] = std::max(widths[index], line[index].size());
    }
    std::string text;
    for (const auto& line : lines)
    {
        std::string rendered;
        for (std::size_t index = 0; index < line.size(); ++index)
            rendered += fmt::format("{:<{}}  ", line[index], widths[index]);
        rendered.erase(rendered.find_last_not_of(' ') + 1);
        text += rendered + '\n';
    }
    const std::size_t count = lines.size() - 1;
    text += fmt::format("({} {})\n", count, count == 1 ? "row" : "rows");
    return text;
}

std::string format_result(const Json::Value& result)
{
    std::string text;
    if (!result.isObject())
        return to_text(result) + '\n';
    if (result["accepted"] == Json::Value(true))
        return fmt::format("accepted: version {} (was {})\n", to_text(result["version"]),
                           to_text(result["previous_version"]));
    if (result["valid"] == Json::Value(true))
        return fmt::format("valid: {} statements, checked against version {}, not applied\n",
                           to_text(result["statements"]),
                           to_text(result["checked_against_version"]));
    if (result["columns"].isArray() && result["rows"].isArray())
        text = format_table(result);
    else if (result["lines"].isArray())
        for (const Json::Value& line : result["lines"])
            text += replace_control_characters(to_text(line)) + '\n';
    else
        return to_text(result) + '\n';
    if (result["missing"].isArray() && !result["missing"].empty())
    {
        const std::vector<std::string> names = cells_of(result["missing"]);
        text += fmt::format("no answer from: {}\n", fmt::join(names, ", "));
    }
    return text;
}

} // namespace

std::string format_as_tables(const Json::Value& output)
{
    if (!output.isObject() || !output["results"].isArray())
        return to_text(output) + '\n';
    std::string text;
    for (const Json::Value& result : output["results"])
    {
        if (!text.empty())
            text += '\n';
        text += format_result(result);
    }
    return text;
}

} // namespace ospreystair::operators
