// JSON conversion of the view that an agent sends to its entry.

#include "configuration/view.hpp"

#include <fmt/format.h>

namespace ospreystair::configuration
{

Json::Value to_json(const member& value)
{
    Json::Value result;
    result["vm"] = value.vm;
    result["data_centre"] = value.data_centre;
    result["address"] = value.address.to_text();
    result["state"] = value.state;
    result["incarnation"] = Json::UInt64{value.incarnation};
    result["configuration_version"] = Json::UInt64{value.configuration_version};
    return result;
}

member member_from_json(const Json::Value& value)
{
    member item;
    item.vm = value["vm"].asString();
    item.data_centre = value["data_centre"].asString();
    item.address = settings::socket_address::from_text(value["address"].asString())
                       .value_or(settings::socket_address{});
    item.state = value["state"].asString();
    item.incarnation = value["incarnation"].asUInt64();
    item.configuration_version = value["configuration_version"].asUInt64();
    return item;
}

Json::Value to_json(const view& value)
{
    Json::Value result;
    result["revision"] = Json::UInt64{value.revision};
    result["configuration_version"] = Json::UInt64{value.configuration_version};
    result["configuration"] = to_json(value.configuration);
    result["indexes"] = Json::objectValue;
    for (const auto& [service_name, state] : value.indexes)
        result["indexes"][service_name] = to_json(state);
    result["members"] = Json::arrayValue;
    for (const member& item : value.members)
        result["members"].append(to_json(item));
    result["draining"] = Json::arrayValue;
    for (const std::string& name : value.draining)
        result["draining"].append(name);
    return result;
}

std::optional<view> view_from_json(const Json::Value& value, base::error& reason)
{
    view result;
    try
    {
        result.revision = value["revision"].asUInt64();
        result.configuration_version = value["configuration_version"].asUInt64();
        auto configuration = document_from_json(value["configuration"], reason);
        if (!configuration)
            return std::nullopt;
        result.configuration = std::move(*configuration);
        for (const std::string& service_name : value["indexes"].getMemberNames())
        {
            auto state = index_state_from_json(value["indexes"][service_name], reason);
            if (!state)
                return std::nullopt;
            result.indexes.emplace(service_name, std::move(*state));
        }
        for (const Json::Value& item : value["members"])
            result.members.push_back(member_from_json(item));
        for (const Json::Value& name : value["draining"])
            result.draining.insert(name.asString());
        // Operators' drains are part of the configuration and apply on every VM that has it,
        // without gossip.
        result.draining.insert(result.configuration.draining.begin(),
                               result.configuration.draining.end());
    }
    catch (const Json::Exception& exception)
    {
        return base::fail(
            reason, base::error_kind::protocol,
            fmt::format("the agent's view has a member of the wrong type: {}; run the "
                        "same release on both",
                        exception.what()));
    }
    return result;
}

} // namespace ospreystair::configuration
