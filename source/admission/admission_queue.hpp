// Bounded queue for requests above the concurrency limits, fair between services and between
// callers.

#ifndef OSPREYSTAIR_ADMISSION_ADMISSION_QUEUE_HPP
#define OSPREYSTAIR_ADMISSION_ADMISSION_QUEUE_HPP

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "base/fair_order.hpp"

namespace ospreystair::admission
{

/// A request that waits for admission.
struct waiting_request
{
    /// Chosen by the user of the queue; unique among waiting requests.
    std::uint64_t id = 0;
    std::string service;
    std::string caller;
    /// Number of sub-requests that it causes: a query over 20 shards costs 20.
    std::uint32_t cost = 1;
    base::time_point deadline{};
};

/// Settings of the queue.
struct queue_settings
{
    std::size_t capacity = 64;
    /// Weights of the services; 1 for those not listed.
    std::map<std::string, double> service_weights;
    /// Time constant of the exponentially weighted drain rate.
    base::duration rate_time_constant = std::chrono::seconds{2};
    std::chrono::milliseconds min_retry_after{50};
    std::chrono::milliseconds max_retry_after{10'000};
};

/// Start-time fair queueing by cost: between services by weight, between the callers of a service
/// equally, and by earliest deadline for one caller. When the queue is full, a request of the
/// caller with the most waiting requests is displaced. Thread-safe; the single lock is taken only
/// when a service has reached its limit.
template<base::clock_source Clock>
class admission_queue
{
public:
    explicit admission_queue(const Clock& clock, queue_settings settings = {})
        : m_clock(clock), m_settings(std::move(settings)), m_rate_updated_at(clock.now())
    {
    }

    /// Queues a request. Fails at once with `overloaded` and a retry_after when the queue is full
    /// or the deadline can't be met at the current drain rate, and with `timeout` when it has
    /// passed. `displaced` receives the id of a waiting request that was removed to make room for
    /// this one and must be refused now.
    bool enqueue(const waiting_request& request, std::optional<std::uint64_t>& displaced,
                 base::error& reason)
    {
        const std::scoped_lock lock(m_mutex);
        const base::time_point now = m_clock.now();
        displaced.reset();
        if (request.deadline <= now)
            return refuse(reason, base::error_kind::timeout, "the deadline has passed", now);
        if (now + expected_wait(request, now) > request.deadline)
            return refuse(reason, base::error_kind::overloaded,
                          "the deadline can't be met behind the waiting requests", now);
        if (m_size >= m_settings.capacity && !displace(request, displaced))
            return refuse(reason, base::error_kind::overloaded, "the queue is full", now);
        insert(request);
        return true;
    }

    /// Returns the next request to run among services for which `can_run` holds. `can_run` is
    /// called with the queue's lock held and must not use the queue.
    template<class CanRun>
    std::optional<waiting_request> next(CanRun can_run)
    {
        const std::scoped_lock lock(m_mutex);
        decay_rate(m_clock.now());
        const auto name = m_service_order.next(can_run);
        if (!name)
            return std::nullopt;
        service_state& service = m_services.at(*name);
        const auto caller = service.callers.find(*service.order.next());
        request_map& requests = caller->second;
        waiting_request request = requests.begin()->second;
        erase_request(requests, requests.begin());
        m_service_order.record_served(*name, request.cost / weight_of(*name));
        service.order.record_served(caller->first, request.cost);
        if (requests.empty())
            remove_caller(service, caller);
        if (service.callers.empty())
            m_service_order.leave(*name);
        return request;
    }

    /// Removes the requests whose deadline has passed and returns their ids; they must be refused
    /// now.
    std::vector<std::uint64_t> take_expired()
    {
        const std::scoped_lock lock(m_mutex);
        const base::time_point now = m_clock.now();
        decay_rate(now);
        return take_if([now](const waiting_request& each, std::uint64_t)
                       { return each.deadline <= now; });
    }

    /// Like `take_expired`, but also takes requests whose deadline can't be met any more because
    /// the drain rate has fallen since they were queued. Call it regularly, so that they are
    /// refused before their deadline rather than at it.
    std::vector<std::uint64_t> take_infeasible()
    {
        const std::scoped_lock lock(m_mutex);
        const base::time_point now = m_clock.now();
        const double rate = drain_rate(now);
        std::size_t flows = 0;
        for (const auto& [name, service] : m_services)
            flows += service.callers.size();
        const std::uint64_t total = m_waiting_cost;
        return take_if(
            [=](const waiting_request& each, std::uint64_t own_cost)
            {
                return each.deadline <= now ||
                       now + time_to_drain(own_cost, flows, total, rate) > each.deadline;
            });
    }

    /// Records that admitted work of this cost has completed, for the drain rate. Call it before
    /// `next`: completions count only while requests are queued.
    void record_completion(std::uint32_t cost)
    {
        const std::scoped_lock lock(m_mutex);
        decay_rate(m_clock.now());
        if (m_size != 0)
            m_completed_cost += cost;
    }

    /// Returns after how long a refused caller should retry: the time to drain the waiting work.
    std::chrono::milliseconds retry_after()
    {
        const std::scoped_lock lock(m_mutex);
        return retry_after_locked(m_clock.now());
    }

    std::size_t size() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_size;
    }

private:
    using request_map = std::multimap<base::time_point, waiting_request>;

    struct service_state
    {
        // Invariant: no caller's requests are empty outside of the functions that change them;
        // `order` holds the same callers.
        std::map<std::string, request_map> callers;
        base::fair_order<std::string> order;
    };

    double weight_of(const std::string& service) const
    {
        const auto position = m_settings.service_weights.find(service);
        return position == m_settings.service_weights.end() ? 1 : std::max(0.01, position->second);
    }

    void insert(const waiting_request& request)
    {
        service_state& service = m_services[request.service];
        m_service_order.join(request.service);
        service.order.join(request.caller);
        service.callers[request.caller].emplace(request.deadline, request);
        ++m_size;
        m_waiting_cost += request.cost;
    }

    auto remove_caller(service_state& service,
                       typename std::map<std::string, request_map>::iterator caller)
    {
        service.order.leave(caller->first);
        return service.callers.erase(caller);
    }

    void erase_request(request_map& requests, typename request_map::iterator position)
    {
        --m_size;
        m_waiting_cost -= position->second.cost;
        requests.erase(position);
    }

    /// Removes the request with the latest deadline of the caller with the most requests, if it has
    /// at least two more than the caller of `request`. Returns whether a request was removed.
    bool displace(const waiting_request& request, std::optional<std::uint64_t>& displaced)
    {
        std::size_t own_count = 0;
        std::size_t largest_count = 0;
        service_state* largest_service = nullptr;
        typename std::map<std::string, request_map>::iterator largest_caller;
        for (auto& [name, service] : m_services)
            for (auto caller = service.callers.begin(); caller != service.callers.end(); ++caller)
            {
                const std::size_t request_count = caller->second.size();
                if (name == request.service && caller->first == request.caller)
                    own_count = request_count;
                if (request_count > largest_count)
                {
                    largest_count = request_count;
                    largest_service = &service;
                    largest_caller = caller;
                }
            }
        if (!largest_service || largest_count < own_count + 2)
            return false;
        auto& requests = largest_caller->second;
        const auto latest = std::prev(requests.end());
        displaced = latest->second.id;
        erase_request(requests, latest);
        return true;
    }

    /// Counts time only while requests wait. An idle period does not show how fast a queue drains,
    /// and a rate that decayed during it would cause the next burst to be refused.
    void decay_rate(base::time_point now)
    {
        if (m_size != 0)
        {
            const double time_constant =
                std::chrono::duration<double>(m_settings.rate_time_constant).count();
            const double decay_factor = std::exp(
                -std::chrono::duration<double>(now - m_rate_updated_at).count() / time_constant);
            m_completed_cost *= decay_factor;
            m_observed_s = m_observed_s * decay_factor + time_constant * (1 - decay_factor);
        }
        m_rate_updated_at = now;
    }

    /// Returns the cost units completed per second while requests waited; zero when there were none
    /// or the observed time is too short.
    double drain_rate(base::time_point now)
    {
        decay_rate(now);
        // Divided by the observed time: as long as that is shorter than the time constant, dividing
        // by the constant would give a rate far too low, and a new queue would refuse requests that
        // it can serve.
        return m_observed_s < min_observation_s ? 0 : m_completed_cost / m_observed_s;
    }

    /// Returns the time to drain the request and the work that fair queueing runs before it. A
    /// caller with few waiting requests does not wait behind another caller's backlog.
    base::duration expected_wait(const waiting_request& request, base::time_point now)
    {
        const double rate = drain_rate(now);
        if (rate < min_known_rate || m_size == 0)
            return base::duration{0};
        std::uint64_t own_cost = request.cost;
        std::size_t flows = 1;
        for (const auto& [name, service] : m_services)
            for (const auto& [caller_name, caller] : service.callers)
            {
                if (name != request.service || caller_name != request.caller)
                {
                    ++flows;
                    continue;
                }
                for (const auto& [deadline, waiting] : caller)
                    if (deadline <= request.deadline)
                        own_cost += waiting.cost;
            }
        return time_to_drain(own_cost, flows, m_waiting_cost + request.cost, rate);
    }

    /// Returns the time to drain `own_cost` cost units of one of `flows` callers that share the
    /// drain rate equally; the work ahead is at most `total`.
    static base::duration time_to_drain(std::uint64_t own_cost, std::size_t flows,
                                        std::uint64_t total, double rate)
    {
        if (rate < min_known_rate)
            return base::duration{0};
        const double ahead = std::min(static_cast<double>(total),
                                      static_cast<double>(own_cost) * static_cast<double>(flows));
        return std::chrono::duration_cast<base::duration>(
            std::chrono::duration<double>(std::min(ahead / rate, max_wait_s)));
    }

    /// Removes the requests for which `is_taken` holds and returns their ids. The second argument
    /// of `is_taken` is the cost of this request and of the caller's earlier ones that stay.
    template<class IsTaken>
    std::vector<std::uint64_t> take_if(IsTaken is_taken)
    {
        std::vector<std::uint64_t> taken;
        for (auto& [name, service] : m_services)
        {
            for (auto caller = service.callers.begin(); caller != service.callers.end();)
            {
                auto& requests = caller->second;
                std::uint64_t cost = 0;
                for (auto each = requests.begin(); each != requests.end();)
                {
                    const auto current = each++;
                    if (is_taken(current->second, cost + current->second.cost))
                    {
                        taken.push_back(current->second.id);
                        erase_request(requests, current);
                    }
                    else
                        cost += current->second.cost;
                }
                caller = requests.empty() ? remove_caller(service, caller) : std::next(caller);
            }
            if (service.callers.empty())
                m_service_order.leave(name);
        }
        return taken;
    }

    std::chrono::milliseconds retry_after_locked(base::time_point now)
    {
        const double rate = drain_rate(now);
        const double seconds = rate < min_known_rate
                                   ? max_wait_s
                                   : std::min(max_wait_s, (m_waiting_cost + 1.0) / rate);
        return std::clamp(std::chrono::milliseconds{static_cast<std::int64_t>(seconds * 1000)},
                          m_settings.min_retry_after, m_settings.max_retry_after);
    }

    bool refuse(base::error& reason, base::error_kind kind, const char* cause, base::time_point now)
    {
        const std::chrono::milliseconds wait = retry_after_locked(now);
        base::fail(reason, kind,
                   fmt::format("not run: {}; retry after {} ms or with a longer deadline", cause,
                               wait.count()),
                   wait);
        return false;
    }

    // Observed time below which the drain rate counts as unknown.
    static constexpr double min_observation_s = 0.001;
    // Upper bound of estimated waits; longer ones need not be told apart.
    static constexpr double max_wait_s = 3600;
    // Units per second below which the drain rate counts as unknown.
    static constexpr double min_known_rate = 1e-3;

    const Clock& m_clock;
    queue_settings m_settings;
    mutable std::mutex m_mutex;
    // All below are guarded by m_mutex. Invariant: m_size and m_waiting_cost are the number and the
    // total cost of the waiting requests.
    std::map<std::string, service_state> m_services;
    // Services with waiting requests.
    base::fair_order<std::string> m_service_order;
    std::size_t m_size = 0;
    std::uint64_t m_waiting_cost = 0;
    double m_completed_cost = 0;
    // Seconds during which requests waited, decayed like m_completed_cost.
    double m_observed_s = 0;
    base::time_point m_rate_updated_at;
};

} // namespace ospreystair::admission

#endif
