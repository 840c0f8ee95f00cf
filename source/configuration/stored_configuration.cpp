// JSON conversion and history of the platform object `configuration`.

#include "configuration/stored_configuration.hpp"

#include <limits>
#include <utility>

#include <fmt/format.h>

#include "configuration/document_change.hpp"
#include "rpc/rpc_server.hpp"

namespace ospreystair::configuration
{

namespace
{

std::size_t byte_size(const change_record& record)
{
    return record.token.size() + record.operator_name.size() + record.statements.size() +
           record.undo.size();
}

void remove_oldest_records(std::vector<change_record>& history)
{
    std::size_t bytes = 0;
    std::size_t kept_count = 0;
    // The newest record is always kept: its token shows whether a write whose answer was lost has
    // been applied.
    while (kept_count < history.size() && kept_count < stored_configuration::max_record_count)
    {
        bytes += byte_size(history[history.size() - 1 - kept_count]);
        if (kept_count > 0 && bytes > stored_configuration::max_history_bytes)
            break;
        ++kept_count;
    }
    history.erase(history.begin(), history.end() - static_cast<std::ptrdiff_t>(kept_count));
}

Json::Value to_json(const change_record& record)
{
    Json::Value value;
    value["base_version"] = Json::UInt64{record.base_version};
    value["token"] = record.token;
    value["operator"] = record.operator_name;
    value["statements"] = record.statements;
    value["undo"] = record.undo;
    return value;
}

// Throws Json::Exception if a member has the wrong type.
change_record change_record_from_json(const Json::Value& value)
{
    change_record record;
    record.base_version = value["base_version"].asUInt64();
    record.token = value["token"].asString();
    record.operator_name = value["operator"].asString();
    record.statements = value["statements"].asString();
    record.undo = value["undo"].asString();
    return record;
}

} // namespace

std::string stored_configuration::token() const
{
    return history.empty() ? std::string() : history.back().token;
}

void stored_configuration::record_change(document after, std::string change_token,
                                         std::string operator_name,
                                         const std::vector<change>& changes)
{
    change_record record;
    record.base_version = version;
    record.token = std::move(change_token);
    record.operator_name = std::move(operator_name);
    record.statements = print(changes);
    record.undo = print(changes_between(after, configuration));
    history.push_back(std::move(record));
    configuration = std::move(after);
    remove_oldest_records(history);
}

std::optional<document> stored_configuration::document_at(std::uint64_t earlier_version,
                                                          base::error& reason) const
{
    if (earlier_version == version)
        return configuration;
    document result = configuration;
    for (auto record = history.rbegin(); record != history.rend(); ++record)
    {
        if (!record->undo.empty())
        {
            const auto undo =
                parse_command(record->undo, reason, std::numeric_limits<std::size_t>::max());
            const auto* const changes = undo ? std::get_if<change_set>(&*undo) : nullptr;
            if (changes == nullptr)
                break;
            auto earlier = apply(changes->changes, result, reason);
            if (!earlier)
                break;
            result = std::move(*earlier);
        }
        if (record->base_version == earlier_version)
            return result;
        if (record->base_version < earlier_version)
            break;
    }
    return base::fail(reason, base::error_kind::not_found,
                      fmt::format("configuration version {} is not in the history; see show "
                                  "history for the versions that are",
                                  earlier_version));
}

Json::Value to_json(const stored_configuration& value)
{
    Json::Value result;
    result["token"] = value.token();
    result["configuration"] = to_json(value.configuration);
    result["history"] = Json::arrayValue;
    for (const change_record& record : value.history)
        result["history"].append(to_json(record));
    return result;
}

std::optional<stored_configuration>
stored_configuration_from_json(const Json::Value& value, std::uint64_t version, base::error& reason)
{
    stored_configuration result;
    result.version = version;
    try
    {
        auto configuration = document_from_json(value["configuration"], reason);
        if (!configuration)
            return std::nullopt;
        result.configuration = normalize(std::move(*configuration));
        for (const Json::Value& item : value["history"])
            result.history.push_back(change_record_from_json(item));
    }
    catch (const Json::Exception& exception)
    {
        return base::fail(reason, base::error_kind::protocol,
                          fmt::format("the configuration object has a member of the wrong type: "
                                      "{}; write it with ospreystairctl",
                                      exception.what()));
    }
    std::uint64_t record_version = version;
    for (auto record = result.history.rbegin(); record != result.history.rend(); ++record)
    {
        record->version = record_version;
        record_version = record->base_version;
    }
    return result;
}

std::optional<stored_configuration>
stored_configuration_from_text(const std::string& text, std::uint64_t version, base::error& reason)
{
    const auto value = rpc::parse_json(text, reason);
    if (!value)
        return std::nullopt;
    if (!value->isObject())
        return base::fail(reason, base::error_kind::protocol,
                          "the configuration object is not a JSON object; write it with "
                          "ospreystairctl");
    return stored_configuration_from_json(*value, version, reason);
}

} // namespace ospreystair::configuration
