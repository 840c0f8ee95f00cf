// One sending of a request to one replica, and how it ended.

#ifndef OSPREYSTAIR_FORWARDING_ATTEMPT_HPP
#define OSPREYSTAIR_FORWARDING_ATTEMPT_HPP

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "forwarding/replica.hpp"
#include "forwarding/route_knowledge.hpp"

namespace ospreystair::forwarding
{

/// A whole reply of a replica.
struct replica_reply
{
    unsigned status = 0;
    /// The replica's proof that it answered this request; empty when it gave none.
    std::string receipt;
    std::string body;
    /// Other header fields to pass on.
    std::vector<std::pair<std::string, std::string>> fields;
};

/// How an attempt ended. The kinds differ in whether the request may have run.
enum class attempt_outcome
{
    succeeded, ///< A whole reply with success and a receipt.
    failed,    ///< A whole reply of another kind: it ran, or was rejected as wrong.
    refused,   ///< The replica says that it has not run the request.
    misplaced, ///< Another replica has the address, and has not run the request.
    lost,      ///< Sent without a usable reply: it may have run.
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
    /// Why there is no usable reply.
    std::string reason;
};

/// `Run` is the request that the attempt belongs to, `Message` what is sent.
template<class Run, class Message>
struct attempt
{
    std::shared_ptr<replica> target;
    std::shared_ptr<const Message> message;
    /// Empty once the request has its answer.
    std::weak_ptr<Run> run;
    std::size_t part = 0;
    base::time_point sent_at{};
    /// When the replica should stop.
    base::time_point deadline{};
    usual_times usual;
    /// What its end teaches, also after the request has its answer.
    std::shared_ptr<route_knowledge> knowledge;
    bool is_idempotent = false;
    /// One of the parts of a gathered answer.
    bool is_part = false;
    /// Second or later sending of its request to this service.
    bool is_repeat = false;
    bool is_ended = false;
};

} // namespace ospreystair::forwarding

#endif
