// Suspends the coroutines of queued requests until a service's concurrency limit admits them.

#include "programs/entry/admission_gate.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace ospreystair::entry
{

namespace asio = http::asio;

namespace
{

// How often a waiting request checks for infeasible deadlines, so that it is refused as soon as its
// own can't be met instead of at the deadline.
constexpr std::chrono::milliseconds check_interval{20};

// Queries in flight per slot of the shard with the fewest slots. A query ends with its slowest
// shard while slots of the other shards are already free, so one query per slot leaves slots
// unused. With many more, requests queue at the upstreams, which refuse those beyond their queues.
constexpr std::uint32_t queries_per_slot = 2;

std::uint32_t bounded_concurrency(const configuration::service& service)
{
    std::uint32_t min_slots = service.max_concurrency;
    for (const configuration::shard& shard : service.shards)
    {
        std::uint32_t slots = 0;
        for (const configuration::replica& replica : shard.replicas)
            slots += std::max<std::uint32_t>(1, replica.slots);
        min_slots = std::min(min_slots, std::max<std::uint32_t>(1, slots));
    }
    return std::min(service.max_concurrency, min_slots * queries_per_slot);
}

} // namespace

admission_ticket::admission_ticket(admission_gate& gate, std::string service, std::uint32_t cost,
                                   bool has_waited)
    : m_gate(&gate), m_service(std::move(service)), m_cost(cost), m_has_waited(has_waited)
{
}

admission_ticket::admission_ticket(admission_ticket&& other) noexcept
    : m_gate(std::exchange(other.m_gate, nullptr)), m_service(std::move(other.m_service)),
      m_cost(other.m_cost), m_has_waited(other.m_has_waited)
{
}

admission_ticket::~admission_ticket()
{
    if (m_gate != nullptr)
        m_gate->release_permit(m_service, m_cost, std::nullopt);
}

void admission_ticket::complete(base::duration latency)
{
    if (admission_gate* gate = std::exchange(m_gate, nullptr))
        gate->release_permit(m_service, m_cost, latency);
}

admission_gate::admission_gate(const base::steady_clock_source& clock, observe::metrics& metrics)
    : m_clock(clock), m_queue(clock),
      m_queued_count(metrics.find_counter("ospreystair_requests_queued_total"))
{
}

std::shared_ptr<admission_gate::limiter>
admission_gate::find_limiter(const configuration::service& service)
{
    const std::uint32_t bound = bounded_concurrency(service);
    const auto make = [&]
    {
        admission::limiter_settings settings;
        settings.max_concurrency = bound;
        return limiter_entry{bound, std::make_shared<limiter>(m_clock, settings)};
    };
    return m_limiters.update(service.name, make,
                             [&](limiter_entry& known)
                             {
                                 if (known.max_concurrency != bound)
                                     known.value->set_max_concurrency(bound);
                                 known.max_concurrency = bound;
                                 return known.value;
                             });
}

std::shared_ptr<admission_gate::limiter>
admission_gate::existing_limiter(const std::string& service) const
{
    const auto known = m_limiters.find(service);
    assert(known);
    return known->value;
}

http::awaitable<std::optional<admission_ticket>>
admission_gate::acquire_ticket(const configuration::service& service, std::string caller,
                               std::uint32_t cost, base::time_point deadline, base::error& reason)
{
    const std::shared_ptr<limiter> limit = find_limiter(service);
    // A new request must not overtake the waiting ones.
    if (m_waiting_count.load() == 0 && limit->try_acquire())
        co_return admission_ticket(*this, service.name, cost, false);
    const auto executor = co_await asio::this_coro::executor;
    const auto new_waiter = std::make_shared<waiter>(executor);
    if (!enqueue_waiter(new_waiter, service.name, caller, cost, deadline, reason))
        co_return std::nullopt;
    admit_waiting();
    while (new_waiter->state.load() == waiter_state::waiting)
    {
        new_waiter->timer.expires_after(check_interval);
        boost::system::error_code ignored;
        co_await new_waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        refuse_infeasible();
    }
    if (new_waiter->state.load() == waiter_state::admitted)
        co_return admission_ticket(*this, service.name, cost, true);
    explain_refusal(new_waiter->state.load(), reason);
    co_return std::nullopt;
}

void admission_gate::explain_refusal(waiter_state state, base::error& reason)
{
    const bool is_displaced = state == waiter_state::displaced;
    base::fail(reason, base::error_kind::overloaded,
               is_displaced ? "not run: another caller's request took the place in the queue; "
                              "retry later"
                            : "not run: no place will be free before the deadline; retry later",
               m_queue.retry_after());
}

bool admission_gate::enqueue_waiter(const std::shared_ptr<waiter>& new_waiter,
                                    const std::string& service, const std::string& caller,
                                    std::uint32_t cost, base::time_point deadline,
                                    base::error& reason)
{
    const std::scoped_lock lock(m_mutex);
    const std::uint64_t id = ++m_last_id;
    std::optional<std::uint64_t> displaced;
    if (!m_queue.enqueue({id, service, caller, cost, deadline}, displaced, reason))
        return false;
    m_queued_count.add();
    m_waiters.emplace(id, new_waiter);
    m_waiting_count.store(m_waiters.size());
    if (displaced)
        end_wait(*displaced, waiter_state::displaced);
    return true;
}

// Ends the wait of a request that was taken from the queue. Requires that m_mutex is locked.
void admission_gate::end_wait(std::uint64_t id, waiter_state state)
{
    const auto position = m_waiters.find(id);
    assert(position != m_waiters.end());
    const std::shared_ptr<waiter> item = position->second;
    m_waiters.erase(position);
    m_waiting_count.store(m_waiters.size());
    item->state.store(state);
    asio::post(item->timer.get_executor(), [item] { item->timer.cancel(); });
}

void admission_gate::refuse_infeasible()
{
    const std::scoped_lock lock(m_mutex);
    for (const std::uint64_t id : m_queue.take_infeasible())
        end_wait(id, waiter_state::infeasible);
    if (m_head && m_head->deadline <= m_clock.now())
    {
        end_wait(m_head->id, waiter_state::infeasible);
        m_head.reset();
    }
}

void admission_gate::release_permit(const std::string& service, std::uint32_t cost,
                                    std::optional<base::duration> latency)
{
    const std::shared_ptr<limiter> limit = existing_limiter(service);
    if (latency)
        limit->release(*latency);
    else
        limit->release();
    if (m_waiting_count.load() == 0)
        return;
    m_queue.record_completion(cost);
    admit_waiting();
}

void admission_gate::admit_waiting()
{
    const std::scoped_lock lock(m_mutex);
    const auto has_free_permit = [this](const std::string& service)
    {
        const auto limit = existing_limiter(service);
        return limit->in_flight() < limit->limit();
    };
    for (;;)
    {
        if (!m_head)
            m_head = m_queue.next(has_free_permit);
        // Another thread may have acquired the permit since the check by has_free_permit(); then
        // the request remains the next one.
        if (!m_head || !existing_limiter(m_head->service)->try_acquire())
            return;
        end_wait(m_head->id, waiter_state::admitted);
        m_head.reset();
    }
}

} // namespace ospreystair::entry
