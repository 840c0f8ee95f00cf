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
#include "query/request_record.hpp"
#include "query/sub_request.hpp"

namespace ospreystair::query
{

/// Sends sub-requests.
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
    // The last argument tells whether `elapsed` is a sample of the latency.
    policy.finish(target, kind, reply, elapsed, true);
    // Time from now until a hedge is due; empty when there will be none.
    {
        policy.hedge_delay(sent_at, hedge_count)
        } -> std::same_as<std::optional<base::duration>>;
    {
        policy.take_hedge(shard, tried, sent_at, hedge_count)
        } -> std::same_as<bool>;
    {
        policy.take_retry(shard, tried, reply)
        } -> std::same_as<bool>;
};

/// Runs on one strand; all members are used there.
template<sub_request_sender Upstream, query_policy Policy, base::clock_source Clock>
class query_run : public std::enable_shared_from_this<query_run<Upstream, Policy, Clock>>
{
public:
    /// What a run was asked to do.
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
    };

    static std::shared_ptr<query_run> create(Upstream& upstream, Policy policy, const Clock& clock,
                                             task work)
    {
        return std::shared_ptr<query_run>(
            new query_run(upstream, std::move(policy), clock, std::move(work)));
    }

    /// Completes when all shards have answered or failed for good, at the deadline, or after
    /// cancel(). Outstanding attempts are cancelled then.
    http::awaitable<void> run()
    {
        const auto self = this->shared_from_this();
        const auto executor = co_await http::asio::this_coro::executor;
        m_progress = std::make_unique<http::asio::steady_timer>(executor);
        m_open_shards = m_work.snapshot.shards().size();
        for (std::size_t index = 0; index < m_work.snapshot.shards().size(); ++index)
            http::asio::co_spawn(
                executor, [self, index] { return self->run_shard(index); }, http::asio::detached);
        while (!is_finished())
        {
            m_progress->expires_at(next_check());
            boost::system::error_code ignored;
            co_await m_progress->async_wait(
                http::asio::redirect_error(http::asio::use_awaitable, ignored));
        }
        stop_attempts();
    }

    /// Gives the query up, for example because the caller left.
    void cancel()
    {
        m_is_cancelled = true;
        if (m_progress)
            m_progress->cancel();
    }

    const gathered_answers& answers() const { return m_answers; }
    bool is_cancelled() const { return m_is_cancelled; }
    const pinned_snapshot& snapshot() const { return m_work.snapshot; }

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
        explicit shard_state(const http::asio::any_io_executor& executor) : changed(executor) {}
        std::vector<std::string> tried;
        std::vector<std::shared_ptr<attempt>> active;
        // Cancelled whenever an attempt ends.
        http::asio::steady_timer changed;
    };

    query_run(Upstream& upstream, Policy policy, const Clock& clock, task work)
        : m_upstream(upstream), m_policy(std::move(policy)), m_clock(clock),
          m_work(std::move(work)), m_answers(m_work.snapshot.shards())
    {
    }

    // A service that prefers latency stops waiting for its last shards at half of its time.
    static constexpr std::size_t early_answer_numerator = 9;
    static constexpr std::size_t early_answer_denominator = 10;

    base::time_point early_time() const
    {
        return m_work.start + (m_work.deadline - m_work.start) / 2;
    }

    bool may_answer_early() const
    {
        return m_work.snapshot.service().prefer == configuration::preference::latency &&
               m_answers.answered_count() * early_answer_denominator >=
                   m_answers.shard_count() * early_answer_numerator;
    }

    bool is_finished() const
    {
        const base::time_point now = m_clock.now();
        return m_is_cancelled || m_open_shards == 0 || now >= m_work.deadline ||
               (may_answer_early() && now >= early_time());
    }

    base::time_point next_check() const
    {
        return may_answer_early() ? std::min(early_time(), m_work.deadline) : m_work.deadline;
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
        --m_open_shards;
        // Waking the gatherer for every shard costs more than the answer itself.
        if (m_open_shards == 0 || may_answer_early())
            m_progress->cancel();
    }

    // Waits for the shard's attempts, starting hedges and retries, until one answers or none is
    // left.
    http::awaitable<void> follow_attempts(std::size_t index, std::shared_ptr<shard_state> state)
    {
        const base::time_point sent_at = m_clock.now();
        std::uint32_t hedge_count = 0;
        bool may_hedge = true;
        while (!state->active.empty() && !m_is_stopped)
        {
            const auto delay =
                may_hedge ? m_policy.hedge_delay(sent_at, hedge_count) : std::nullopt;
            const base::time_point hedge_time =
                delay ? m_clock.now() + *delay : base::time_point::max();
            state->changed.expires_at(std::min(hedge_time, m_work.deadline));
            boost::system::error_code code;
            co_await state->changed.async_wait(
                http::asio::redirect_error(http::asio::use_awaitable, code));
            if (m_is_stopped || collect_replies(index, state) || m_clock.now() >= m_work.deadline)
                co_return;
            if (m_clock.now() < hedge_time)
                continue;
            may_hedge = start_hedge(index, state, sent_at, hedge_count);
            ++hedge_count;
        }
    }

    // Takes in the attempts that have ended; returns whether the shard has its answer.
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
            // A hedge that is still in flight takes the place of a retry.
            if (state->active.empty())
                start_retry(index, state, reply);
        }
        return false;
    }

    void start_retry(std::size_t index, const std::shared_ptr<shard_state>& state,
                     const sub_reply& reply)
    {
        if (m_policy.take_retry(*m_work.snapshot.shard_at(index), state->tried, reply))
            start_attempt(index, state, attempt_kind::retry, std::string(to_string(reply.result)));
    }

    // Returns whether a hedge was sent.
    bool start_hedge(std::size_t index, const std::shared_ptr<shard_state>& state,
                     base::time_point sent_at, std::uint32_t hedge_count)
    {
        return m_policy.take_hedge(*m_work.snapshot.shard_at(index), state->tried, sent_at,
                                   hedge_count) &&
               start_attempt(index, state, attempt_kind::hedge,
                             "slower than the learnt percentile");
    }

    const std::string& shard_name(std::size_t index) const
    {
        return m_work.snapshot.shards()[index];
    }

    // Returns whether an attempt was started.
    bool start_attempt(std::size_t index, const std::shared_ptr<shard_state>& state,
                       attempt_kind kind, std::string why)
    {
        base::error reason;
        const configuration::shard* shard = m_work.snapshot.shard_at(index);
        const configuration::replica* target =
            shard == nullptr ? nullptr : m_policy.choose(*shard, state->tried, reason);
        if (target == nullptr)
        {
            if (kind == attempt_kind::first)
                m_answers.add_failure(index, sub_result::no_replica);
            return false;
        }
        state->tried.push_back(target->name);
        m_attempts.push_back({shard_name(index),
                              target->name,
                              kind,
                              std::move(why),
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
            sub_request{m_work.request_id, static_cast<std::uint32_t>(m_attempts.size()),
                        shard_name(index), m_work.snapshot.index_version(), m_work.body});
        http::asio::co_spawn(
            state->changed.get_executor(),
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
        // The attempt can be given up between its start and this first step.
        if (item->cancel->is_cancelled())
            co_return;
        m_policy.begin(*item->target, item->record->kind);
        const base::time_point start = m_clock.now();
        sub_reply reply =
            co_await m_upstream.send(*item->target, *message, m_work.deadline, item->cancel);
        const base::duration taken = m_clock.now() - start;
        // An attempt that was cut short because the caller left says nothing about the latency.
        const bool is_sample = reply.result == sub_result::answered ||
                               reply.result == sub_result::timeout ||
                               (reply.result == sub_result::cancelled && !m_is_cancelled);
        m_policy.finish(*item->target, item->record->kind, reply, taken, is_sample);
        item->record->elapsed = std::chrono::duration_cast<std::chrono::microseconds>(taken);
        item->record->result = reply.result;
        item->record->error = reply.reason.message;
        item->record->is_finished = true;
        item->reply = std::move(reply);
        state->changed.cancel();
    }

    void stop_attempts()
    {
        m_is_stopped = true;
        for (const auto& state : m_shards)
        {
            for (const auto& item : state->active)
                item->cancel->cancel();
            state->changed.cancel();
        }
    }

    std::chrono::microseconds elapsed() const
    {
        return std::chrono::duration_cast<std::chrono::microseconds>(m_clock.now() - m_work.start);
    }

    Upstream& m_upstream;
    Policy m_policy;
    const Clock& m_clock;
    const task m_work;
    gathered_answers m_answers;
    // A list, so that pointers to its elements stay valid.
    std::list<attempt_record> m_attempts;
    std::vector<std::shared_ptr<shard_state>> m_shards;
    // Shards whose coroutine still runs.
    std::size_t m_open_shards = 0;
    std::unique_ptr<http::asio::steady_timer> m_progress;
    bool m_is_cancelled = false;
    bool m_is_stopped = false;
};

} // namespace ospreystair::query

#endif
