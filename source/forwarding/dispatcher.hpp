// Sends callers' requests to replicas: chooses among the replicas of a service, enforces the budget
// for repeats, queues requests that wait for a connection, and updates the state of a replica with
// the outcome of each attempt.

#ifndef OSPREYSTAIR_FORWARDING_DISPATCHER_HPP
#define OSPREYSTAIR_FORWARDING_DISPATCHER_HPP

#include <algorithm>
#include <chrono>
#include <concepts>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/hash.hpp"
#include "base/random.hpp"
#include "forwarding/home_data_centres.hpp"
#include "forwarding/isolation_monitor.hpp"
#include "forwarding/reach_monitor.hpp"
#include "forwarding/repeat_budget.hpp"
#include "forwarding/replica_directory.hpp"
#include "forwarding/request_run.hpp"
#include "forwarding/route_knowledge.hpp"
#include "forwarding/traffic_split.hpp"
#include "forwarding/trial_register.hpp"
#include "forwarding/waiting_parts.hpp"
#include "routing/rate_share.hpp"

namespace ospreystair::forwarding
{

/// Whether one more request can be sent to a replica now.
enum class connection_availability
{
    none,           ///< All of this VM's connections to the replica are in use.
    new_connection, ///< A connection has to be opened first.
    idle            ///< An open connection is idle.
};

/// Connections to replicas. Results are reported through `dispatcher::on_attempt_end`, never from
/// within `send`.
template<class Transport, class Attempt>
concept attempt_transport = requires(Transport& transport, const replica& target,
                                     std::shared_ptr<Attempt> next)
{
    {
        transport.availability_of(target)
        } -> std::same_as<connection_availability>;
    transport.send(next);
    // Cancels the attempt; no result is reported.
    transport.drop(next);
};

/// How far all VMs together may exceed a service's limit for cold replicas in one second.
struct warm_up_limits
{
    double factor = 1;
    double slack = 0;
};

/// Settings of a dispatcher.
struct dispatcher_settings
{
    repeat_limits repeats;
    /// Data centre of this VM.
    std::string data_centre;
    /// Region of each data centre.
    std::map<std::string, std::string> regions = {};
    warm_up_limits warm_up = {};
};

/// `Observer` is notified of hedges, hedges that are not sent, and failed attempts. Not
/// thread-safe: a dispatcher and all its members are used by one thread.
template<class Message, base::clock_source Clock, base::random_source Random, class Transport,
         class Observer>
class dispatcher
{
public:
    using run_type = request_run<dispatcher, Message>;
    using attempt_type = typename run_type::attempt_type;

    /// Attempts still in flight when their request is answered are dropped after this time. A reply
    /// before then keeps the connection open. Replicas must stop within half a second after the
    /// caller has closed its connection.
    static constexpr std::chrono::milliseconds drop_delay{300};

    dispatcher(const Clock& clock, Random& random, Transport& transport, Observer& observer,
               replica_directory& directory, dispatcher_settings settings)
        : m_clock(clock), m_random(random), m_transport(transport), m_observer(observer),
          m_directory(directory), m_settings(std::move(settings)), m_reach_monitor(clock.now()),
          m_crashes(choose_seed())
    {
    }

    /// Adopts a newer configuration; requests in progress keep the one they started with.
    void adopt(std::shared_ptr<const route_table> table)
    {
        m_table = std::move(table);
        m_splits.clear();
        m_shards = m_table->shard_services();
        limit_cold_replicas();
    }

    const std::shared_ptr<const route_table>& table() const { return m_table; }
    /// Sets how many of the VMs gather the queries over many shards, and whether this one does.
    void set_gatherers(std::size_t count, bool is_gatherer)
    {
        m_gatherer_count = count;
        m_is_gatherer = is_gatherer;
    }
    void set_regions(std::map<std::string, std::string> regions)
    {
        m_settings.regions = std::move(regions);
    }
    /// Where requests of the team on the route may be served; `team` may be null.
    home_data_centres find_homes(const route& rule, const teams::team* team) const
    {
        static const std::vector<std::string> all;
        return {m_settings.regions, rule.home_regions, team ? team->home_regions : all};
    }
    /// Sets this VM's place among the VMs that share the limits.
    void set_fleet_position(const routing::fleet_position& position)
    {
        m_position = position;
        limit_cold_replicas();
    }
    void set_warm_up_limits(const warm_up_limits& limits)
    {
        m_settings.warm_up = limits;
        limit_cold_replicas();
    }
    /// Must be called for each replica that is added to the directory.
    void on_replica_added(replica& added)
    {
        const service_limits* const limits =
            m_table ? m_table->find_service(added.registry_entry().service) : nullptr;
        if (limits)
            added.set_warm_up_limit(make_warm_up_limit(*limits), m_position, m_clock.now());
    }
    void set_repeat_limits(const repeat_limits& limits) { m_settings.repeats = limits; }

    /// Starts a request on a route of `table`, which may be older than `table()`: a request may
    /// have waited since its route was looked up. `on_answer` is called exactly once, possibly
    /// before this returns.
    std::shared_ptr<run_type> submit(caller_request<Message> request,
                                     std::shared_ptr<const route_table> table, const route& rule,
                                     typename run_type::completion on_answer)
    {
        std::shared_ptr<route_knowledge>& statistics = m_statistics[rule.name];
        if (!statistics)
            statistics = std::make_shared<route_knowledge>();
        request.time_used = statistics->record_deadline(
            request.team ? request.team->name : std::string(), request.deadline, rule.timeout);
        const bool is_current = table == m_table;
        auto run = std::make_shared<run_type>(*this, std::move(request), std::move(table), rule,
                                              statistics, std::move(on_answer));
        if (rule.is_gather())
            run->start(rule.shards);
        else
            run->start({choose_service(rule, is_current)});
        return run;
    }

    /// Called by the transport with the result of an attempt.
    void on_attempt_end(const std::shared_ptr<attempt_type>& ended, attempt_result result)
    {
        record_evidence(*ended, result);
        if (ended->is_ended)
            return;
        ended->is_ended = true;
        record_outcome(*ended, result);
        const bool is_verdict = result.has_crashed || shows_execution(result);
        if (const auto run = ended->run.lock())
            run->on_attempt_end(*ended, std::move(result));
        if (is_verdict)
            resume_trials(ended->fingerprint);
        resume_waiting(ended->target->registry_entry().service);
    }

    /// A connection to a replica of the service has become free.
    void on_connection_available(const std::string& service) { resume_waiting(service); }

    /// Data centres have been evacuated or taken back: parts that wait choose again.
    void on_evacuations_changed()
    {
        std::vector<std::string> services;
        for (const auto& [service, queue] : m_waiting)
            services.push_back(service);
        for (const std::string& service : services)
            resume_waiting(service);
    }

    /// Updates and returns `is_isolated`.
    bool update_isolation()
    {
        return m_isolation_monitor.update(m_directory, m_settings.data_centre, m_clock.now());
    }
    /// Whether this VM is cut off from other data centres, so that their VMs serve callers better.
    bool is_isolated() const { return m_isolation_monitor.is_isolated(); }

    /// Updates and returns whether this VM has lost all replicas.
    bool update_reach()
    {
        const base::time_point now = m_clock.now();
        const bool was_cut_off = m_reach_monitor.is_cut_off();
        const bool is_cut_off = m_reach_monitor.update(m_directory, now);
        if (is_cut_off && !was_cut_off)
            m_observer.on_reach_changed(true, now - m_reach_monitor.last_reply());
        return is_cut_off;
    }
    /// Whether a VM that has lost all replicas should try them with a request now.
    bool start_reach_trial() { return m_reach_monitor.start_trial(m_directory, m_clock.now()); }
    /// Time of the last reply of a replica.
    base::time_point last_reply() const { return m_reach_monitor.last_reply(); }

    /// Whether this VM could serve a request on the route now.
    bool can_serve(const route& rule) const
    {
        const home_data_centres homes = find_homes(rule, nullptr);
        if (rule.is_gather())
            return find_servable(rule.shards, homes).count >= rule.min_parts();
        return std::any_of(rule.services.begin(), rule.services.end(),
                           [&](const weighted_service& each)
                           { return has_live_replica(each.service, homes); });
    }

    /// Returns the answer to a request that crashes the replicas which run it; empty for others.
    std::optional<answer> refuse_condemned(const base::fingerprint& request,
                                           std::chrono::milliseconds deadline)
    {
        if (assess(request) != routing::crash_verdict::condemned)
            return std::nullopt;
        answer result;
        result.kind = answer_kind::not_run;
        result.reason = "replicas crashed under earlier requests with the same content";
        result.retry_after = choose_retry_after(deadline, m_crashes.blocked_until(request));
        return result;
    }

    /// Evidence about requests that crash replicas.
    routing::crash_ledger& crashes() { return m_crashes; }

    timer_queue& timers() { return m_timers; }
    base::time_point now() const { return m_clock.now(); }

    // The members below are called by request_run.

    struct choice
    {
        std::shared_ptr<replica> target;
        /// Some live replica has no connection available.
        bool is_saturated = false;
        /// Some live replica is closed for now.
        bool is_closed = false;
    };

    /// Returns the replica at home with the lowest estimated cost. A suspect replica is returned
    /// only when there is no other.
    choice choose(const std::string& service, const std::vector<std::shared_ptr<replica>>& excluded,
                  const latency_baseline& baseline, const home_data_centres& homes)
    {
        return choose_among(m_directory.replicas_of(service), excluded, baseline, homes);
    }

    /// Like `choose`, among `candidates`.
    choice choose_among(const std::vector<std::shared_ptr<replica>>& candidates,
                        const std::vector<std::shared_ptr<replica>>& excluded,
                        const latency_baseline& baseline, const home_data_centres& homes)
    {
        choice result;
        std::optional<base::duration> best;
        const base::time_point now = m_clock.now();
        for (const std::shared_ptr<replica>& candidate : candidates)
        {
            if (!candidate->is_ready() || candidate->is_down(now) ||
                !is_at_home(*candidate, homes) ||
                std::find(excluded.begin(), excluded.end(), candidate) != excluded.end())
                continue;
            if (candidate->is_closed(now))
            {
                result.is_closed = true;
                continue;
            }
            const connection_availability availability = m_transport.availability_of(*candidate);
            if (availability == connection_availability::none)
            {
                result.is_saturated = true;
                continue;
            }
            const base::duration cost = estimate_cost(*candidate, availability, now, baseline);
            if (best && cost >= *best)
                continue;
            best = cost;
            result.target = candidate;
        }
        return result;
    }

    struct servable_services
    {
        std::size_t count = 0;
        /// The first one that has no replica for a request now; empty if all have.
        std::string first_missing;
    };

    servable_services find_servable(const std::vector<std::string>& services,
                                    const home_data_centres& homes) const
    {
        servable_services result;
        for (const std::string& service : services)
            if (has_live_replica(service, homes))
                ++result.count;
            else if (result.first_missing.empty())
                result.first_missing = service;
        return result;
    }

    struct replica_counts
    {
        std::size_t live = 0;
        std::size_t down = 0;
    };

    /// Counts the listed replicas of a service that are not about to stop.
    replica_counts count_replicas(const std::string& service, const home_data_centres& homes) const
    {
        replica_counts result;
        for (const std::shared_ptr<replica>& candidate : m_directory.replicas_of(service))
            if (candidate->is_ready() && is_at_home(*candidate, homes))
                ++(candidate->is_down(m_clock.now()) ? result.down : result.live);
        return result;
    }

    /// Whether some replica of the service takes requests now.
    bool has_live_replica(const std::string& service, const home_data_centres& homes) const
    {
        const base::time_point now = m_clock.now();
        const auto& candidates = m_directory.replicas_of(service);
        return std::any_of(candidates.begin(), candidates.end(),
                           [&](const std::shared_ptr<replica>& candidate)
                           {
                               return candidate->is_ready() && !candidate->is_down(now) &&
                                      !candidate->is_closed(now) && is_at_home(*candidate, homes);
                           });
    }

    /// Whether the service has replicas that are not evacuated, and this VM reaches none of them.
    bool is_out_of_reach(const std::string& service, const home_data_centres& homes) const
    {
        const base::time_point now = m_clock.now();
        bool is_any_known = false;
        for (const std::shared_ptr<replica>& candidate : m_directory.replicas_of(service))
        {
            if (!is_at_home(*candidate, homes))
                continue;
            if (candidate->is_ready() && !candidate->is_down(now))
                return false;
            is_any_known = is_any_known || !candidate->is_evacuated();
        }
        return is_any_known;
    }

    /// Whether replicas of the service would take requests if their data centres were not
    /// evacuated.
    bool is_held_back(const std::string& service, const home_data_centres& homes) const
    {
        const base::time_point now = m_clock.now();
        const auto& candidates = m_directory.replicas_of(service);
        return std::any_of(candidates.begin(), candidates.end(),
                           [&](const std::shared_ptr<replica>& candidate)
                           {
                               return candidate->is_evacuated() && candidate->is_available() &&
                                      !candidate->is_down(now) && is_at_home(*candidate, homes);
                           });
    }
    void report_held_back(const run_type& run, const std::string& service)
    {
        m_observer.on_held_back(run, service);
    }

    /// When the first closed replica of the service takes requests again. Empty when there is none,
    /// or when another one takes requests.
    std::optional<base::time_point> find_reopening(const std::string& service,
                                                   const home_data_centres& homes) const
    {
        const base::time_point now = m_clock.now();
        std::optional<base::time_point> result;
        for (const std::shared_ptr<replica>& candidate : m_directory.replicas_of(service))
        {
            if (!candidate->is_ready() || candidate->is_down(now) || !is_at_home(*candidate, homes))
                continue;
            if (!candidate->is_closed(now))
                return std::nullopt;
            const base::time_point reopening = candidate->reopens_at(now);
            if (!result || reopening < *result)
                result = reopening;
        }
        return result;
    }

    void send(const std::shared_ptr<attempt_type>& next)
    {
        next->target->record_sent(next->sent_at);
        m_transport.send(next);
    }

    void wait_for_connection(const std::string& service, const std::shared_ptr<run_type>& run,
                             std::size_t part)
    {
        typename waiting_parts<run_type>::entry item{run, part, run->rank(), run->team_name()};
        if (m_resumed.run != run.get() || m_resumed.part != part)
            return m_waiting[service].add(std::move(item));
        m_resumed = {};
        m_waiting[service].put_back(std::move(item));
    }

    /// Drops the attempts of an answered request that have not ended after `drop_delay`.
    void drop_later(std::vector<std::shared_ptr<attempt_type>> attempts)
    {
        std::erase_if(attempts, [](const auto& each) { return each->is_ended; });
        if (attempts.empty())
            return;
        m_timers.schedule(m_clock.now() + drop_delay,
                          [this, attempts = std::move(attempts)]
                          {
                              for (const auto& each : attempts)
                                  drop(each);
                          });
    }

    void record_request(const std::string& service)
    {
        budget_of(service).record_request(m_clock.now(), m_settings.repeats);
    }
    bool may_repeat(const std::string& service)
    {
        return budget_of(service).allows_repeat(m_clock.now(), m_settings.repeats,
                                                count_sharers(service));
    }
    void record_repeat(const std::string& service)
    {
        budget_of(service).record_repeat(m_clock.now(), m_settings.repeats);
    }

    routing::crash_verdict assess(const base::fingerprint& request) const
    {
        return m_crashes.assess(request, m_clock.now());
    }
    base::time_point next_trial_at(const base::fingerprint& request) const
    {
        return m_crashes.next_trial_at(request);
    }
    /// Whether the request may be the only one of its content that is sent now. If not, its
    /// `on_trial_ended` is called later.
    bool start_trial(const std::shared_ptr<run_type>& run) { return m_trials.start(run); }
    /// Ends the trial of a request, if it has one.
    void end_trial(const run_type& run)
    {
        if (m_trials.end(run))
            resume_trials(run.fingerprint());
    }

    void record_unservable() { m_isolation_monitor.record_unservable(m_clock.now()); }
    void report_hedge(const run_type& run, const std::string& service, const replica& target,
                      base::duration waited)
    {
        m_observer.on_hedge(run, service, target, waited);
    }
    void report_no_hedge(const run_type& run, const std::string& service, std::string_view reason)
    {
        m_observer.on_no_hedge(run, service, reason);
    }
    void report_attempt(const run_type& run, const std::string& service, const attempt_type& ended,
                        const attempt_result& result)
    {
        if (result.outcome != attempt_outcome::succeeded)
            m_observer.on_attempt_failed(run, service, ended, result);
    }

    /// Returns how long a refused caller should wait before its next request: short enough to leave
    /// time for an attempt, but not before `reopening`, and with jitter, so that callers refused at
    /// the same time do not retry at the same time.
    std::chrono::milliseconds choose_retry_after(std::chrono::milliseconds deadline,
                                                 std::optional<base::time_point> reopening)
    {
        std::chrono::milliseconds min_wait = deadline / min_retry_after_divisor;
        std::chrono::milliseconds max_wait = deadline / max_retry_after_divisor;
        if (reopening && *reopening > m_clock.now() + min_wait)
        {
            max_wait -= min_wait;
            min_wait = std::chrono::ceil<std::chrono::milliseconds>(*reopening - m_clock.now());
            max_wait += min_wait;
        }
        const auto jitter = static_cast<std::uint64_t>((max_wait - min_wait).count());
        return min_wait + std::chrono::milliseconds{m_random.below(jitter + 1)};
    }

private:
    // A waiting part that has just been offered a connection.
    struct resumed_part
    {
        const run_type* run = nullptr;
        std::size_t part = 0;
    };

    // The wait is between these fractions of the deadline: at most a third of the remaining time.
    static constexpr int min_retry_after_divisor = 10;
    static constexpr int max_retry_after_divisor = 4;
    // Time to open a connection on a slow network.
    static constexpr std::chrono::milliseconds connect_time{6};
    // Cost of the traffic between data centres.
    static constexpr std::chrono::milliseconds remote_cost{3};
    // Random variation of the cost, so that VMs do not all choose the same one of equal replicas.
    static constexpr double cost_jitter = 0.15;
    // Added for a suspect replica, so that it is chosen only when there is no other.
    static constexpr std::chrono::seconds suspect_cost{60};

    static bool is_at_home(const replica& candidate, const home_data_centres& homes)
    {
        return homes.permits(candidate.registry_entry().data_centre);
    }

    base::duration estimate_cost(const replica& candidate, connection_availability availability,
                                 base::time_point now, const latency_baseline& baseline)
    {
        const bool is_remote = candidate.registry_entry().data_centre != m_settings.data_centre;
        // Chance alone must not send a request to another data centre.
        const double jitter = 1 + cost_jitter * (choose_fraction() + (is_remote ? 1 : 0));
        base::duration result = std::chrono::duration_cast<base::duration>(
            candidate.expected_time(now, baseline) * jitter);
        // A replica at reduced pace gets its share of the requests that would otherwise go to it;
        // the rest only when its neighbours would answer later.
        const double share = candidate.pace().share(now);
        if (share < 1 && choose_fraction() >= share)
            result = std::chrono::duration_cast<base::duration>(result / share);
        if (availability == connection_availability::new_connection)
            result += connect_time;
        if (is_remote)
            result += remote_cost;
        if (candidate.is_suspect(now, baseline))
            result += suspect_cost;
        return result;
    }

    // Gatherers send most of the requests to shards only.
    std::size_t count_sharers(const std::string& service) const
    {
        return count_slack_sharers(
            m_position.vm_count, m_shards.contains(service) ? m_gatherer_count : 0, m_is_gatherer);
    }

    void limit_cold_replicas()
    {
        if (!m_table)
            return;
        for (const service_limits& limits : m_table->services())
            for (const std::shared_ptr<replica>& known : m_directory.replicas_of(limits.name))
                known->set_warm_up_limit(make_warm_up_limit(limits), m_position, m_clock.now());
    }

    // Empty when the service's cold replicas take any number of requests.
    std::optional<routing::rate_limit> make_warm_up_limit(const service_limits& limits) const
    {
        const double rate = limits.warm_up_requests_per_second;
        if (rate <= 0)
            return std::nullopt;
        return routing::rate_limit{rate,
                                   rate * m_settings.warm_up.factor + m_settings.warm_up.slack};
    }

    repeat_budget& budget_of(const std::string& service)
    {
        const auto found = m_budgets.find(service);
        if (found != m_budgets.end())
            return found->second;
        return m_budgets.emplace(service, repeat_budget(choose_fraction())).first->second;
    }

    // Returns a random number from 0 to below 1.
    double choose_fraction()
    {
        constexpr std::uint64_t resolution = 1'000;
        return static_cast<double>(m_random.below(resolution)) / static_cast<double>(resolution);
    }

    const std::string& choose_service(const route& rule, bool is_current)
    {
        if (rule.services.size() == 1)
            return rule.services.front().service;
        // The route of this name in the current table may have other services.
        if (!is_current)
            return rule.services[draw_service(rule.services, m_random)].service;
        const auto split = m_splits.try_emplace(rule.name, rule.services, m_random).first;
        return rule.services[split->second.next()].service;
    }

    std::uint64_t choose_seed()
    {
        constexpr std::uint64_t half = std::uint64_t{1} << 32U;
        return (m_random.below(half) << 32U) | m_random.below(half);
    }

    void record_evidence(const attempt_type& ended, const attempt_result& result)
    {
        const base::time_point now = m_clock.now();
        if (shows_execution(result))
            m_crashes.record_answer(ended.fingerprint, now);
        if (!result.has_crashed)
            return;
        m_crashes.record_crash(
            ended.fingerprint,
            {base::stable_hash(ended.target->registry_entry().id), ended.sent_at, now});
        m_observer.on_replica_crashed(ended, assess(ended.fingerprint));
    }

    // Lets the requests go on that wait for the trial of another one with the same content.
    void resume_trials(const base::fingerprint& request)
    {
        for (const auto& waiting : m_trials.take_waiting(request))
            waiting->on_trial_ended();
    }

    void record_outcome(const attempt_type& ended, const attempt_result& result)
    {
        const base::time_point now = m_clock.now();
        replica& target = *ended.target;
        if (result.outcome != attempt_outcome::lost && result.outcome != attempt_outcome::not_sent)
            record_contact(now);
        switch (result.outcome)
        {
        case attempt_outcome::succeeded:
            target.record_reply(ended.sent_at, now, ended.baseline, false);
            ended.statistics->record_attempt(now - ended.sent_at);
            break;
        case attempt_outcome::failed:
            target.record_reply(ended.sent_at, now, ended.baseline, true);
            break;
        case attempt_outcome::refused:
            target.record_refusal(ended.sent_at, now);
            break;
        case attempt_outcome::misplaced:
            target.record_refusal(ended.sent_at, now);
            target.record_replaced();
            break;
        case attempt_outcome::lost:
        case attempt_outcome::not_sent:
            if (result.is_connection_rejected)
                target.record_not_sent(ended.sent_at);
            else
                target.record_connection_loss(ended.sent_at, now);
            break;
        }
        if (result.load)
            target.record_load(*result.load, now);
        record_announcements(target, result);
    }

    void record_contact(base::time_point now)
    {
        if (m_reach_monitor.is_cut_off())
            m_observer.on_reach_changed(false, now - m_reach_monitor.last_reply());
        m_reach_monitor.record_reply(now);
    }

    // Records what the replica says about itself. Another replica at its address says nothing about
    // it.
    void record_announcements(replica& target, const attempt_result& result)
    {
        if (result.outcome == attempt_outcome::misplaced)
            return;
        if (result.is_leaving && !target.is_leaving())
        {
            target.record_leaving();
            m_observer.on_replica_leaving(target);
        }
        record_request_limit(target, result);
        if (result.warm_up_left)
            target.record_warm_up(*result.warm_up_left, m_clock.now());
        if (result.closed_for)
        {
            target.record_closed(m_clock.now() + *result.closed_for);
            m_observer.on_replica_closed(target, *result.closed_for);
        }
    }

    // Only a complete reply says whether the replica has a limit.
    void record_request_limit(replica& target, const attempt_result& result)
    {
        const bool is_complete = result.outcome == attempt_outcome::succeeded ||
                                 result.outcome == attempt_outcome::failed ||
                                 result.outcome == attempt_outcome::refused;
        if (!is_complete)
            return;
        if (result.request_limit.has_value() != target.has_request_limit())
            m_observer.on_replica_limited(target, result.request_limit);
        if (result.request_limit)
            target.record_request_limit(*result.request_limit, m_position, m_clock.now());
        else
            target.clear_request_limit();
    }

    void drop(const std::shared_ptr<attempt_type>& given_up)
    {
        if (given_up->is_ended)
            return;
        given_up->is_ended = true;
        const base::time_point now = m_clock.now();
        given_up->target->record_abandoned(given_up->sent_at, now, given_up->baseline);
        // A lower bound of the latency, which already exceeds every overdue threshold.
        given_up->statistics->record_attempt(now - given_up->sent_at);
        m_transport.drop(given_up);
        resume_waiting(given_up->target->registry_entry().service);
    }

    // Offers free connections to waiting parts in their order, until one finds none and adds itself
    // to the queue again.
    void resume_waiting(const std::string& service)
    {
        while (m_waiting.contains(service))
        {
            const auto first = m_waiting[service].take();
            if (m_waiting[service].is_empty())
                m_waiting.erase(service);
            const auto run = first ? first->run.lock() : nullptr;
            if (!run || run->is_finished())
                continue;
            m_resumed = {run.get(), first->part};
            run->on_connection_available(first->part);
            if (!m_resumed.run)
                return;
            m_resumed = {};
        }
    }

    const Clock& m_clock;
    Random& m_random;
    Transport& m_transport;
    Observer& m_observer;
    replica_directory& m_directory;
    dispatcher_settings m_settings;
    timer_queue m_timers;
    std::shared_ptr<const route_table> m_table;
    isolation_monitor m_isolation_monitor;
    reach_monitor m_reach_monitor;
    routing::fleet_position m_position;
    std::size_t m_gatherer_count = 0;
    bool m_is_gatherer = false;
    // Services that are only used as shards of queries.
    std::set<std::string> m_shards;
    // By route name.
    std::map<std::string, std::shared_ptr<route_knowledge>> m_statistics;
    // Invariant: made for the routes of m_table.
    std::map<std::string, traffic_split> m_splits;
    // By service.
    std::unordered_map<std::string, repeat_budget> m_budgets;
    // Invariant: no entry is empty.
    std::unordered_map<std::string, waiting_parts<run_type>> m_waiting;
    // Set only while the part is offered a connection.
    resumed_part m_resumed;
    routing::crash_ledger m_crashes;
    trial_register<run_type> m_trials;
};

} // namespace ospreystair::forwarding

#endif
