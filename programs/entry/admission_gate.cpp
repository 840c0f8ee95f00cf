// Joins the concurrency limits and the fair queue to coroutines that wait.

#include "programs/entry/admission_gate.hpp"

#include <algorithm>
#include <utility>

namespace ospreystair::entry
{

namespace asio = http::asio;

namespace
{

// Queries in flight per slot of the shard with the fewest slots. A query ends with its slowest
// shard, so that slots of the others are free meanwhile: one query per slot does not use them all.
// With many more the requests wait at the upstreams, which refuse what their queues don't hold.
constexpr std::uint32_t queries_per_slot = 2;

std::uint32_t bounded_concurrency(const configuration::service& service)
{
    std::uint32_t fewest_slots = service.max_concurrency;
    for (const configuration::shard& shard : service.shards)
    {
        std::uint32_t slots = 0;
        for (const configuration::replica& replica : shard.replicas)
            slots += std::max<std::uint32_t>(1, replica.slots);
        fewest_slots = std::min(fewest_slots, std::max<std::uint32_t>(1, slots));
    }
    return std::min(service.max_concurrency, fewest_slots * queries_per_slot);
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
        m_gate->leave(m_service, m_cost, std::nullopt);
}

void admission_ticket::complete(base::duration latency)
{
    if (admission_gate* gate = std::exchange(m_gate, nullptr))
        gate->leave(m_service, m_cost, latency);
}

admission_gate::admission_gate(const base::steady_clock_source& clock, observe::metrics& metrics)
    : m_clock(clock), m_queue(clock),
      m_queued_count(metrics.find_counter("ospreystair_requests_queued_total"))
{
}

std::shared_ptr<admission_gate::limiter> admission_gate::find_limiter(const std::string& service,
                                                                      std::uint32_t max_concurrency)
{
    const auto make = [&]
    {
        admission::limiter_settings settings;
        settings.max_concurrency = max_concurrency;
        return limiter_entry{max_concurrency, std::make_shared<limiter>(m_clock, settings)};
    };
    return m_limiters.update(service, make,
                             [&](limiter_entry& known)
                             {
                                 if (known.max_concurrency != max_concurrency &&
                                     max_concurrency != 0)
                                     known = make();
                                 return known.value;
                             });
}

http::awaitable<std::optional<admission_ticket>>
admission_gate::enter(const configuration::service& service, std::string caller, std::uint32_t cost,
                      base::time_point deadline, base::error& reason)
{
    const std::shared_ptr<limiter> limit = find_limiter(service.name, bounded_concurrency(service));
    // A newcomer must not pass those that wait.
    if (m_queue.size() == 0 && limit->try_acquire())
        co_return admission_ticket(*this, service.name, cost, false);
    const auto executor = co_await asio::this_coro::executor;
    const auto own =
        wait_in_queue(executor, {0, service.name, std::move(caller), cost, deadline}, reason);
    if (!own)
        co_return std::nullopt;
    admit_waiting();
    boost::system::error_code ignored;
    co_await own->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    const std::scoped_lock lock(m_mutex);
    if (own->is_admitted)
        co_return admission_ticket(*this, service.name, cost, true);
    for (const std::uint64_t id : m_queue.take_expired())
        m_waiters.erase(id);
    base::fail(reason, own->is_displaced ? base::error_kind::overloaded : base::error_kind::timeout,
               own->is_displaced ? "not run: another caller's request took the place in the queue; "
                                   "retry later"
                                 : "not run: no place became free before the deadline; retry later",
               m_queue.retry_after());
    co_return std::nullopt;
}

std::shared_ptr<admission_gate::waiter>
admission_gate::wait_in_queue(const asio::any_io_executor& executor,
                              const admission::waiting_request& request, base::error& reason)
{
    auto own = std::make_shared<waiter>(executor);
    own->timer.expires_at(request.deadline);
    const std::scoped_lock lock(m_mutex);
    admission::waiting_request queued = request;
    queued.id = ++m_last_id;
    std::optional<std::uint64_t> displaced;
    if (!m_queue.enqueue(queued, displaced, reason))
        return nullptr;
    m_queued_count.add();
    m_waiters.emplace(queued.id, own);
    if (displaced)
    {
        const auto position = m_waiters.find(*displaced);
        const std::shared_ptr<waiter> loser = position->second;
        m_waiters.erase(position);
        loser->is_displaced = true;
        asio::post(loser->timer.get_executor(), [loser] { loser->timer.cancel(); });
    }
    return own;
}

void admission_gate::leave(const std::string& service, std::uint32_t cost,
                           std::optional<base::duration> latency)
{
    const std::shared_ptr<limiter> limit = find_limiter(service, 0);
    if (latency)
        limit->release(*latency);
    else
        limit->release();
    m_queue.record_completion(cost);
    if (m_queue.size() != 0)
        admit_waiting();
}

void admission_gate::admit_waiting()
{
    const std::scoped_lock lock(m_mutex);
    const auto has_place = [this](const std::string& service)
    {
        const auto limit = find_limiter(service, 0);
        return limit->in_flight() < limit->limit();
    };
    while (auto request = m_queue.next(has_place))
    {
        const auto position = m_waiters.find(request->id);
        if (position == m_waiters.end())
            continue;
        // Another thread may have taken the place since has_place() looked.
        if (!find_limiter(request->service, 0)->try_acquire())
        {
            base::error ignored;
            std::optional<std::uint64_t> displaced;
            const std::shared_ptr<waiter> own = position->second;
            if (!m_queue.enqueue(*request, displaced, ignored))
            {
                m_waiters.erase(position);
                own->is_displaced = true;
                asio::post(own->timer.get_executor(), [own] { own->timer.cancel(); });
            }
            return;
        }
        const std::shared_ptr<waiter> own = position->second;
        m_waiters.erase(position);
        own->is_admitted = true;
        asio::post(own->timer.get_executor(), [own] { own->timer.cancel(); });
    }
}

} // namespace ospreystair::entry
