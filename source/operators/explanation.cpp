// Renders a request's record as an explanation that an operator can read.

#include "operators/explanation.hpp"

#include <fmt/format.h>

namespace ospreystair::operators
{

namespace
{

// The functions below throw Json::Exception when a member has another type.

std::string text_of(const Json::Value& value, const char* name, const char* fallback = "unknown")
{
    // fmt prints the shortest form; JsonCpp prints 17 digits.
    const std::string text = value[name].type() == Json::realValue
                                 ? fmt::format("{}", value[name].asDouble())
                                 : value[name].asString();
    return text.empty() ? fallback : text;
}

std::string describe_request(const Json::Value& record)
{
    return fmt::format("request {} to service {} ({}): {}", text_of(record, "request_id"),
                       text_of(record, "service"), text_of(record, "kind"),
                       text_of(record, "outcome", text_of(record, "status").c_str()));
}

std::string describe_time(const Json::Value& record)
{
    return fmt::format("time: {} ms of a deadline of {} ms, status {}",
                       text_of(record, "elapsed_ms"), text_of(record, "deadline_ms"),
                       text_of(record, "status"));
}

std::string describe_snapshot(const Json::Value& record)
{
    return fmt::format("snapshot: index version {} of {}, configuration version {}",
                       text_of(record["snapshot"], "index_version"),
                       text_of(record["snapshot"], "service"),
                       text_of(record, "configuration_version"));
}

void describe_coverage(const Json::Value& coverage, std::vector<std::string>& lines)
{
    lines.push_back(fmt::format("coverage: {} of {} shards answered", text_of(coverage, "answered"),
                                text_of(coverage, "shards")));
    for (const Json::Value& missing : coverage["missing"])
    {
        // Entries of earlier releases list shard names only.
        if (missing.isString())
        {
            lines.push_back(fmt::format("  shard {} is missing", missing.asString()));
            continue;
        }
        std::string line = fmt::format("  shard {} is missing: {}", text_of(missing, "shard"),
                                       text_of(missing, "reason"));
        std::string_view separator = ", in ";
        for (const Json::Value& data_centre : missing["data_centres"])
        {
            line += fmt::format("{}{}", separator, data_centre.asString());
            separator = ", ";
        }
        lines.push_back(std::move(line));
    }
}

std::string describe_claim(const Json::Value& claim)
{
    const std::string state = text_of(claim, "state");
    std::string_view meaning = "see the claim's object in the platform";
    if (state == "ran")
        meaning = "a retry with this key returns the recorded outcome";
    else if (state == "not_run")
        meaning = "no byte reached an upstream's handler; the caller may retry";
    else if (state == "unknown" || state == "claimed")
        meaning = "the command may have run; the caller must check with the service";
    return fmt::format("claim: key {}, attempt {}, state {}: {}", text_of(claim, "key"),
                       text_of(claim, "token"), state, meaning);
}

std::string describe_sub_request(const Json::Value& item)
{
    std::string line = fmt::format("  at {} ms: {} to replica {} of shard {}",
                                   text_of(item, "start_ms"), text_of(item, "attempt", "first"),
                                   text_of(item, "replica"), text_of(item, "shard"));
    const std::string why = text_of(item, "reason", "");
    if (!why.empty())
        line += fmt::format(" ({})", why);
    line += fmt::format(", {} after {} ms", text_of(item, "result"), text_of(item, "elapsed_ms"));
    const std::string failure = item["error"].isObject() ? text_of(item["error"], "message", "")
                                                         : text_of(item, "error", "");
    if (!failure.empty())
        line += fmt::format(": {}", failure);
    return line;
}

std::vector<std::string> describe(const Json::Value& record)
{
    std::vector<std::string> lines{describe_request(record), describe_time(record)};
    if (record.isMember("source"))
        lines.push_back(fmt::format("source: {}", text_of(record, "source")));
    if (record["snapshot"].isObject())
        lines.push_back(describe_snapshot(record));
    if (record["coverage"].isObject())
        describe_coverage(record["coverage"], lines);
    if (record["refusal"].isObject())
        lines.push_back(fmt::format("refused ({}): {}", text_of(record["refusal"], "kind"),
                                    text_of(record["refusal"], "message")));
    if (record["claim"].isObject())
        lines.push_back(describe_claim(record["claim"]));
    lines.push_back(fmt::format("sub-requests: {}", record["sub_requests"].size()));
    for (const Json::Value& item : record["sub_requests"])
        lines.push_back(describe_sub_request(item));
    return lines;
}

} // namespace

std::optional<std::vector<std::string>> explain(const Json::Value& record, base::error& reason)
{
    try
    {
        return describe(record);
    }
    catch (const Json::Exception& exception)
    {
        return base::fail(
            reason, base::error_kind::protocol,
            fmt::format("the request's record has a member of the wrong type: {}; run "
                        "the same release on all VMs",
                        exception.what()));
    }
}

} // namespace ospreystair::operators
