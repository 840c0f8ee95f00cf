// Sends one command to one upstream, at most once.

#ifndef OSPREYSTAIR_PROGRAMS_ENTRY_COMMAND_SENDER_HPP
#define OSPREYSTAIR_PROGRAMS_ENTRY_COMMAND_SENDER_HPP

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dispatch/dispatch_permit.hpp"
#include "dispatch/outcome.hpp"
#include "programs/entry/entry_policy.hpp"
#include "query/request_record.hpp"
#include "query/upstream_client.hpp"

namespace ospreystair::entry
{

/// A command for one shard. It is not a query::sub_request, so that code that retries or hedges
/// does not accept it.
struct command_request
{
    command_request(std::string id, std::string text, const configuration::shard* target)
        : request_id(std::move(id)), body(std::move(text)), shard(target)
    {
    }

    std::string request_id;
    std::string body;
    const configuration::shard* shard = nullptr;
};

/// The outcome of a command. `claim` is the claim to record it for.
struct command_result
{
    command_result(dispatch::outcome command_outcome, dispatch::claim_handle command_claim)
        : result(command_outcome), claim(std::move(command_claim))
    {
    }

    dispatch::outcome result = dispatch::outcome::not_run;
    dispatch::claim_handle claim;
    std::string answer;
    base::error reason;
    std::vector<query::attempt_record> attempts;
};

/// Sends commands. Thread-safe.
class command_sender
{
public:
    command_sender(query::upstream_client& upstreams, entry_policy& policy,
                   const base::steady_clock_source& clock)
        : m_upstreams(upstreams), m_policy(policy), m_clock(clock)
    {
    }

    /// Consumes the permit. Acquires an open connection to any usable replica of the shard, which
    /// sends nothing, and then writes the command to exactly one. `command` must outlive the call.
    http::awaitable<command_result> send(const command_request& command,
                                         dispatch::dispatch_permit permit,
                                         base::time_point deadline);

private:
    void record_connect_failure(const configuration::replica& target, const base::error& reason,
                                base::time_point start);
    void record_exchange(const configuration::replica& target, const command_request& command,
                         const query::upstream_exchange& ended, base::time_point start,
                         command_result& result);

    // A connection that is ready for the command.
    struct ready_connection
    {
        const configuration::replica* target = nullptr;
        std::shared_ptr<query::connection_pool> pool;
        query::connection_pointer connection;
    };

    http::awaitable<std::optional<ready_connection>>
    connect(const configuration::shard& shard, base::time_point deadline, base::error& reason);
    http::awaitable<query::connection_pointer> acquire_open_connection(query::connection_pool& pool,
                                                                       base::time_point deadline,
                                                                       base::error& reason);
    http::awaitable<command_result> exchange(const command_request& command,
                                             dispatch::claim_handle claim,
                                             const ready_connection& ready,
                                             base::time_point deadline);

    query::upstream_client& m_upstreams;
    entry_policy& m_policy;
    const base::steady_clock_source& m_clock;
};

} // namespace ospreystair::entry

#endif
