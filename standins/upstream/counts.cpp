// Writes the counts of a replica as JSON.

#include "standins/upstream/counts.hpp"

namespace ospreystair::standin_upstream
{

counts::counts(std::size_t record_limit)
    : m_record_limit(record_limit), m_executions_by_key(record_limit),
      m_executions_by_request(record_limit), m_versions_by_request(record_limit)
{
}

void counts::add_execution(const std::string& idempotency_key, const std::string& request_id)
{
    ++commands_executed;
    if (m_record_limit == 0)
        return;
    ++m_executions_by_key.at(idempotency_key);
    ++m_executions_by_request.at(request_id);
}

void counts::add_answer(const std::string& request_id, std::uint64_t version)
{
    ++searches_answered;
    if (m_record_limit != 0)
        m_versions_by_request.at(request_id).insert(version);
}

Json::Value counts::to_json() const
{
    Json::Value result(Json::objectValue);
    const auto put = [&result](const char* name, std::uint64_t value)
    {
        result[name] = static_cast<Json::UInt64>(value);
    };
    put("requests", requests);
    put("searches_answered", searches_answered);
    put("commands_executed", commands_executed);
    put("queued", queued);
    put("refused", refused);
    put("expired", expired);
    put("cancelled", cancelled);
    put("faults", faults);
    put("version_not_held", version_not_held);
    put("shard_not_here", shard_not_here);
    put("connections_opened", connections_opened);
    put("highest_connections", highest_connections);
    put("highest_in_flight", highest_in_flight);
    put("slot_violations", slot_violations);
    put("connection_violations", connection_violations);
    put("requests_while_draining", requests_while_draining);
    put("records_forgotten", m_executions_by_key.forgotten() + m_executions_by_request.forgotten() +
                                 m_versions_by_request.forgotten());
    result["last_request_after_drain_ms"] = static_cast<Json::Int64>(last_request_after_drain_ms);
    result["first_request_after_drain_ms"] = static_cast<Json::Int64>(first_request_after_drain_ms);
    result["executions_by_key"] = Json::objectValue;
    for (const auto& [key, count] : m_executions_by_key.values())
        result["executions_by_key"][key] = static_cast<Json::UInt64>(count);
    result["executions_by_request"] = Json::objectValue;
    for (const auto& [id, count] : m_executions_by_request.values())
        result["executions_by_request"][id] = static_cast<Json::UInt64>(count);
    result["versions_by_request"] = Json::objectValue;
    for (const auto& [id, versions] : m_versions_by_request.values())
    {
        Json::Value& list = result["versions_by_request"][id];
        list = Json::arrayValue;
        for (const std::uint64_t version : versions)
            list.append(static_cast<Json::UInt64>(version));
    }
    return result;
}

} // namespace ospreystair::standin_upstream
