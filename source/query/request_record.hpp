// The record of a request, which tells an operator what happened to it and why.

#ifndef OSPREYSTAIR_QUERY_REQUEST_RECORD_HPP
#define OSPREYSTAIR_QUERY_REQUEST_RECORD_HPP

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <json/json.h>

#include "query/gathered_answers.hpp"
#include "query/sub_request.hpp"

namespace ospreystair::query
{

/// Why an attempt was made.
enum class attempt_kind
{
    first,
    retry,
    hedge
};

std::string_view to_string(attempt_kind kind);

/// One attempt at one replica. Times are relative to the start of the request.
struct attempt_record
{
    std::string shard;
    std::string replica;
    attempt_kind kind = attempt_kind::first;
    std::string reason;
    std::chrono::microseconds start{0};
    std::chrono::microseconds elapsed{0};
    sub_result result = sub_result::cancelled;
    std::string error;
    bool is_finished = false;
};

/// A shard without an answer.
struct missing_shard
{
    std::string shard;
    sub_result reason = sub_result::timeout;
    /// The data centres in which the configuration has replicas of it.
    std::set<std::string> data_centres;
};

/// One request from arrival to answer.
struct request_record
{
    std::string request_id;
    std::string service;
    std::string kind;
    std::string outcome;
    int status = 0;
    std::string stamp;
    std::uint64_t index_version = 0;
    std::uint64_t configuration_version = 0;
    std::chrono::milliseconds deadline{0};
    std::chrono::microseconds elapsed{0};
    std::size_t shard_count = 0;
    std::size_t answered_count = 0;
    std::vector<missing_shard> missing;
    std::string refusal_kind;
    std::string refusal_message;
    std::string idempotency_key;
    std::string claim_state;
    std::uint32_t restart_count = 0;
    std::vector<attempt_record> attempts;

    /// Returns whether the record must outlive the process: it is of a command, or the request was
    /// refused, failed or answered in part.
    bool is_durable() const;
};

Json::Value to_json(const request_record& record);
/// Like to_json(), with the number of elements in place of each list; for listings of many
/// requests.
Json::Value to_summary_json(const request_record& record);

} // namespace ospreystair::query

#endif
