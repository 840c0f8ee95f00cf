// Validation of teams, and the lookup of keys by their digests.

#include "teams/team_directory.hpp"

#include <cmath>
#include <utility>

#include <fmt/format.h>

#include "base/field_value.hpp"
#include "base/random.hpp"

namespace ospreystair::teams
{

namespace
{

base::fingerprint digest_of(std::string_view text)
{
    static const std::string salt = fmt::format("{:x}", base::system_seed());
    return base::fingerprint::of({salt, text});
}

bool check_team(const team_definition& item, base::error& reason)
{
    const auto reject = [&](const char* problem)
    {
        base::fail(reason, base::error_kind::invalid_argument,
                   fmt::format("team \"{}\": {}", item.properties.name, problem));
        return false;
    };
    const request_quota& quota = item.properties.quota;
    if (item.properties.name.empty())
        return reject("the name is empty; name the team");
    if (item.properties.name.size() > team_directory::max_name_bytes ||
        !base::is_field_value(item.properties.name))
        return reject("the name is longer than 256 bytes, has control characters, or begins or "
                      "ends with a blank; choose another");
    if (!std::isfinite(quota.requests_per_second) || quota.requests_per_second < 0 ||
        !std::isfinite(quota.burst) || quota.burst < 0)
        return reject("the rate and the burst must be finite and not below 0");
    for (const std::string& key : item.keys)
        if (key.empty() || key.size() > team_directory::max_key_bytes)
            return reject("a key is empty or longer than 256 bytes; replace it");
    return true;
}

} // namespace

std::optional<team_directory> team_directory::create(std::vector<team_definition> definitions,
                                                     base::error& reason)
{
    team_directory result;
    for (team_definition& item : definitions)
    {
        if (!check_team(item, reason))
            return std::nullopt;
        const auto added = std::make_shared<const team>(std::move(item.properties));
        if (!result.m_team_of_name.emplace(digest_of(added->name), added).second)
            return base::fail(reason, base::error_kind::invalid_argument,
                              fmt::format("team \"{}\" is defined twice; remove one", added->name));
        for (const std::string& key : item.keys)
        {
            const auto [known, is_new] = result.m_team_of_key.emplace(digest_of(key), added);
            if (!is_new && known->second != added)
                return base::fail(
                    reason, base::error_kind::invalid_argument,
                    fmt::format("teams \"{}\" and \"{}\" have a key in common; replace it",
                                known->second->name, added->name));
        }
        result.m_teams.push_back(added);
    }
    return result;
}

std::shared_ptr<const team> team_directory::find(std::string_view key) const
{
    if (key.empty() || key.size() > max_key_bytes)
        return nullptr;
    const auto found = m_team_of_key.find(digest_of(key));
    return found == m_team_of_key.end() ? nullptr : found->second;
}

std::shared_ptr<const team> team_directory::find_named(std::string_view name) const
{
    const auto found = m_team_of_name.find(digest_of(name));
    return found == m_team_of_name.end() ? nullptr : found->second;
}

} // namespace ospreystair::teams
