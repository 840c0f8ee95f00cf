// The part of a request that goes to one service, and the answer merged from all parts of a query.

#ifndef OSPREYSTAIR_FORWARDING_QUERY_PART_HPP
#define OSPREYSTAIR_FORWARDING_QUERY_PART_HPP

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "forwarding/answer.hpp"
#include "forwarding/replica.hpp"

namespace ospreystair::forwarding
{

enum class part_state
{
    open,
    answered,
    failed
};

/// The part of a request that one service answers; a request to one service has one part.
struct query_part
{
    explicit query_part(std::string name) : service(std::move(name)) {}

    std::string service;
    part_state state = part_state::open;
    replica_reply reply;
    /// Replicas that attempts were sent to, one entry for each attempt.
    std::vector<std::shared_ptr<replica>> tried;
    /// Replicas that refused the request without being full. They have not run it and may be asked
    /// again.
    std::vector<std::shared_ptr<replica>> refused_by;
    std::size_t open_attempts = 0;
    /// Whether the part waits for a free connection to a replica.
    bool is_waiting = false;
    /// Whether the part waits until another attempt shows that the request does not crash replicas.
    bool is_held = false;
    /// When a hedge is due; empty when no hedge is scheduled.
    std::optional<base::time_point> hedge_at;
    /// The most recent failure reply, relayed when no attempt succeeds.
    std::optional<replica_reply> last_failure;
    /// Why there is no reply.
    std::string reason;
};

/// Merges the answered parts and counts the others as missing. Moves the receipts out of `parts`.
answer gather_parts(std::vector<query_part>& parts, std::size_t max_records);

} // namespace ospreystair::forwarding

#endif
