// Sends a command and derives its outcome (ran, not run or unknown) from the progress of the single
// exchange and from the reply.

#include "programs/entry/command_sender.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "programs/entry/replies.hpp"
#include "rpc/rpc_server.hpp"

namespace ospreystair::entry
{

namespace
{

std::shared_ptr<const http::request> make_command_request(const configuration::replica& target,
                                                          const command_request& command,
                                                          const dispatch::claim_handle& claim,
                                                          base::duration remaining)
{
    const auto remaining_ms = std::chrono::duration_cast<std::chrono::milliseconds>(remaining);
    auto message = std::make_shared<http::request>(http::verb::post, "/v1/command", 11);
    message->set(http::field::host, target.address.to_text());
    message->set("X-Request-Id", command.request_id);
    message->set("X-Shard", command.shard->name);
    message->set("Idempotency-Key", claim.key.text());
    message->set("X-Deadline-Ms", std::to_string(std::max<std::int64_t>(remaining_ms.count(), 1)));
    message->body() = command.body;
    message->prepare_payload();
    return message;
}

bool is_true(const http::response& reply, const char* name)
{
    return reply[name] == "true";
}

// The answer is embedded in a JSON document; one that is not valid JSON is embedded as a string.
std::string to_json_text(const std::string& body)
{
    base::error ignored;
    return rpc::parse_json(body, ignored) ? body : quote(body);
}

dispatch::outcome outcome_of(const query::upstream_exchange& exchange)
{
    if (!exchange.reply)
        return exchange.progress == http::exchange_progress::nothing_sent
                   ? dispatch::outcome::not_run
                   : dispatch::outcome::unknown;
    if (is_true(*exchange.reply, "X-Not-Run"))
        return dispatch::outcome::not_run;
    return exchange.reply->result() == http::status::ok ? dispatch::outcome::ran
                                                        : dispatch::outcome::unknown;
}

} // namespace

http::awaitable<command_result> command_sender::send(const command_request& command,
                                                     dispatch::dispatch_permit permit,
                                                     base::time_point deadline)
{
    base::error reason;
    auto ready = co_await connect(*command.shard, deadline, reason);
    if (!ready)
    {
        command_result result(dispatch::outcome::not_run, std::move(permit).consume());
        result.reason = std::move(reason);
        result.reason.message.insert(0, "not run: ");
        co_return result;
    }
    dispatch::claim_handle claim = std::move(permit).consume();
    co_return co_await exchange(command, std::move(claim), *ready, deadline);
}

http::awaitable<std::optional<command_sender::ready_connection>>
command_sender::connect(const configuration::shard& shard, base::time_point deadline,
                        base::error& reason)
{
    std::vector<std::string> tried;
    while (const configuration::replica* target = m_policy.choose(shard, tried, reason))
    {
        tried.push_back(target->name);
        auto pool = m_upstreams.find_pool(target->name);
        if (!pool)
            continue;
        const base::time_point start = m_clock.now();
        if (auto connection = co_await acquire_open_connection(*pool, deadline, reason))
        {
            ready_connection ready{target, std::move(pool), std::move(connection)};
            co_return ready;
        }
        record_connect_failure(*target, reason, start);
    }
    co_return std::nullopt;
}

// Skips persistent connections that the upstream has closed: a command sent on one would end with
// an unknown outcome although it never ran.
http::awaitable<query::connection_pointer>
command_sender::acquire_open_connection(query::connection_pool& pool, base::time_point deadline,
                                        base::error& reason)
{
    const auto cancel = std::make_shared<query::cancellation>();
    for (;;)
    {
        const auto connection = co_await pool.acquire(deadline, cancel, reason);
        if (!connection)
            co_return nullptr;
        const bool is_closed = co_await (*connection)->is_closed_by_peer();
        if (!is_closed)
            co_return *connection;
        pool.release(*connection);
    }
}

http::awaitable<command_result> command_sender::exchange(const command_request& command,
                                                         dispatch::claim_handle claim,
                                                         const ready_connection& ready,
                                                         base::time_point deadline)
{
    command_result result(dispatch::outcome::unknown, std::move(claim));
    const base::time_point start = m_clock.now();
    m_policy.begin(*ready.target);
    const auto message =
        make_command_request(*ready.target, command, result.claim, deadline - start);
    const query::upstream_exchange ended =
        co_await m_upstreams.exchange(ready.connection, message, deadline);
    ready.pool->release(ready.connection);
    result.result = outcome_of(ended);
    result.reason = ended.reason;
    record_exchange(*ready.target, command, ended, start, result);
    co_return result;
}

// Counts a failed connection attempt as a failure of the replica.
void command_sender::record_connect_failure(const configuration::replica& target,
                                            const base::error& reason, base::time_point start)
{
    m_policy.begin(target);
    m_policy.finish(target, {query::sub_result::unreachable, {}, reason}, m_clock.now() - start);
}

// Fills in the answer, the reason and the record of the attempt, and reports the attempt to
// routing.
void command_sender::record_exchange(const configuration::replica& target,
                                     const command_request& command,
                                     const query::upstream_exchange& ended, base::time_point start,
                                     command_result& result)
{
    query::sub_reply routing_reply{ended.is_mismatched ? query::sub_result::mismatched
                                                       : query::sub_result::unreachable,
                                   {},
                                   result.reason};
    if (const auto& reply = ended.reply)
    {
        result.answer = to_json_text(reply->body());
        routing_reply.is_draining = is_true(*reply, "X-Draining");
        routing_reply.is_complete = true;
        routing_reply.request_limit = query::find_request_limit(*reply);
        routing_reply.result = result.result == dispatch::outcome::ran
                                   ? query::sub_result::answered
                                   : query::sub_result::overloaded;
        if (result.result != dispatch::outcome::ran)
            result.reason = {result.result == dispatch::outcome::not_run
                                 ? base::error_kind::overloaded
                                 : base::error_kind::outcome_unknown,
                             fmt::format("the upstream answered with status {}; see its log",
                                         reply->result_int())};
    }
    const base::duration elapsed = m_clock.now() - start;
    m_policy.finish(target, routing_reply, elapsed);
    result.attempts.push_back({command.shard->name,
                               target.name,
                               query::attempt_kind::first,
                               "claim won",
                               {},
                               std::chrono::duration_cast<std::chrono::microseconds>(elapsed),
                               routing_reply.result,
                               result.reason.message,
                               true});
}

} // namespace ospreystair::entry
