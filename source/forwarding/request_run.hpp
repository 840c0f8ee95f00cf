// Runs one caller's request from its arrival to its answer: sends attempts to replicas, retries and
// hedges them, and decides when to answer with the parts that have been answered.
//
// A request to one service has one part; a gathered query has one part for each shard.

#ifndef OSPREYSTAIR_FORWARDING_REQUEST_RUN_HPP
#define OSPREYSTAIR_FORWARDING_REQUEST_RUN_HPP

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/fingerprint.hpp"
#include "forwarding/answer.hpp"
#include "forwarding/crash_caution.hpp"
#include "forwarding/home_data_centres.hpp"
#include "forwarding/query_part.hpp"
#include "forwarding/reach_monitor.hpp"
#include "forwarding/route_table.hpp"
#include "forwarding/straggler_rule.hpp"
#include "forwarding/timer_queue.hpp"
#include "forwarding/waiting_parts.hpp"
#include "routing/crash_ledger.hpp"
#include "routing/deadline_budget.hpp"
#include "teams/team.hpp"

namespace ospreystair::forwarding
{

/// A caller's request, with the values that retry and timeout decisions depend on.
template<class Message>
struct caller_request
{
    std::string id;
    std::shared_ptr<const Message> message;
    /// The caller's team; null without teams and on public routes.
    std::shared_ptr<const teams::team> team;
    /// Recognises requests with the same content.
    base::fingerprint fingerprint;
    /// How long the caller waits, counted from the arrival of the request.
    std::chrono::milliseconds deadline{0};
    /// Part of the objective that earlier requests of this caller have already used.
    base::duration time_used{0};
    /// Part of the objective that the network between the caller and this VM takes, both ways.
    base::duration network_time{0};
};

/// `Dispatcher` chooses replicas, sends attempts and enforces budgets. Not thread-safe.
template<class Dispatcher, class Message>
class request_run : public std::enable_shared_from_this<request_run<Dispatcher, Message>>
{
public:
    using attempt_type = attempt<request_run, Message>;
    using completion = std::function<void(answer)>;

    /// Time reserved to build and send the answer, on a quarter of a core.
    static constexpr std::chrono::milliseconds answer_margin{10};
    /// A request waits for a connection for at most the objective divided by this.
    static constexpr int max_wait_divisor = 4;
    /// Replicas that were asked at the start of a request are silent by then.
    static constexpr std::chrono::milliseconds reach_check_delay =
        reach_monitor::silence_threshold + std::chrono::milliseconds{20};

    request_run(Dispatcher& dispatcher, caller_request<Message> request,
                std::shared_ptr<const route_table> table, const route& rule,
                std::shared_ptr<route_knowledge> statistics, completion on_answer)
        : m_dispatcher(dispatcher), m_request(std::move(request)), m_table(std::move(table)),
          m_route(rule), m_homes(dispatcher.find_homes(rule, m_request.team.get())),
          m_statistics(std::move(statistics)), m_baseline(m_statistics->baseline(rule.objective)),
          m_on_answer(std::move(on_answer)),
          m_deadline_budget(dispatcher.now(), std::min(m_request.deadline, rule.timeout)),
          m_started_at(dispatcher.now()), m_answer_at(compute_answer_time()),
          m_straggler_rule(m_started_at, m_baseline, rule.objective),
          m_caution(rule.is_gather(), compute_probe_interval(), m_started_at)
    {
    }

    /// Creates one part for each of `services`, and sends the first attempts.
    void start(const std::vector<std::string>& services)
    {
        m_parts.reserve(services.size());
        m_attempts.reserve(services.size());
        for (const std::string& service : services)
            m_parts.emplace_back(service);
        m_open_parts = m_parts.size();
        if (refuse_if_condemned())
            return;
        update_suspicion();
        if (refuse_if_unservable(services))
            return;
        schedule_timers();
        for (std::size_t index = 0; index < m_parts.size() && !m_is_finished; ++index)
        {
            m_dispatcher.record_request(m_parts[index].service);
            start_attempt(index);
        }
        finish_if_decided();
    }

    void on_attempt_end(const attempt_type& ended, attempt_result result)
    {
        if (m_is_finished)
            return;
        query_part& owner = m_parts[ended.part];
        --owner.open_attempts;
        if (owner.state != part_state::open)
            return;
        m_straggler_rule.record_completion(m_dispatcher.now());
        if (may_have_run(result.outcome))
            m_may_have_run = true;
        m_caution.record(result, m_dispatcher.now());
        // Most parts of a gathered query are sent once and need no source.
        if (!m_route.is_gather() || owner.tried.size() > 1)
            result.reply.source = ended.source();
        m_dispatcher.report_attempt(*this, owner.service, ended, result);
        if (result.outcome == attempt_outcome::succeeded ||
            (result.outcome == attempt_outcome::failed && is_final_failure(result)))
            complete_part(owner, std::move(result.reply), result.outcome);
        else
            retry_or_fail(ended.part, ended, std::move(result));
        resume_held_parts();
        finish_if_decided();
        if (!m_is_finished && m_is_hedge_postponed)
            hedge_due_parts();
    }

    /// Another request with the same content has ended its trial, or this one may start its next.
    void on_trial_ended()
    {
        if (m_is_finished)
            return;
        update_suspicion();
        resume_held_parts();
        finish_if_decided();
    }

    /// A connection to a replica of the part's service has become free.
    void on_connection_available(std::size_t index)
    {
        m_parts[index].is_waiting = false;
        if (m_is_finished || m_parts[index].state != part_state::open)
            return;
        start_attempt(index);
        finish_if_decided();
    }

    void on_caller_gone() { end(answer_kind::abandoned, "the caller closed its connection"); }
    /// Ends the request because another VM has answered it.
    void on_answered_elsewhere() { end(answer_kind::abandoned, "another VM has answered"); }
    /// Ends the request, which may have run, because another VM can serve it better.
    void on_out_of_reach() { end(answer_kind::failed, "this VM has lost all replicas", true); }

    /// Answers with the parts that are there, since this VM stops.
    void on_vm_stopping()
    {
        if (m_is_finished)
            return;
        if (m_answered >= required_parts())
            finish_success();
        else
            finish_failure(true);
    }

    /// `action` is called at most once, when this VM has lost all replicas while the request waits
    /// for them and another VM may run it too.
    void on_reach_lost(std::function<void()> action) { m_on_reach_lost = std::move(action); }

    const std::string& id() const { return m_request.id; }
    const base::fingerprint& fingerprint() const { return m_request.fingerprint; }
    const route& rule() const { return m_route; }
    std::uint64_t version() const { return m_table->version(); }
    bool is_finished() const { return m_is_finished; }
    /// Number of attempts sent so far.
    std::uint32_t send_count() const { return m_send_count; }
    urgency rank() const
    {
        const int own = m_route.priority;
        return {m_request.team ? m_request.team->priority.value_or(own) : own, own};
    }
    /// Empty for requests without a team.
    const std::string& team_name() const
    {
        static const std::string none;
        return m_request.team ? m_request.team->name : none;
    }

private:
    void end(answer_kind kind, std::string reason, bool is_out_of_reach = false)
    {
        if (m_is_finished)
            return;
        answer result;
        result.kind = kind;
        result.reason = std::move(reason);
        result.is_out_of_reach = is_out_of_reach;
        finish(std::move(result));
    }

    base::time_point compute_answer_time() const
    {
        const base::time_point now = m_dispatcher.now();
        const base::time_point objective_end =
            now + m_route.objective - m_request.time_used - m_request.network_time -
            std::min<base::duration>(answer_margin, m_route.objective / 4);
        // When the objective has already passed, parts that answer within the normal time are still
        // included.
        return std::min(m_deadline_budget.end(),
                        std::max(objective_end, now + m_baseline.overdue_after));
    }

    bool refuse_if_unservable(const std::vector<std::string>& services)
    {
        const auto servable = m_dispatcher.find_servable(services, m_homes);
        if (m_deadline_budget.remaining(m_dispatcher.now()) > base::duration{0} &&
            servable.count >= required_parts())
            return false;
        const std::string& missing = servable.first_missing;
        // An evacuation is no sign of a cut.
        if (!missing.empty() && m_dispatcher.is_held_back(missing, m_homes))
            m_dispatcher.report_held_back(*this, missing);
        else if (!missing.empty())
            m_dispatcher.record_unservable();
        finish_refused(missing.empty()
                           ? std::string("the caller's deadline leaves no time")
                           : fmt::format("{} of {} services have a live replica, {} are needed; "
                                         "\"{}\" has none",
                                         servable.count, m_parts.size(), required_parts(),
                                         missing));
        return true;
    }

    std::size_t required_parts() const { return m_route.min_parts(); }

    void schedule_timers()
    {
        const auto self = this->weak_from_this();
        const auto on_timer = [self]
        {
            if (const auto run = self.lock())
                run->finish_if_decided();
        };
        m_end_timer = m_dispatcher.timers().schedule(m_deadline_budget.end(), on_timer);
        if (m_route.is_gather())
            m_answer_timer = m_dispatcher.timers().schedule(m_answer_at, on_timer);
        // Another VM may ask one more replica.
        if (m_route.is_idempotent && m_route.max_attempts > 1)
            schedule_reach_check(reach_check_delay);
    }

    // A VM that has lost all replicas notices it by their silence, while requests wait for them.
    void schedule_reach_check(std::chrono::milliseconds delay)
    {
        m_reach_timer = m_dispatcher.timers().schedule(m_dispatcher.now() + delay,
                                                       [self = this->weak_from_this()]
                                                       {
                                                           if (const auto run = self.lock())
                                                               run->check_reach();
                                                       });
    }

    void check_reach()
    {
        // Hedges that go out later than the first attempts may be silent for long enough soon.
        constexpr std::chrono::milliseconds silent_check_interval{100};
        if (m_is_finished)
            return;
        // A request that may have crashed the replicas here must not reach others through other
        // VMs.
        if (m_answered >= required_parts() || m_caution.is_needed() || !m_dispatcher.update_reach())
            return schedule_reach_check(m_caution.has_reply() ? reach_check_delay
                                                              : silent_check_interval);
        if (const auto action = std::exchange(m_on_reach_lost, nullptr))
            action();
    }

    void update_suspicion()
    {
        m_caution.set_suspected(m_dispatcher.assess(m_request.fingerprint) !=
                                routing::crash_verdict::clear);
    }

    bool is_condemned() const
    {
        return m_caution.is_needed() &&
               m_dispatcher.assess(m_request.fingerprint) == routing::crash_verdict::condemned;
    }

    bool has_open_attempt() const
    {
        return std::any_of(m_parts.begin(), m_parts.end(),
                           [](const query_part& item) { return item.open_attempts > 0; });
    }

    // Sends the parts that were held as far as that is possible now, or fails them all when the
    // request has turned out to crash replicas.
    void resume_held_parts()
    {
        // Set by few requests, and looked at after each reply.
        if (!std::exchange(m_has_held_parts, false))
            return;
        if (m_caution.is_needed() && !m_may_have_run && !has_open_attempt() &&
            refuse_if_condemned())
            return;
        for (std::size_t index = 0; index < m_parts.size() && !m_is_finished; ++index)
        {
            query_part& item = m_parts[index];
            if (!std::exchange(item.is_held, false) || item.state != part_state::open)
                continue;
            const bool is_repeat = !item.tried.empty();
            if (is_repeat && !m_dispatcher.may_repeat(item.service))
                fail_part(item, "the budget for repeats is exhausted");
            else
                start_attempt(index);
        }
    }

    // Refuses a request that has not been sent. Returns whether it did.
    bool refuse_if_condemned()
    {
        auto refusal = m_dispatcher.refuse_condemned(m_request.fingerprint, m_request.deadline);
        if (refusal)
            finish(std::move(*refusal));
        return refusal.has_value();
    }

    // Whether the route could still be served if one more replica of the part's service crashed. If
    // none is down now, the service has no more of them than usual.
    bool has_spare_replica(const query_part& item) const
    {
        const auto counts = m_dispatcher.count_replicas(item.service, m_homes);
        if (counts.live > 1 || counts.down == 0)
            return true;
        return m_route.is_gather() &&
               m_dispatcher.find_servable(m_route.shards, m_homes).count > required_parts();
    }

    bool may_start_trial()
    {
        const base::time_point at = m_dispatcher.next_trial_at(m_request.fingerprint);
        if (!m_caution.take_repeat_at_once() && m_dispatcher.now() < at)
        {
            arm_trial_timer(at);
            return false;
        }
        return !has_open_attempt() && m_dispatcher.start_trial(this->shared_from_this());
    }

    void arm_trial_timer(base::time_point at)
    {
        m_dispatcher.timers().cancel(m_trial_timer);
        m_trial_timer = m_dispatcher.timers().schedule(at,
                                                       [self = this->weak_from_this()]
                                                       {
                                                           if (const auto run = self.lock())
                                                               run->on_trial_ended();
                                                       });
    }

    // Sends an attempt for the part, queues the part for a connection, holds it, or fails it.
    void start_attempt(std::size_t index)
    {
        query_part& item = m_parts[index];
        if (is_condemned())
            return fail_part(item, "replicas crash under the request");
        if (m_caution.is_needed() && !may_start_trial())
        {
            item.is_held = true;
            m_has_held_parts = true;
            item.reason =
                "replicas crashed under the request, and no trial has shown another cause";
            return;
        }
        if (m_caution.is_needed() && !has_spare_replica(item))
        {
            m_is_trial_refused = true;
            return fail_part(item,
                             "replicas crashed under the request, and no other can be spared");
        }
        const bool is_repeat = !item.tried.empty();
        typename Dispatcher::choice choice;
        if (!has_tried_all(item))
            choice =
                m_dispatcher.choose(item.service, excluded_replicas(item), m_baseline, m_homes);
        if (!choice.target && !choice.is_saturated && !item.refused_by.empty())
            choice = m_dispatcher.choose_among(item.refused_by, {}, m_baseline, m_homes);
        if (!choice.target && choice.is_saturated)
        {
            wait_for_connection(index);
            return;
        }
        if (!choice.target)
        {
            if (item.open_attempts == 0)
                fail_part(item, choice.is_closed ? "its replicas want no requests for now"
                                                 : "no live replica");
            return;
        }
        send(index, choice.target, is_repeat);
    }

    void wait_for_connection(std::size_t index)
    {
        query_part& item = m_parts[index];
        item.is_waiting = true;
        m_dispatcher.wait_for_connection(item.service, this->shared_from_this(), index);
        if (m_send_count > 0 || m_route.is_gather())
            return;
        // A request that has not been sent to any replica is refused early, while the caller still
        // has time to send it elsewhere.
        m_dispatcher.timers().cancel(m_wait_timer);
        m_wait_timer =
            m_dispatcher.timers().schedule(m_started_at + m_route.objective / max_wait_divisor,
                                           [self = this->weak_from_this(), index]
                                           {
                                               if (const auto run = self.lock())
                                                   run->on_wait_timeout(index);
                                           });
    }

    void on_wait_timeout(std::size_t index)
    {
        query_part& item = m_parts[index];
        if (m_is_finished || !item.is_waiting || item.state != part_state::open)
            return;
        fail_part(item, "every connection to its replicas is busy");
        finish_if_decided();
    }

    void send(std::size_t index, const std::shared_ptr<replica>& target, bool is_repeat)
    {
        query_part& item = m_parts[index];
        const base::time_point now = m_dispatcher.now();
        auto next = std::make_shared<attempt_type>();
        next->target = target;
        next->message = m_request.message;
        next->run = this->weak_from_this();
        next->part = index;
        next->sending = m_send_count + 1;
        next->fingerprint = m_request.fingerprint;
        next->sent_at = now;
        next->deadline = m_deadline_budget.end();
        next->baseline = m_baseline;
        next->statistics = m_statistics;
        next->is_idempotent = m_route.is_idempotent;
        next->is_part = m_route.is_gather();
        next->is_repeat = is_repeat;
        item.tried.push_back(target);
        m_attempts.push_back(next);
        ++item.open_attempts;
        ++m_send_count;
        if (is_repeat)
        {
            ++m_repeat_count;
            m_dispatcher.record_repeat(item.service);
        }
        schedule_hedge(index, now);
        m_dispatcher.send(next);
    }

    // Hedges of all parts share one timer, since most parts are sent at the same time.
    void schedule_hedge(std::size_t index, base::time_point now)
    {
        if (!m_route.is_idempotent)
            return;
        const base::time_point at = now + m_straggler_rule.hedge_delay(m_parts.size());
        m_parts[index].hedge_at = at;
        arm_hedge_timer(at);
    }

    // Invariant: at most one hedge timer is scheduled, for the earliest hedge.
    void arm_hedge_timer(base::time_point at)
    {
        if (m_hedge_timer != 0 && m_hedge_timer_at <= at)
            return;
        m_dispatcher.timers().cancel(m_hedge_timer);
        m_hedge_timer_at = at;
        m_hedge_timer = m_dispatcher.timers().schedule(at,
                                                       [self = this->weak_from_this()]
                                                       {
                                                           if (const auto run = self.lock())
                                                               run->on_hedge_timer();
                                                       });
    }

    void on_hedge_timer()
    {
        m_hedge_timer = 0;
        hedge_due_parts();
    }

    // Hedges overdue parts once only stragglers are missing.
    void hedge_due_parts()
    {
        const base::time_point now = m_dispatcher.now();
        if (m_caution.has_only_crashed())
        {
            m_is_hedge_postponed = true;
            return;
        }
        const base::time_point straggler_deadline =
            m_straggler_rule.straggler_deadline(m_open_parts, m_parts.size());
        m_is_hedge_postponed = straggler_deadline > now;
        if (m_is_hedge_postponed)
            return arm_hedge_timer(straggler_deadline);
        for (std::size_t index = 0; index < m_parts.size() && !m_is_finished; ++index)
        {
            const query_part& item = m_parts[index];
            if (item.state != part_state::open || !item.hedge_at || *item.hedge_at > now)
                continue;
            if (!m_caution.may_hedge(m_parts.size() == 1, now))
            {
                m_is_hedge_postponed = true;
                return arm_hedge_timer(m_caution.next_probe_at());
            }
            hedge(index);
        }
        for (const query_part& item : m_parts)
            if (item.state == part_state::open && item.hedge_at && !m_is_finished)
                arm_hedge_timer(*item.hedge_at);
    }

    base::duration compute_probe_interval() const
    {
        constexpr int divisor = 3;
        return std::max<base::duration>(m_baseline.overdue_after, m_route.objective / divisor);
    }

    // Sends the part to a second replica when the reply of the first one is overdue.
    void hedge(std::size_t index)
    {
        query_part& item = m_parts[index];
        item.hedge_at.reset();
        if (m_is_finished || item.state != part_state::open || item.open_attempts == 0 ||
            item.is_waiting || has_tried_all(item))
            return;
        const base::time_point now = m_dispatcher.now();
        // A single part does not queue behind other parts on this VM's network link, so a reply may
        // arrive after half the median.
        const bool is_too_late = now + m_baseline.median / 2 > m_answer_at && m_route.is_gather() &&
                                 m_answered >= required_parts();
        if (is_too_late || now + m_baseline.median > m_deadline_budget.end())
            return m_dispatcher.report_no_hedge(*this, item.service, "too little time is left");
        const auto choice = m_dispatcher.choose(item.service, item.tried, m_baseline, m_homes);
        if (!choice.target || !m_dispatcher.may_repeat(item.service))
        {
            m_dispatcher.report_no_hedge(*this, item.service,
                                         choice.target ? "the budget for repeats is exhausted"
                                                       : "no other replica is available");
            return schedule_hedge(index, now);
        }
        m_dispatcher.report_hedge(*this, item.service, *choice.target,
                                  m_straggler_rule.hedge_delay(m_parts.size()));
        m_caution.record_hedge(now);
        send(index, choice.target, true);
    }

    // Retries or fails the part after an attempt without a usable reply.
    void retry_or_fail(std::size_t index, const attempt_type& ended, attempt_result result)
    {
        query_part& item = m_parts[index];
        item.reason = std::move(result.reason);
        if (result.outcome == attempt_outcome::refused)
            record_refusal(item, ended.target, result.load);
        if (result.outcome == attempt_outcome::failed)
            item.last_failure = std::move(result.reply);
        if (item.open_attempts > 0)
            return;
        if (!m_route.is_idempotent && m_may_have_run)
            return fail_part(item, item.reason);
        const base::time_point now = m_dispatcher.now();
        if (now + m_baseline.median / 2 >= m_deadline_budget.end())
            return fail_part(item, item.reason);
        // If no byte was sent, the replica has not received the request: sending it is no repeat.
        const bool has_arrived = result.outcome != attempt_outcome::not_sent;
        if (has_arrived && (!has_attempts_left(item) || !m_dispatcher.may_repeat(item.service)))
            return fail_part(item, item.reason);
        if (!has_arrived)
        {
            // The replica has not received the request, so that the attempt does not count.
            const auto found = std::find(item.tried.begin(), item.tried.end(), ended.target);
            if (found != item.tried.end())
                item.tried.erase(found);
            if (!result.is_connection_rejected)
                m_unreached.push_back(ended.target);
        }
        start_attempt(index);
    }

    // A full replica would refuse the request again; one that refuses a share of its requests may
    // accept it.
    static void record_refusal(query_part& item, const std::shared_ptr<replica>& target,
                               const std::optional<load_report>& load)
    {
        const bool is_full = load && load->running >= load->slots;
        const auto found = std::find(item.refused_by.begin(), item.refused_by.end(), target);
        if (!is_full && found == item.refused_by.end())
            item.refused_by.push_back(target);
        if (is_full && found != item.refused_by.end())
            item.refused_by.erase(found);
    }

    // Replicas that must not get the next attempt of the part, unless they are the only ones.
    std::vector<std::shared_ptr<replica>> excluded_replicas(const query_part& item) const
    {
        std::vector<std::shared_ptr<replica>> result = item.tried;
        result.insert(result.end(), m_unreached.begin(), m_unreached.end());
        return result;
    }

    // Whether the part has been sent to as many replicas as the route allows.
    bool has_tried_all(const query_part& item) const
    {
        std::size_t count = 0;
        for (auto each = item.tried.begin(); each != item.tried.end(); ++each)
            count += std::find(item.tried.begin(), each, *each) == each ? 1 : 0;
        return count >= m_route.max_attempts;
    }

    bool has_attempts_left(const query_part& item) const
    {
        // Bounds the work for one part while the budget for repeats is large.
        constexpr std::size_t max_sends = 8;
        return !has_tried_all(item) || (!item.refused_by.empty() && item.tried.size() < max_sends);
    }

    // Whether the reply rejects the request as invalid, which every replica would do.
    bool is_final_failure(const attempt_result& result) const
    {
        constexpr unsigned first_server_error = 500;
        return !m_route.is_gather() && result.reply.status < first_server_error &&
               !result.reply.receipt.empty();
    }

    void complete_part(query_part& item, replica_reply reply, attempt_outcome outcome)
    {
        close_part(item, outcome == attempt_outcome::succeeded ? part_state::answered
                                                               : part_state::failed);
        if (outcome == attempt_outcome::succeeded)
            item.reply = std::move(reply);
        else
            item.last_failure = std::move(reply);
    }

    void fail_part(query_part& item, std::string reason)
    {
        item.reason = std::move(reason);
        close_part(item, part_state::failed);
    }

    void close_part(query_part& item, part_state state)
    {
        item.state = state;
        --m_open_parts;
        if (state == part_state::answered)
            ++m_answered;
        item.hedge_at.reset();
    }

    // Answers when all parts are complete, when the answer time is reached with enough parts, when
    // too few parts can still be answered, or at the end of the deadline.
    void finish_if_decided()
    {
        if (m_is_finished)
            return;
        const base::time_point now = m_dispatcher.now();
        const bool has_required_parts = m_answered >= required_parts();
        if (m_open_parts == 0 || (has_required_parts && now >= m_answer_at))
            return has_required_parts ? finish_success() : finish_failure(false);
        if (m_answered + m_open_parts < required_parts())
            return finish_failure(false);
        if (now >= m_deadline_budget.end())
            return has_required_parts ? finish_success() : finish_failure(true);
    }

    void finish_success()
    {
        if (m_route.is_gather())
            return finish(gather_parts(m_parts, m_route.max_records));
        answer result;
        result.kind = answer_kind::relayed;
        result.reply = std::move(m_parts.front().reply);
        finish(std::move(result));
    }

    void finish_failure(bool is_timeout)
    {
        const auto first_unanswered =
            std::find_if(m_parts.begin(), m_parts.end(),
                         [](const query_part& item) { return item.state != part_state::answered; });
        const bool is_in_flight =
            std::any_of(m_parts.begin(), m_parts.end(),
                        [](const query_part& item) { return item.open_attempts > 0; });
        if (!m_may_have_run && !is_in_flight)
            return finish_refused(
                fmt::format("\"{}\": {}", first_unanswered->service, first_unanswered->reason));
        answer result;
        if (!m_route.is_gather() && first_unanswered->last_failure)
        {
            result.kind = answer_kind::relayed;
            result.reply = std::move(*first_unanswered->last_failure);
            return finish(std::move(result));
        }
        result.kind = is_timeout ? answer_kind::timed_out : answer_kind::failed;
        result.reason =
            fmt::format("{} of {} parts are in, {} are needed; \"{}\": {}", m_answered,
                        m_parts.size(), required_parts(), first_unanswered->service,
                        first_unanswered->reason.empty() ? "no reply" : first_unanswered->reason);
        finish(std::move(result));
    }

    void finish_refused(std::string reason)
    {
        answer result;
        result.kind = answer_kind::not_run;
        result.retry_after = m_dispatcher.choose_retry_after(m_request.deadline, find_reopening());
        result.is_out_of_reach =
            !m_is_trial_refused &&
            std::any_of(m_parts.begin(), m_parts.end(),
                        [this](const query_part& item)
                        {
                            return item.state != part_state::answered &&
                                   m_dispatcher.is_out_of_reach(item.service, m_homes);
                        });
        result.reason = std::move(reason);
        finish(std::move(result));
    }

    // When the last of the services that have no replica for this request has one again.
    std::optional<base::time_point> find_reopening() const
    {
        std::optional<base::time_point> result;
        for (const query_part& item : m_parts)
        {
            const auto reopening = item.state == part_state::answered
                                       ? std::nullopt
                                       : m_dispatcher.find_reopening(item.service, m_homes);
            if (reopening && (!result || *reopening > *result))
                result = reopening;
        }
        return result;
    }

    void finish(answer result)
    {
        m_is_finished = true;
        result.sends = m_send_count;
        result.repeats = m_repeat_count;
        m_dispatcher.timers().cancel(m_end_timer);
        m_dispatcher.timers().cancel(m_answer_timer);
        m_dispatcher.timers().cancel(m_hedge_timer);
        m_dispatcher.timers().cancel(m_wait_timer);
        m_dispatcher.timers().cancel(m_reach_timer);
        m_dispatcher.timers().cancel(m_trial_timer);
        m_dispatcher.end_trial(*this);
        m_on_reach_lost = nullptr;
        m_dispatcher.drop_later(std::move(m_attempts));
        // The callback may destroy this object.
        const completion on_answer = std::move(m_on_answer);
        on_answer(std::move(result));
    }

    Dispatcher& m_dispatcher;
    const caller_request<Message> m_request;
    const std::shared_ptr<const route_table> m_table;
    // Points into m_table.
    const route& m_route;
    // Invariant: no attempt goes to a replica elsewhere.
    const home_data_centres m_homes;
    const std::shared_ptr<route_knowledge> m_statistics;
    const latency_baseline m_baseline;
    completion m_on_answer;
    std::function<void()> m_on_reach_lost;
    const routing::deadline_budget m_deadline_budget;
    const base::time_point m_started_at;
    // When a gathered query is answered with the parts available, if they are enough.
    const base::time_point m_answer_at;
    straggler_rule m_straggler_rule;
    crash_caution m_caution;
    std::vector<query_part> m_parts;
    std::vector<std::shared_ptr<attempt_type>> m_attempts;
    // Invariant: m_open_parts and m_answered count the parts in these states.
    std::size_t m_open_parts = 0;
    std::size_t m_answered = 0;
    // Replicas to which no byte of the request could be sent.
    std::vector<std::shared_ptr<replica>> m_unreached;
    bool m_may_have_run = false;
    // Whether the request was not sent to the last replicas that others need.
    bool m_is_trial_refused = false;
    bool m_is_finished = false;
    std::uint32_t m_send_count = 0;
    std::uint32_t m_repeat_count = 0;
    timer_queue::handle m_end_timer = 0;
    timer_queue::handle m_answer_timer = 0;
    timer_queue::handle m_wait_timer = 0;
    timer_queue::handle m_reach_timer = 0;
    timer_queue::handle m_trial_timer = 0;
    timer_queue::handle m_hedge_timer = 0;
    base::time_point m_hedge_timer_at{};
    // Whether overdue parts are not hedged yet because more than stragglers are missing.
    bool m_is_hedge_postponed = false;
    // Invariant: set while a part is held.
    bool m_has_held_parts = false;
};

} // namespace ospreystair::forwarding

#endif
