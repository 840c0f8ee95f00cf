// What a caller gets for its request.

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
    relayed,   ///< One replica's reply as it came, success or failure.
    gathered,  ///< Merged from the parts that are in.
    not_run,   ///< Refused; the request has not run and will not.
    failed,    ///< Given up; the request may have run.
    timed_out, ///< No answer within the time that the caller or the route allows.
    abandoned  ///< The caller has left.
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

struct answer
{
    answer_kind kind = answer_kind::failed;
    /// With `relayed`.
    replica_reply reply;
    /// With `gathered`: the receipts of the parts, how many are left out, and the merged records.
    std::vector<std::string> receipts;
    std::size_t missing_parts = 0;
    std::string records;
    /// With `not_run`: when it is worth coming back.
    std::optional<std::chrono::milliseconds> retry_after;
    /// Why there is no success, or why parts are missing.
    std::string reason;
    /// Sendings to replicas, and how many of them were repeats.
    std::uint32_t sends = 0;
    std::uint32_t repeats = 0;
};

} // namespace ospreystair::forwarding

#endif
