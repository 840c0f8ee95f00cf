// JSON form of request records.

#include "query/request_record.hpp"

namespace ospreystair::query
{

namespace
{

double to_milliseconds(std::chrono::microseconds value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

Json::Value to_json(const attempt_record& attempt)
{
    Json::Value value;
    value["shard"] = attempt.shard;
    value["replica"] = attempt.replica;
    value["attempt"] = std::string(to_string(attempt.kind));
    value["reason"] = attempt.reason;
    value["start_ms"] = to_milliseconds(attempt.start);
    value["elapsed_ms"] = to_milliseconds(attempt.elapsed);
    value["result"] = std::string(to_string(attempt.result));
    if (!attempt.error.empty())
        value["error"] = attempt.error;
    return value;
}

Json::Value to_json(const missing_shard& missing)
{
    Json::Value value;
    value["shard"] = missing.shard;
    value["reason"] = std::string(to_string(missing.reason));
    value["data_centres"] = Json::arrayValue;
    for (const std::string& name : missing.data_centres)
        value["data_centres"].append(name);
    return value;
}

// The record without its lists.
Json::Value make_json_without_lists(const request_record& record)
{
    Json::Value value;
    value["request_id"] = record.request_id;
    value["service"] = record.service;
    value["kind"] = record.kind;
    value["outcome"] = record.outcome;
    value["status"] = record.status;
    value["stamp"] = record.stamp;
    value["snapshot"]["service"] = record.service;
    value["snapshot"]["index_version"] = Json::UInt64{record.index_version};
    value["configuration_version"] = Json::UInt64{record.configuration_version};
    value["deadline_ms"] = Json::Int64{record.deadline.count()};
    value["elapsed_ms"] = to_milliseconds(record.elapsed);
    value["coverage"]["shards"] = Json::UInt64{record.shard_count};
    value["coverage"]["answered"] = Json::UInt64{record.answered_count};
    if (!record.refusal_kind.empty())
    {
        value["refusal"]["kind"] = record.refusal_kind;
        value["refusal"]["message"] = record.refusal_message;
    }
    if (!record.idempotency_key.empty())
    {
        value["claim"]["key"] = record.idempotency_key;
        value["claim"]["state"] = record.claim_state;
    }
    value["restarts"] = record.restart_count;
    return value;
}

} // namespace

std::string_view to_string(attempt_kind kind)
{
    switch (kind)
    {
    case attempt_kind::first:
        return "first";
    case attempt_kind::retry:
        return "retry";
    case attempt_kind::hedge:
        return "hedge";
    }
    return "first";
}

bool request_record::is_durable() const
{
    return kind == "command" || outcome != "ran" || answered_count < shard_count;
}

Json::Value to_json(const request_record& record)
{
    Json::Value value = make_json_without_lists(record);
    value["coverage"]["missing"] = Json::arrayValue;
    for (const missing_shard& missing : record.missing)
        value["coverage"]["missing"].append(to_json(missing));
    value["sub_requests"] = Json::arrayValue;
    for (const attempt_record& attempt : record.attempts)
        value["sub_requests"].append(to_json(attempt));
    return value;
}

Json::Value to_summary_json(const request_record& record)
{
    Json::Value value = make_json_without_lists(record);
    value["coverage"]["missing"] = Json::UInt64{record.missing.size()};
    value["sub_requests"] = Json::UInt64{record.attempts.size()};
    return value;
}

} // namespace ospreystair::query
