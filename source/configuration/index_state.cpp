// JSON conversion of index versions.

#include "configuration/index_state.hpp"

#include <fmt/format.h>

namespace ospreystair::configuration
{

Json::Value to_json(const index_state& value)
{
    Json::Value result;
    result["current"] = Json::UInt64{value.current_version};
    result["versions"] = Json::arrayValue;
    for (const auto& [version, shards] : value.versions)
    {
        Json::Value entry;
        entry["version"] = Json::UInt64{version};
        entry["shards"] = Json::arrayValue;
        for (const std::string& name : shards)
            entry["shards"].append(name);
        result["versions"].append(std::move(entry));
    }
    return result;
}

std::optional<index_state> index_state_from_json(const Json::Value& value, base::error& reason)
{
    index_state result;
    try
    {
        result.current_version = value["current"].asUInt64();
        for (const Json::Value& entry : value["versions"])
        {
            std::vector<std::string>& shards = result.versions[entry["version"].asUInt64()];
            for (const Json::Value& name : entry["shards"])
                shards.push_back(name.asString());
        }
    }
    catch (const Json::Exception& exception)
    {
        return base::fail(reason, base::error_kind::protocol,
                          fmt::format("an index object has a member of the wrong type: {}; publish "
                                      "it again",
                                      exception.what()));
    }
    for (const auto& [version, shards] : result.versions)
        if (shards.empty())
            return base::fail(reason, base::error_kind::invalid_argument,
                              fmt::format("index version {} has no shards; publish it with at "
                                          "least one",
                                          version));
    if (!result.versions.contains(result.current_version))
        return base::fail(reason, base::error_kind::invalid_argument,
                          fmt::format("current index version {} is not among the versions; publish "
                                      "it first",
                                      result.current_version));
    return result;
}

} // namespace ospreystair::configuration
