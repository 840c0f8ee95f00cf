// Parses `wait for version N` and tells which members are behind.

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

// Throws Json::Exception when a part has another type.
std::optional<std::vector<std::string>> read_members(const Json::Value& output,
                                                     std::uint64_t version)
{
    const Json::Value& table = output["results"][0];
    const auto vm = find_column(table["columns"], "vm");
    const auto state = find_column(table["columns"], "state");
    const auto in_force = find_column(table["columns"], "configuration_version");
    if (!vm || !state || !in_force)
        return std::nullopt;
    std::vector<std::string> behind;
    std::size_t live_count = 0;
    for (const Json::Value& row : table["rows"])
    {
        const std::string state_name = row[*state].asString();
        if (state_name != "alive" && state_name != "suspect")
            continue;
        ++live_count;
        if (row[*in_force].asUInt64() < version)
            behind.push_back(row[*vm].asString());
    }
    if (live_count == 0)
        return std::nullopt;
    return behind;
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

std::optional<std::vector<std::string>> members_behind(const Json::Value& output,
                                                       std::uint64_t version, base::error& reason)
{
    try
    {
        if (auto result = read_members(output, version))
            return result;
    }
    catch (const Json::Exception&)
    {
        // Falls through to the failure below: the form is not the one of this release.
    }
    return base::fail(reason, base::error_kind::protocol,
                      "the agent's answer to show members names no live member; check that it is "
                      "of the same release");
}

} // namespace ospreystair::operators
