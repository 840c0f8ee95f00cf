// Runs a query on a pinned index version, and once more on a newer one when replicas no longer have
// the pinned version.

#include "programs/entry/query_service.hpp"

#include <utility>

#include "programs/entry/replies.hpp"

namespace ospreystair::entry
{

namespace asio = http::asio;

query_service::query_service(entry_context& context)
    : m_context(context), m_latency(context.metrics.find_histogram("ospreystair_query_seconds")),
      m_answered_count(context.metrics.find_counter("ospreystair_queries_answered_total")),
      m_partial_count(context.metrics.find_counter("ospreystair_queries_partial_total")),
      m_refused_count(context.metrics.find_counter("ospreystair_queries_refused_total")),
      m_cancelled_count(context.metrics.find_counter("ospreystair_queries_cancelled_total")),
      m_restart_count(context.metrics.find_counter("ospreystair_queries_restarted_total"))
{
}

http::awaitable<http::response>
query_service::answer(std::string service_name, const http::request& message,
                      std::shared_ptr<http::exchange_context> exchange)
{
    const base::time_point start = m_context.clock.now();
    query::request_record record;
    record.request_id = m_context.identifiers.next();
    record.service = service_name;
    record.kind = "query";
    record.stamp = m_context.log.clock().tick().to_text();
    base::error reason;
    const auto view = m_context.views.current();
    if (!view)
    {
        reason = {base::error_kind::unreachable,
                  "this VM has no configuration yet; come back or ask another VM",
                  {}};
        co_return refuse(std::move(record), reason);
    }
    auto snapshot = query::pinned_snapshot::create(view, service_name, reason);
    if (!snapshot)
        co_return refuse(std::move(record), reason);
    const auto deadline = read_deadline(message, snapshot->service().deadline, reason);
    if (!deadline)
        co_return refuse(std::move(record), reason);
    record.deadline = *deadline;

    // The budget reserves a margin for sending the answer back to the caller.
    const routing::deadline_budget budget(start, *deadline);
    auto decisions = m_context.policy.make_decisions(snapshot->service(), budget, reason);
    if (!decisions)
        co_return refuse(std::move(record), reason);
    auto ticket = co_await m_context.admission.acquire_ticket(
        snapshot->service(), exchange->peer().address().to_string(),
        static_cast<std::uint32_t>(snapshot->shards().size()), budget.end(), reason);
    if (!ticket || ticket->has_waited())
        decisions->record_overload();
    if (!ticket)
        co_return refuse(std::move(record), reason);
    run_type::task task(record.request_id, std::move(*snapshot),
                        std::make_shared<const std::string>(message.body()), start, budget.end());
    auto run = co_await run_once(task, *decisions, exchange);
    if (run->answers().is_missing_for(query::sub_result::version_not_held) && !run->is_cancelled())
    {
        // A second scatter is worth its load only with at least half of the deadline remaining.
        const base::time_point restart_deadline = start + *deadline / 2;
        if (auto newer = co_await find_newer_snapshot(run->snapshot(), restart_deadline))
        {
            ++record.restart_count;
            // Keep the attempts of the first scatter, which explain the restart.
            record.attempts = run->attempts();
            m_restart_count.add();
            task.snapshot = std::move(*newer);
            run = co_await run_once(task, *decisions, exchange);
        }
    }
    if (!run->is_cancelled())
        ticket->complete(m_context.clock.now() - start);
    http::response reply = make_query_answer(record.request_id, run->snapshot(), run->answers());
    record.status = static_cast<int>(reply.result_int());
    store_record(std::move(record), *run, start);
    co_return reply;
}

http::awaitable<std::shared_ptr<query_service::run_type>>
query_service::run_once(const run_type::task& task, query_decisions decisions,
                        std::shared_ptr<http::exchange_context> exchange)
{
    auto run = run_type::create(m_context.upstreams, std::move(decisions), m_context.clock, task);
    exchange->on_peer_disconnected([run] { run->cancel(); });
    co_await run->run();
    exchange->on_peer_disconnected(nullptr);
    co_return run;
}

// Waits for a newer version: the agent may receive it shortly after the replicas dropped the old
// one.
http::awaitable<std::optional<query::pinned_snapshot>>
query_service::find_newer_snapshot(const query::pinned_snapshot& old,
                                   base::time_point restart_deadline)
{
    constexpr std::chrono::milliseconds check_interval{10};
    const std::string service_name = old.service().name;
    const std::uint64_t old_version = old.index_version();
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (m_context.clock.now() < restart_deadline)
    {
        base::error ignored;
        auto snapshot =
            query::pinned_snapshot::create(m_context.views.current(), service_name, ignored);
        if (snapshot && snapshot->index_version() > old_version)
            co_return snapshot;
        timer.expires_after(check_interval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return std::nullopt;
}

http::response query_service::refuse(query::request_record record, const base::error& reason)
{
    m_refused_count.add();
    http::response reply = make_refusal(record.request_id, reason);
    record.outcome = "not_run";
    record.status = static_cast<int>(reply.result_int());
    record.refusal_kind = base::to_string(reason.kind);
    record.refusal_message = reason.message;
    m_context.log.write(
        observe::log_level::debug, "query_refused", record.request_id,
        {{"service", record.service}, {"kind", record.refusal_kind}, {"reason", reason.message}});
    m_context.records.add(std::move(record));
    return reply;
}

void query_service::store_record(query::request_record record, const run_type& run,
                                 base::time_point start)
{
    const query::gathered_answers& answers = run.answers();
    const base::duration elapsed = m_context.clock.now() - start;
    m_latency.record(elapsed);
    m_answered_count.add();
    if (run.is_cancelled())
        m_cancelled_count.add();
    else if (!answers.is_complete())
        m_partial_count.add();
    record.outcome = run.is_cancelled() ? "cancelled" : "ran";
    record.index_version = run.snapshot().index_version();
    record.configuration_version = run.snapshot().configuration_version();
    record.elapsed = std::chrono::duration_cast<std::chrono::microseconds>(elapsed);
    record.shard_count = answers.shard_count();
    record.answered_count = answers.answered_count();
    for (std::size_t index = 0; index < answers.shard_count(); ++index)
    {
        const auto& entry = answers.entries()[index];
        if (entry.is_answered)
            continue;
        query::missing_shard missing{entry.shard, entry.missing_reason, {}};
        if (const configuration::shard* const shard = run.snapshot().shard_at(index))
            for (const configuration::replica& item : shard->replicas)
                missing.data_centres.insert(item.data_centre);
        record.missing.push_back(std::move(missing));
    }
    const std::vector<query::attempt_record> attempts = run.attempts();
    record.attempts.insert(record.attempts.end(), attempts.begin(), attempts.end());
    m_context.log.write(observe::log_level::debug, "query_answered", record.request_id,
                        {{"service", record.service},
                         {"index_version", record.index_version},
                         {"answered", record.answered_count},
                         {"shards", record.shard_count}});
    m_context.records.add(std::move(record));
}

} // namespace ospreystair::entry
