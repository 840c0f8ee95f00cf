// Publishes versions of a service's index.

#include "configuration/index_publication.hpp"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace ospreystair::configuration
{

namespace
{

bool is_publication_valid(const publish_index& statement, base::error& reason)
{
    const std::set<std::string> names(statement.shards.begin(), statement.shards.end());
    const bool is_valid = names.size() == statement.shards.size() &&
                          std::all_of(names.begin(), names.end(), is_valid_name) &&
                          is_valid_name(statement.service) && statement.version > 0;
    if (!is_valid)
        base::fail(
            reason, base::error_kind::invalid_argument,
            fmt::format("publication of index \"{}\" version {} has a name that is not valid, "
                        "a shard that occurs twice or version 0; correct it",
                        statement.service, statement.version));
    return is_valid;
}

// Removes the oldest versions above the limit, but never the current one.
void remove_oldest_versions(index_state& state)
{
    for (auto position = state.versions.begin();
         position != state.versions.end() && state.versions.size() > max_index_versions;)
        position = position->first == state.current_version ? std::next(position)
                                                            : state.versions.erase(position);
}

} // namespace

std::optional<index_state> publish(const publish_index& statement,
                                   const std::optional<index_state>& before, base::error& reason)
{
    if (!is_publication_valid(statement, reason))
        return std::nullopt;
    index_state result = before.value_or(index_state{});
    const auto published_version = result.versions.find(statement.version);
    if (published_version == result.versions.end())
    {
        if (statement.shards.empty())
            return base::fail(reason, base::error_kind::not_found,
                              fmt::format("index version {} of service \"{}\" was not published; "
                                          "publish it with its shards",
                                          statement.version, statement.service));
        result.versions[statement.version] = statement.shards;
    }
    else if (!statement.shards.empty() && published_version->second != statement.shards)
        return base::fail(reason, base::error_kind::invalid_argument,
                          fmt::format("index version {} of service \"{}\" is published with shards "
                                      "{}; publish other shards under a new version",
                                      statement.version, statement.service,
                                      fmt::join(published_version->second, ", ")));
    if (statement.set_current || !before)
    {
        if (statement.version < result.current_version)
            return base::fail(reason, base::error_kind::invalid_argument,
                              fmt::format("current index version {} of service \"{}\" is higher "
                                          "than {}; publish the shards under a higher version",
                                          result.current_version, statement.service,
                                          statement.version));
        result.current_version = statement.version;
    }
    remove_oldest_versions(result);
    if (!result.versions.contains(statement.version))
        return base::fail(reason, base::error_kind::invalid_argument,
                          fmt::format("index version {} of service \"{}\" is older than the {} "
                                      "versions that are kept; publish a higher version",
                                      statement.version, statement.service, max_index_versions));
    return result;
}

bool is_published(const publish_index& statement, const index_state& state)
{
    const auto published_version = state.versions.find(statement.version);
    if (published_version == state.versions.end())
        return false;
    return (statement.shards.empty() || published_version->second == statement.shards) &&
           (!statement.set_current || state.current_version >= statement.version);
}

} // namespace ospreystair::configuration
