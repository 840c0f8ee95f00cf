// Admits requests to services: at once below a service's concurrency limit, otherwise from a short
// fair queue, or not at all.

#ifndef OSPREYSTAIR_PROGRAMS_ENTRY_ADMISSION_GATE_HPP
#define OSPREYSTAIR_PROGRAMS_ENTRY_ADMISSION_GATE_HPP

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "admission/admission_queue.hpp"
#include "admission/concurrency_limiter.hpp"
#include "base/sharded_map.hpp"
#include "configuration/document.hpp"
#include "http/asio.hpp"
#include "observe/metrics.hpp"

namespace ospreystair::entry
{

class admission_gate;

/// A permit of a service's concurrency limit; released on destruction.
class admission_ticket
{
public:
    admission_ticket(admission_ticket&& other) noexcept;
    admission_ticket& operator=(admission_ticket&&) = delete;
    admission_ticket(const admission_ticket&) = delete;
    admission_ticket& operator=(const admission_ticket&) = delete;
    ~admission_ticket();

    /// Releases the permit and records the latency as a sample for the limit. A permit released on
    /// destruction records none, because the request's latency says nothing about the load.
    void complete(base::duration latency);
    /// Whether the request had to queue for its permit.
    bool has_waited() const { return m_has_waited; }

private:
    friend class admission_gate;

    admission_ticket(admission_gate& gate, std::string service, std::uint32_t cost,
                     bool has_waited);

    admission_gate* m_gate;
    std::string m_service;
    std::uint32_t m_cost;
    bool m_has_waited;
};

/// Issues the tickets of all services. Thread-safe.
class admission_gate
{
public:
    admission_gate(const base::steady_clock_source& clock, observe::metrics& metrics);

    /// Waits for a permit until `deadline`. Fails with overloaded or timeout and a time after which
    /// to retry. `cost` is the number of sub-requests that the request causes.
    http::awaitable<std::optional<admission_ticket>>
    acquire_ticket(const configuration::service& service, std::string caller, std::uint32_t cost,
                   base::time_point deadline, base::error& reason);

private:
    friend class admission_ticket;

    using limiter = admission::concurrency_limiter<base::steady_clock_source>;

    struct limiter_entry
    {
        std::uint32_t max_concurrency = 0;
        std::shared_ptr<limiter> value;
    };

    enum class waiter_state
    {
        waiting,
        admitted,
        displaced, ///< Displaced from the queue by another caller's request.
        infeasible ///< Its deadline can't be met any more.
    };

    // A request in the queue.
    struct waiter
    {
        explicit waiter(const http::asio::any_io_executor& executor) : timer(executor) {}
        http::asio::steady_timer timer;
        std::atomic<waiter_state> state{waiter_state::waiting};
    };

    std::shared_ptr<limiter> find_limiter(const configuration::service& service);
    std::shared_ptr<limiter> existing_limiter(const std::string& service) const;
    bool enqueue_waiter(const std::shared_ptr<waiter>& new_waiter, const std::string& service,
                        const std::string& caller, std::uint32_t cost, base::time_point deadline,
                        base::error& reason);
    void end_wait(std::uint64_t id, waiter_state state);
    void refuse_infeasible();
    void explain_refusal(waiter_state state, base::error& reason);
    void release_permit(const std::string& service, std::uint32_t cost,
                        std::optional<base::duration> latency);
    void admit_waiting();

    const base::steady_clock_source& m_clock;
    admission::admission_queue<base::steady_clock_source> m_queue;
    base::sharded_map<std::string, limiter_entry> m_limiters;
    std::mutex m_mutex;
    // Guarded by m_mutex. Contains exactly the requests that are in m_queue or m_head.
    std::map<std::uint64_t, std::shared_ptr<waiter>> m_waiters;
    // The size of m_waiters, for threads without the lock.
    std::atomic<std::size_t> m_waiting_count{0};
    // Guarded by m_mutex. The next request, taken from the queue but without a permit yet.
    std::optional<admission::waiting_request> m_head;
    std::uint64_t m_last_id = 0;
    observe::counter& m_queued_count;
};

} // namespace ospreystair::entry

#endif
