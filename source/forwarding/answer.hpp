// The answer to a caller's request.

#ifndef OSPREYSTAIR_FORWARDING_ANSWER_HPP
#define OSPREYSTAIR_FORWARDING_ANSWER_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "forwarding/attempt.hpp"

namespace ospreystair::forwarding
{

enum class answer_kind
{
    relayed,   ///< One replica's reply, unchanged, whether success or failure.
    gathered,  ///< Merged from the parts that have been answered.
    not_run,   ///< Refused; the request has not run and will not run.
    failed,    ///< No usable reply; the request may have run.
    timed_out, ///< No answer before the caller's deadline or the route's timeout.
    abandoned  ///< The caller has closed its connection.
};

constexpr std::string_view to_string(answer_kind kind)
{
    switch (kind)
    {
    case answer_kind::relayed:
        return "relayed";
    case answer_kind::gathered:
        return "gathered";
    case answer_kind::not_run:
        return "not_run";
    case answer_kind::failed:
        return "failed";
    case answer_kind::timed_out:
        return "timed_out";
    case answer_kind::abandoned:
        return "abandoned";
    }
    return "failed";
}

/// The reply to a part, as far as it identifies a run of the request.
struct part_reply
{
    reply_source source;
    std::string receipt;
};

struct answer
{
    answer_kind kind = answer_kind::failed;
    /// Set with `relayed`.
    replica_reply reply;
    /// Set with `gathered`: the receipts of the answered parts, the number of missing parts, and
    /// the merged records.
    std::vector<std::string> receipts;
    /// Set with `gathered`: the replies to the parts that were sent more than once.
    std::vector<part_reply> repeated_parts;
    std::size_t missing_parts = 0;
    std::string records;
    /// Set with `not_run`: how long the caller should wait before it sends the request again.
    std::optional<std::chrono::milliseconds> retry_after;
    /// Set with `not_run` and `failed`: this VM reaches too few replicas, so that another VM may
    /// serve the request.
    bool is_out_of_reach = false;
    /// Why the request did not succeed, or why parts are missing.
    std::string reason;
    /// Number of attempts sent to replicas, and how many of them were repeats (retries or hedges).
    std::uint32_t sends = 0;
    std::uint32_t repeats = 0;

    bool has_succeeded() const
    {
        return kind == answer_kind::relayed || kind == answer_kind::gathered;
    }
};

} // namespace ospreystair::forwarding

#endif
