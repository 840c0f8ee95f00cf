// Parses `wait for version N` and finds the members that have not applied the version.

#include "operators/version_wait.hpp"

#include <charconv>
#include <sstream>

#include <fmt/format.h>

namespace ospreystair::operators
{

namespace
{

std::optional<Json::ArrayIndex> find_column(const Json::Value& columns, const char* name)
{
    for (Json::ArrayIndex index = 0; index < columns.size(); ++index)
        if (columns[index] == Json::Value(name))
            return index;
    return std::nullopt;
}

// Returns nothing when the table has no live member or lacks a column. Throws Json::Exception when
// a value has another type.
std::optional<std::vector<std::string>> read_lagging_members(const Json::Value& output,
                                                             std::uint64_t version)
{
    const Json::Value& table = output["results"][0];
    const auto vm_column = find_column(table["columns"], "vm");
    const auto state_column = find_column(table["columns"], "state");
    const auto version_column = find_column(table["columns"], "configuration_version");
    if (!vm_column || !state_column || !version_column)
        return std::nullopt;
    std::vector<std::string> lagging;
    std::size_t live_count = 0;
    for (const Json::Value& row : table["rows"])
    {
        const std::string state = row[*state_column].asString();
        if (state != "alive" && state != "suspect")
            continue;
        ++live_count;
        if (row[*version_column].asUInt64() < version)
            lagging.push_back(row[*vm_column].asString());
    }
    if (live_count == 0)
        return std::nullopt;
    return lagging;
}

} // namespace

bool is_version_wait(const std::string& text)
{
    std::istringstream words(text);
    std::string first;
    words >> first;
    return first == "wait";
}

std::optional<std::uint64_t> parse_version_wait(const std::string& text, base::error& reason)
{
    std::istringstream words(text);
    std::string wait;
    std::string preposition;
    std::string noun;
    std::string number;
    std::string rest;
    words >> wait >> preposition >> noun >> number >> rest;
    if (number.ends_with(';'))
        number.pop_back();
    std::uint64_t version = 0;
    const char* const end = number.data() + number.size();
    const auto parsed = std::from_chars(number.data(), end, version);
    const bool is_valid = wait == "wait" && preposition == "for" && noun == "version" &&
                          parsed.ec == std::errc{} && parsed.ptr == end &&
                          (rest.empty() || rest == ";");
    if (!is_valid)
        return base::fail(reason, base::error_kind::invalid_argument,
                          "cannot read the statement; write wait for version N");
    return version;
}

std::optional<std::vector<std::string>>
find_lagging_members(const Json::Value& output, std::uint64_t version, base::error& reason)
{
    try
    {
        if (auto result = read_lagging_members(output, version))
            return result;
    }
    catch (const Json::Exception&)
    {
        // The output has another form than in this release: fails below.
    }
    return base::fail(reason, base::error_kind::protocol,
                      "the agent's answer to show members names no live member; check that it is "
                      "of the same release");
}

} // namespace ospreystair::operators
