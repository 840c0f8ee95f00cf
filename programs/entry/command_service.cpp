// Claims the key of a command, dispatches the command at most once and records its outcome.

#include "programs/entry/command_service.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "programs/entry/replies.hpp"

namespace ospreystair::entry
{

namespace asio = http::asio;

namespace
{

// A claim that takes longer leaves too little time for the command; a healthy platform answers
// within milliseconds.
constexpr std::chrono::milliseconds max_claim_timeout{1000};
constexpr std::chrono::milliseconds record_timeout{5000};
// Upper bound of the time that a refusal is delayed by the release of the command's claim.
constexpr std::chrono::milliseconds release_timeout{500};
// After a claim failed because the platform is unreachable or timed out, further claims are refused
// at once for this long.
constexpr std::chrono::milliseconds platform_backoff{500};

http::response make_outcome_answer(const std::string& request_id, http::status code,
                                   dispatch::outcome result, bool is_repeat,
                                   const std::string& rest)
{
    http::response reply = http::make_json_response(
        code, fmt::format(R"({{"request_id":{},"outcome":"{}","repeated":{}{}}})"
                          "\n",
                          quote(request_id), dispatch::to_string(result), is_repeat, rest));
    reply.set("X-Request-Id", request_id);
    reply.set("X-Outcome", std::string(dispatch::to_string(result)));
    return reply;
}

std::string write_error(const base::error& reason)
{
    return fmt::format(R"(,"error":{{"kind":"{}","message":{}}})", base::to_string(reason.kind),
                       quote(reason.message));
}

const base::error unknown_outcome{
    base::error_kind::outcome_unknown,
    "the command may or may not have run; check with the service before sending it under another "
    "key",
    {}};

} // namespace

command_service::command_service(entry_context& context,
                                 std::unique_ptr<objects::http_object_store> store)
    : m_context(context), m_store(std::move(store)),
      m_ledger(ledger_type::create(context.io.get_executor(), *m_store, m_dispatch_clock,
                                   base::seeded_random(base::system_seed()),
                                   context.settings.identity)),
      m_sender(context.upstreams, context.policy, context.clock),
      m_latency(context.metrics.find_histogram("ospreystair_command_seconds")),
      m_claim_latency(context.metrics.find_histogram("ospreystair_claim_seconds"))
{
}

http::awaitable<http::response>
command_service::answer(std::string service_name, const http::request& message,
                        std::shared_ptr<http::exchange_context> exchange)
{
    const base::time_point start = m_context.clock.now();
    query::request_record record;
    record.request_id = m_context.identifiers.next();
    record.service = service_name;
    record.kind = "command";
    record.outcome = "not_run";
    record.stamp = m_context.log.clock().tick().to_text();
    const auto refuse = [&](const base::error& why)
    {
        record.refusal_kind = base::to_string(why.kind);
        record.refusal_message = why.message;
        return make_refusal(record.request_id, why);
    };
    base::error reason;
    auto command = check(service_name, message, start, reason);
    if (!command)
    {
        http::response reply = refuse(reason);
        co_return finish(std::move(record), start, std::move(reply));
    }
    record.idempotency_key = command->key->text();
    record.configuration_version = command->view->configuration_version;
    record.deadline =
        std::chrono::duration_cast<std::chrono::milliseconds>(command->deadline - start);
    auto ticket = co_await m_context.admission.acquire_ticket(
        *command->service, exchange->peer().address().to_string(), 1, command->deadline, reason);
    if (!ticket)
    {
        http::response reply = refuse(reason);
        co_return finish(std::move(record), start, std::move(reply));
    }
    auto claimed = co_await claim(*command, record.request_id, reason);
    if (!claimed)
    {
        record.claim_state = "not_claimed";
        http::response reply = refuse(reason);
        co_return finish(std::move(record), start, std::move(reply));
    }
    if (!claimed->permit)
    {
        record.claim_state =
            fmt::format("claimed by request {}", claimed->earlier_claim->request_id);
        record.outcome = dispatch::to_string(
            claimed->earlier_claim->result.value_or(dispatch::outcome::unknown));
        http::response reply = answer_repeat(record.request_id, *claimed->earlier_claim);
        co_return finish(std::move(record), start, std::move(reply));
    }
    const command_result result = co_await dispatch_claimed(
        *command, record.request_id, message.body(), std::move(*claimed->permit));
    ticket->complete(m_context.clock.now() - start);
    record.claim_state = "won";
    record.outcome = dispatch::to_string(result.result);
    record.attempts = result.attempts;
    record.refusal_kind = result.result == dispatch::outcome::ran
                              ? std::string()
                              : std::string(base::to_string(result.reason.kind));
    record.refusal_message = result.reason.message;
    http::response reply = answer_result(record.request_id, result);
    co_return finish(std::move(record), start, std::move(reply));
}

std::optional<command_service::checked_command>
command_service::check(const std::string& service_name, const http::request& message,
                       base::time_point start, base::error& reason) const
{
    checked_command result;
    result.view = m_context.views.current();
    if (!result.view)
        return base::fail(reason, base::error_kind::unreachable,
                          "not run: this VM has no configuration yet; come back or ask another VM");
    const auto position = result.view->configuration.services.find(service_name);
    if (position == result.view->configuration.services.end())
        return base::fail(
            reason, base::error_kind::not_found,
            fmt::format("not run: there is no service \"{}\"; check the name", service_name));
    result.service = &position->second;
    if (result.service->kind != configuration::service_kind::command)
        return base::fail(reason, base::error_kind::invalid_argument,
                          "not run: the service takes queries; use its /query path");
    const auto key_text = message["Idempotency-Key"];
    result.key = dispatch::idempotency_key::create({key_text.data(), key_text.size()}, reason);
    if (!result.key)
        return std::nullopt;
    const auto shard_name = message["X-Shard"];
    if (!shard_name.empty())
        result.shard = result.service->find_shard(std::string(shard_name));
    else if (!result.service->shards.empty())
        result.shard =
            &result.service
                 ->shards[base::stable_hash(result.key->text()) % result.service->shards.size()];
    if (result.shard == nullptr)
        return base::fail(
            reason, base::error_kind::not_found,
            fmt::format("not run: service \"{}\" has no such shard; check X-Shard", service_name));
    const auto deadline = read_deadline(message, result.service->deadline, reason);
    if (!deadline)
        return std::nullopt;
    result.deadline = routing::deadline_budget(start, *deadline).end();
    return result;
}

http::awaitable<std::optional<dispatch::claim_result>>
command_service::claim(const checked_command& command, const std::string& request_id,
                       base::error& reason)
{
    const base::time_point start = m_context.clock.now();
    if (start.time_since_epoch().count() < m_platform_retry_at.load())
    {
        base::fail(reason, base::error_kind::unreachable,
                   "not run: the platform does not answer, so the command cannot be claimed; come "
                   "back later with the same key",
                   default_retry_after);
        co_return std::nullopt;
    }
    const base::time_point claim_deadline =
        std::min(start + (command.deadline - start) / 2, start + max_claim_timeout);
    auto result = co_await m_ledger->claim(*command.key, request_id, claim_deadline, reason);
    const base::time_point end = m_context.clock.now();
    m_claim_latency.record(end - start);
    if (!result &&
        (reason.kind == base::error_kind::unreachable || reason.kind == base::error_kind::timeout))
        m_platform_retry_at.store((end + platform_backoff).time_since_epoch().count());
    co_return result;
}

http::awaitable<command_result> command_service::dispatch_claimed(const checked_command& command,
                                                                  const std::string& request_id,
                                                                  std::string body,
                                                                  dispatch::dispatch_permit permit)
{
    m_context.log.write(observe::log_level::info, "command_claimed", request_id,
                        {{"service", command.service->name}, {"key", command.key->text()}});
    command_result result = co_await m_sender.send({request_id, std::move(body), command.shard},
                                                   std::move(permit), command.deadline);
    m_context.log.write(observe::log_level::info, "command_finished", request_id,
                        {{"service", command.service->name},
                         {"key", command.key->text()},
                         {"outcome", dispatch::to_string(result.result)}});
    if (result.result == dispatch::outcome::not_run)
    {
        // Released before the caller is answered, so that a repeat with the same key can claim it.
        base::error ignored;
        co_await m_ledger->record_outcome(result.claim, result.result, std::nullopt,
                                          m_context.clock.now() + release_timeout, ignored);
    }
    else
        record_in_background(result.claim, result.result, result.answer);
    co_return result;
}

void command_service::record_in_background(dispatch::claim_handle claim, dispatch::outcome result,
                                           std::string answer)
{
    m_unrecorded_count.fetch_add(1);
    asio::co_spawn(
        m_context.io,
        [this, claim = std::move(claim), result, answer = std::move(answer)]
        { return record(claim, result, answer); },
        [this](std::exception_ptr) { m_unrecorded_count.fetch_sub(1); });
}

http::awaitable<void> command_service::record(dispatch::claim_handle claim,
                                              dispatch::outcome result, std::string answer)
{
    base::error reason;
    const std::string key = claim.key.text();
    const bool is_stored =
        co_await m_ledger->record_outcome(std::move(claim), result, std::move(answer),
                                          m_context.clock.now() + record_timeout, reason);
    if (!is_stored)
        m_context.log.write(observe::log_level::warning, "outcome_not_recorded", "",
                            {{"key", key}, {"error", reason.message}});
}

http::response command_service::answer_repeat(const std::string& request_id,
                                              const dispatch::claim_record& earlier_claim)
{
    if (earlier_claim.result == dispatch::outcome::ran)
        return make_outcome_answer(
            request_id, http::status::ok, dispatch::outcome::ran, true,
            fmt::format(R"(,"first_request_id":{},"answer":{})", quote(earlier_claim.request_id),
                        earlier_claim.answer ? *earlier_claim.answer : std::string("null")));
    return make_outcome_answer(
        request_id, http::status::gateway_timeout, dispatch::outcome::unknown, true,
        fmt::format(R"(,"first_request_id":{})", quote(earlier_claim.request_id)) +
            write_error(unknown_outcome));
}

http::response command_service::answer_result(const std::string& request_id,
                                              const command_result& result)
{
    if (result.result == dispatch::outcome::ran)
        return make_outcome_answer(request_id, http::status::ok, result.result, false,
                                   fmt::format(R"(,"answer":{})", result.answer));
    if (result.result == dispatch::outcome::not_run)
        return make_refusal(request_id, result.reason);
    base::error reason = unknown_outcome;
    reason.message += "; " + result.reason.message;
    return make_outcome_answer(request_id, http::status::gateway_timeout, result.result, false,
                               write_error(reason));
}

http::response command_service::finish(query::request_record record, base::time_point start,
                                       http::response reply)
{
    const base::duration elapsed = m_context.clock.now() - start;
    m_latency.record(elapsed);
    m_context.metrics
        .find_counter(fmt::format("ospreystair_commands_total{{outcome=\"{}\"}}", record.outcome))
        .add();
    record.status = static_cast<int>(reply.result_int());
    record.elapsed = std::chrono::duration_cast<std::chrono::microseconds>(elapsed);
    m_context.records.add(std::move(record));
    return reply;
}

} // namespace ospreystair::entry
