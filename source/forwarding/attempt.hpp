// One attempt to run a request on one replica, and its outcome.

#ifndef OSPREYSTAIR_FORWARDING_ATTEMPT_HPP
#define OSPREYSTAIR_FORWARDING_ATTEMPT_HPP

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/fingerprint.hpp"
#include "forwarding/replica.hpp"
#include "forwarding/route_knowledge.hpp"

namespace ospreystair::forwarding
{

/// The sending of a request that a reply answers.
struct reply_source
{
    /// Id of the replica; empty when it is not known.
    std::string replica;
    /// Number of the sending among all sendings of the request by this VM, from 1.
    std::uint32_t sending = 0;
    /// Number of the connection among all connections of this VM.
    std::uint64_t connection = 0;
};

/// A complete reply of a replica.
struct replica_reply
{
    unsigned status = 0;
    reply_source source;
    /// The replica's proof that it answered this request; empty when the reply has none.
    std::string receipt;
    std::string body;
    /// Other header fields, relayed to the caller.
    std::vector<std::pair<std::string, std::string>> fields;
};

/// How an attempt ended, and so whether the request may have run.
enum class attempt_outcome
{
    succeeded, ///< A complete reply with a success status and a receipt.
    failed,    ///< Any other complete reply: the request ran, or was rejected as invalid.
    refused,   ///< The replica reports that it has not run the request.
    misplaced, ///< Another replica uses the address, and has not run the request.
    lost,      ///< Sent, but no usable reply came: the request may have run.
    not_sent   ///< No byte was sent.
};

constexpr bool may_have_run(attempt_outcome outcome)
{
    return outcome == attempt_outcome::succeeded || outcome == attempt_outcome::failed ||
           outcome == attempt_outcome::lost;
}

constexpr std::string_view to_string(attempt_outcome outcome)
{
    switch (outcome)
    {
    case attempt_outcome::succeeded:
        return "succeeded";
    case attempt_outcome::failed:
        return "failed";
    case attempt_outcome::refused:
        return "refused";
    case attempt_outcome::misplaced:
        return "misplaced";
    case attempt_outcome::lost:
        return "lost";
    case attempt_outcome::not_sent:
        return "not_sent";
    }
    return "lost";
}

struct attempt_result
{
    attempt_outcome outcome = attempt_outcome::lost;
    replica_reply reply;
    std::optional<load_report> load;
    /// The replica announces that it is about to stop.
    bool is_leaving = false;
    /// How long the replica wants no requests from this VM.
    std::optional<std::chrono::milliseconds> closed_for;
    /// Requests a second that the replica takes from all VMs together; empty when it takes any
    /// number.
    std::optional<double> request_limit;
    /// How long the replica stays cold, as far as it says so; 0 when it is warm.
    std::optional<std::chrono::milliseconds> warm_up_left;
    /// With `not_sent`: the replica has reached its connection limit.
    bool is_connection_rejected = false;
    /// With `lost`: the replica accepts no connections since, so that its process has ended.
    bool has_crashed = false;
    /// Why there is no usable reply.
    std::string reason;
};

/// Whether a replica has run the request and answered it.
inline bool shows_execution(const attempt_result& result)
{
    return result.outcome == attempt_outcome::succeeded ||
           (result.outcome == attempt_outcome::failed && !result.reply.receipt.empty());
}

/// `Run` is the type of the request that the attempt belongs to, `Message` that of the data sent.
template<class Run, class Message>
struct attempt
{
    std::shared_ptr<replica> target;
    std::shared_ptr<const Message> message;
    /// Expired once the request has been answered.
    std::weak_ptr<Run> run;
    std::size_t part = 0;
    /// Number of the sending among all sendings of the request by this VM, from 1.
    std::uint32_t sending = 0;
    /// Number of the connection among all connections of this VM; 0 until the attempt is sent.
    std::uint64_t connection = 0;
    /// Recognises requests with the same content.
    base::fingerprint fingerprint;
    base::time_point sent_at{};
    /// When the replica should stop working on the request.
    base::time_point deadline{};
    latency_baseline baseline;
    /// Records the attempt's latency, also after the request has been answered.
    std::shared_ptr<route_knowledge> statistics;
    bool is_idempotent = false;
    /// Whether the attempt is for one part of a gathered answer.
    bool is_part = false;
    /// Whether the request was sent to this service before (retry or hedge).
    bool is_repeat = false;
    bool is_ended = false;

    reply_source source() const { return {target->registry_entry().id, sending, connection}; }
};

} // namespace ospreystair::forwarding

#endif
