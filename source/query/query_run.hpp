// One query: scatters sub-requests to all shards of the pinned snapshot and gathers the answers.

#ifndef OSPREYSTAIR_QUERY_QUERY_RUN_HPP
#define OSPREYSTAIR_QUERY_QUERY_RUN_HPP

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.hpp"
#include "http/asio.hpp"
#include "query/gathered_answers.hpp"
#include "query/pinned_snapshot.hpp"
#include "query/repeat_guard.hpp"
#include "query/request_record.hpp"
#include "query/sub_request.hpp"

namespace ospreystair::query
{

/// Sends a sub-request to a replica and completes with the reply.
template<class Upstream>
concept sub_request_sender = requires(Upstream& upstream, const configuration::replica& target,
                                      const sub_request& message, base::time_point deadline,
                                      std::shared_ptr<cancellation> cancel)
{
    {
        upstream.send(target, message, deadline, cancel)
        } -> std::same_as<http::awaitable<sub_reply>>;
};

/// The decisions for one query: where sub-requests go and whether to send more than one for a
/// shard. Used on the query's strand.
template<class Policy>
concept query_policy = requires(Policy& policy, const configuration::shard& shard,
                                const std::vector<std::string>& tried,
                                const configuration::replica& target, attempt_kind kind,
                                const sub_reply& reply, base::time_point sent_at,
                                base::duration elapsed, std::uint32_t hedge_count,
                                base::error& reason)
{
    {
        policy.choose(shard, tried, reason)
        } -> std::same_as<const configuration::replica*>;
    policy.begin(target, kind);
    // The last argument is whether `elapsed` counts as a latency sample.
    policy.finish(target, kind, reply, elapsed, true);
    // Time from now until a hedge is due; empty when there will be none.
    {
        policy.hedge_delay(sent_at, hedge_count)
        } -> std::same_as<std::optional<base::duration>>;
    // Returns whether to send a hedge now.
    {
        policy.allow_hedge(shard, tried, sent_at, hedge_count)
        } -> std::same_as<bool>;
    // Returns whether to retry after `reply`.
    {
        policy.allow_retry(shard, tried, reply)
        } -> std::same_as<bool>;
};

/// The run of one query. All members are used on one strand.
template<sub_request_sender Upstream, query_policy Policy, base::clock_source Clock>
class query_run : public std::enable_shared_from_this<query_run<Upstream, Policy, Clock>>
{
public:
    /// The parameters of a run. Runs of copies of one task, such as a restart on a newer index
    /// version, continue its sub-request numbers. They must use the same strand.
    struct task
    {
        task(std::string id, pinned_snapshot pinned, std::shared_ptr<const std::string> text,
             base::time_point start_time, base::time_point end_time)
            : request_id(std::move(id)), snapshot(std::move(pinned)), body(std::move(text)),
              start(start_time), deadline(end_time)
        {
        }

        std::string request_id;
        pinned_snapshot snapshot;
        std::shared_ptr<const std::string> body;
        base::time_point start;
        base::time_point deadline;
        /// The number of the last sub-request of all runs. Replies are matched by request id,
        /// number and shard: with a number of an earlier run, a late second reply to that run would
        /// be taken for the reply to this one.
        std::shared_ptr<std::uint32_t> last_number = std::make_shared<std::uint32_t>(0);
    };

    static std::shared_ptr<query_run> create(Upstream& upstream, Policy policy, const Clock& clock,
                                             task run_task)
    {
        return std::shared_ptr<query_run>(
            new query_run(upstream, std::move(policy), clock, std::move(run_task)));
    }

    /// Completes when every shard has answered or has no attempt left, when the query may be
    /// answered early, at the deadline, or after cancel(). Outstanding attempts are then cancelled.
    http::awaitable<void> run()
    {
        const auto self = this->shared_from_this();
        const auto executor = co_await http::asio::this_coro::executor;
        m_progress_timer = std::make_unique<http::asio::steady_timer>(executor);
        m_unfinished_shard_count = m_task.snapshot.shards().size();
        for (std::size_t index = 0; index < m_task.snapshot.shards().size(); ++index)
            http::asio::co_spawn(
                executor, [self, index] { return self->run_shard(index); }, http::asio::detached);
        while (!is_finished())
        {
            m_progress_timer->expires_at(next_check());
            boost::system::error_code ignored;
            co_await m_progress_timer->async_wait(
                http::asio::redirect_error(http::asio::use_awaitable, ignored));
        }
        stop_attempts();
    }

    /// Cancels the query, for example because the caller left.
    void cancel()
    {
        m_is_cancelled = true;
        if (m_progress_timer)
            m_progress_timer->cancel();
    }

    const gathered_answers& answers() const { return m_answers; }
    bool is_cancelled() const { return m_is_cancelled; }
    const pinned_snapshot& snapshot() const { return m_task.snapshot; }

    /// Returns the attempts made so far; unfinished ones count as cancelled.
    std::vector<attempt_record> attempts() const { return {m_attempts.begin(), m_attempts.end()}; }

private:
    // One attempt at one replica.
    struct attempt
    {
        attempt_record* record = nullptr;
        const configuration::replica* target = nullptr;
        std::shared_ptr<cancellation> cancel = std::make_shared<cancellation>();
        std::optional<sub_reply> reply;
    };

    // The attempts for one shard; at most two are in flight.
    struct shard_state
    {
        explicit shard_state(const http::asio::any_io_executor& executor) : attempt_ended(executor)
        {
        }
        std::vector<std::string> tried;
        std::vector<std::shared_ptr<attempt>> active;
        // The reply after which the shard waits until it may be repeated.
        std::optional<sub_reply> held_after;
        // Cancelled when an attempt ends, which wakes follow_attempts().
        http::asio::steady_timer attempt_ended;
    };

    query_run(Upstream& upstream, Policy policy, const Clock& clock, task run_task)
        : m_upstream(upstream), m_policy(std::move(policy)), m_clock(clock),
          m_task(std::move(run_task)), m_answers(m_task.snapshot.shards())
    {
    }

    // A service that prefers latency answers once half of the time has passed and this share of the
    // shards has answered.
    static constexpr std::size_t early_answer_numerator = 9;
    static constexpr std::size_t early_answer_denominator = 10;

    base::time_point early_answer_time() const
    {
        return m_task.start + (m_task.deadline - m_task.start) / 2;
    }

    bool may_answer_early() const
    {
        return m_task.snapshot.service().prefer == configuration::preference::latency &&
               m_answers.answered_count() * early_answer_denominator >=
                   m_answers.shard_count() * early_answer_numerator;
    }

    bool is_finished() const
    {
        const base::time_point now = m_clock.now();
        return m_is_cancelled || m_unfinished_shard_count == 0 || now >= m_task.deadline ||
               (may_answer_early() && now >= early_answer_time());
    }

    base::time_point next_check() const
    {
        return may_answer_early() ? std::min(early_answer_time(), m_task.deadline)
                                  : m_task.deadline;
    }

    http::awaitable<void> run_shard(std::size_t index)
    {
        const auto self = this->shared_from_this();
        const auto executor = co_await http::asio::this_coro::executor;
        auto state = std::make_shared<shard_state>(executor);
        m_shards.push_back(state);
        // A query can end before its shards start: the caller left, or no time remains.
        if (!m_is_stopped && start_attempt(index, state, attempt_kind::first, "first attempt"))
            co_await follow_attempts(index, state);
        for (const auto& item : state->active)
            item->cancel->cancel();
        --m_unfinished_shard_count;
        // run() is woken only when it may finish: waking it for every shard costs more than storing
        // the answer.
        if (m_unfinished_shard_count == 0 || may_answer_early())
            m_progress_timer->cancel();
    }

    // Waits for the shard's attempts, starting hedges and retries, until one answers or none is
    // left.
    http::awaitable<void> follow_attempts(std::size_t index, std::shared_ptr<shard_state> state)
    {
        const base::time_point sent_at = m_clock.now();
        std::uint32_t hedge_count = 0;
        bool may_hedge = true;
        while ((!state->active.empty() || state->held_after) && !m_is_stopped)
        {
            const auto delay =
                may_hedge ? m_policy.hedge_delay(sent_at, hedge_count) : std::nullopt;
            const base::time_point hedge_time =
                delay ? m_clock.now() + *delay : base::time_point::max();
            state->attempt_ended.expires_at(std::min(hedge_time, m_task.deadline));
            boost::system::error_code code;
            co_await state->attempt_ended.async_wait(
                http::asio::redirect_error(http::asio::use_awaitable, code));
            if (m_is_stopped || collect_replies(index, state) || m_clock.now() >= m_task.deadline)
                co_return;
            resume_held(index, state);
            if (m_clock.now() < hedge_time)
                continue;
            may_hedge = start_hedge(index, state, sent_at, hedge_count);
            ++hedge_count;
        }
    }

    // Processes the attempts that have ended; returns whether the shard has been answered.
    bool collect_replies(std::size_t index, const std::shared_ptr<shard_state>& state)
    {
        const auto finished = std::stable_partition(state->active.begin(), state->active.end(),
                                                    [](const auto& item) { return !item->reply; });
        const std::vector<std::shared_ptr<attempt>> ended(finished, state->active.end());
        state->active.erase(finished, state->active.end());
        for (const auto& item : ended)
        {
            sub_reply& reply = *item->reply;
            if (reply.result == sub_result::answered)
            {
                m_answers.add_answer(index, std::move(reply.body));
                return true;
            }
            m_answers.add_failure(index, reply.result);
            // No retry is needed while another attempt is still in flight.
            if (state->active.empty())
                start_retry(index, state, reply);
        }
        return false;
    }

    // Sends the repeat for which the shard waits, or gives it up.
    void resume_held(std::size_t index, const std::shared_ptr<shard_state>& state)
    {
        if (!state->held_after || (!m_guard.may_repeat() && !m_guard.is_condemned()))
            return;
        const sub_reply reply = std::move(*state->held_after);
        state->held_after.reset();
        start_retry(index, state, reply);
    }

    void start_retry(std::size_t index, const std::shared_ptr<shard_state>& state,
                     const sub_reply& reply)
    {
        if (m_guard.is_condemned())
            return;
        if (!m_guard.may_repeat())
        {
            state->held_after = reply;
            return;
        }
        if (m_policy.allow_retry(*m_task.snapshot.shard_at(index), state->tried, reply))
            start_attempt(index, state, attempt_kind::retry, std::string(to_string(reply.result)));
    }

    // Returns whether a hedge was sent.
    bool start_hedge(std::size_t index, const std::shared_ptr<shard_state>& state,
                     base::time_point sent_at, std::uint32_t hedge_count)
    {
        return m_guard.may_repeat() &&
               m_policy.allow_hedge(*m_task.snapshot.shard_at(index), state->tried, sent_at,
                                    hedge_count) &&
               start_attempt(index, state, attempt_kind::hedge,
                             "slower than the learnt percentile");
    }

    const std::string& shard_name(std::size_t index) const
    {
        return m_task.snapshot.shards()[index];
    }

    // Returns whether an attempt was started.
    bool start_attempt(std::size_t index, const std::shared_ptr<shard_state>& state,
                       attempt_kind kind, std::string cause)
    {
        base::error reason;
        const configuration::shard* shard = m_task.snapshot.shard_at(index);
        const configuration::replica* target =
            shard == nullptr ? nullptr : m_policy.choose(*shard, state->tried, reason);
        if (target == nullptr)
        {
            if (kind == attempt_kind::first)
                m_answers.add_failure(index, sub_result::no_replica);
            return false;
        }
        if (kind != attempt_kind::first)
            m_guard.record_repeat();
        m_guard.record_sent();
        state->tried.push_back(target->name);
        m_attempts.push_back({shard_name(index),
                              target->name,
                              kind,
                              std::move(cause),
                              elapsed(),
                              {},
                              sub_result::cancelled,
                              {},
                              false});
        auto item = std::make_shared<attempt>();
        item->record = &m_attempts.back();
        item->target = target;
        state->active.push_back(item);
        const auto message = std::make_shared<const sub_request>(
            sub_request{m_task.request_id, ++*m_task.last_number, shard_name(index),
                        m_task.snapshot.index_version(), m_task.body});
        http::asio::co_spawn(
            state->attempt_ended.get_executor(),
            [self = this->shared_from_this(), state, item, message]
            { return self->run_attempt(state, item, message); },
            http::asio::detached);
        return true;
    }

    http::awaitable<void> run_attempt(std::shared_ptr<shard_state> state,
                                      std::shared_ptr<attempt> item,
                                      std::shared_ptr<const sub_request> message)
    {
        const auto self = this->shared_from_this();
        // The attempt can be cancelled before this coroutine first runs.
        if (item->cancel->is_cancelled())
            co_return;
        m_policy.begin(*item->target, item->record->kind);
        const base::time_point start = m_clock.now();
        sub_reply reply =
            co_await m_upstream.send(*item->target, *message, m_task.deadline, item->cancel);
        const base::duration attempt_duration = m_clock.now() - start;
        // An attempt that was cancelled with its query, because the caller left, is not a latency
        // sample.
        const bool is_sample = reply.result == sub_result::answered ||
                               reply.result == sub_result::timeout ||
                               (reply.result == sub_result::cancelled && !m_is_cancelled);
        m_policy.finish(*item->target, item->record->kind, reply, attempt_duration, is_sample);
        item->record->elapsed =
            std::chrono::duration_cast<std::chrono::microseconds>(attempt_duration);
        item->record->result = reply.result;
        item->record->error = reply.reason.message;
        item->record->is_finished = true;
        m_guard.record_end(reply);
        item->reply = std::move(reply);
        state->attempt_ended.cancel();
        wake_held_shards();
    }

    void wake_held_shards()
    {
        for (const auto& state : m_shards)
            if (state->held_after)
                state->attempt_ended.cancel();
    }

    void stop_attempts()
    {
        m_is_stopped = true;
        for (const auto& state : m_shards)
        {
            for (const auto& item : state->active)
                item->cancel->cancel();
            state->attempt_ended.cancel();
        }
    }

    std::chrono::microseconds elapsed() const
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(m_clock.now() - m_task.start);
    }

    Upstream& m_upstream;
    Policy m_policy;
    const Clock& m_clock;
    const task m_task;
    gathered_answers m_answers;
    repeat_guard m_guard;
    // A list, so that pointers to its elements stay valid.
    std::list<attempt_record> m_attempts;
    std::vector<std::shared_ptr<shard_state>> m_shards;
    // The number of shards whose coroutine has not finished.
    std::size_t m_unfinished_shard_count = 0;
    std::unique_ptr<http::asio::steady_timer> m_progress_timer;
    bool m_is_cancelled = false;
    bool m_is_stopped = false;
};

} // namespace ospreystair::query

#endif
