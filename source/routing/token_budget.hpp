// A token bucket that limits extra requests to a percentage of the normal ones, with a minimum
// refill rate and a bounded burst.

#ifndef OSPREYSTAIR_ROUTING_TOKEN_BUDGET_HPP
#define OSPREYSTAIR_ROUTING_TOKEN_BUDGET_HPP

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>

#include "base/clock.hpp"

namespace ospreystair::routing
{

/// Tokens for the hedges or retries of one service. Thread-safe and lock-free.
template<base::clock_source Clock>
class token_budget
{
public:
    struct settings
    {
        /// Tokens added per 100 sub-requests.
        std::uint32_t percent = 5;
        /// Capacity in tokens. 50 tokens are 5% of 1,000 sub-requests: enough for random clusters
        /// of stragglers, and a small load for the upstreams.
        std::uint32_t burst = 50;
        /// An empty budget gets one token per this time even without requests, so that a service
        /// with few requests can hedge at all.
        base::duration min_refill_interval = std::chrono::seconds{1};
    };

    token_budget(const Clock& clock, settings values)
        : m_clock(clock), m_settings(values),
          m_last_min_refill(clock.now().time_since_epoch().count())
    {
    }

    /// Adds the tokens for one sub-request.
    void record_request() { deposit(std::int64_t{m_settings.percent} * units_per_token / 100); }

    /// Takes one token; returns false when there is none.
    bool try_spend()
    {
        if (m_settings.percent == 0)
            return false;
        add_min_refill();
        std::int64_t balance = m_balance.load(std::memory_order_relaxed);
        while (balance >= units_per_token)
            if (m_balance.compare_exchange_weak(balance, balance - units_per_token,
                                                std::memory_order_relaxed))
                return true;
        return false;
    }

    /// Returns how full the budget is, from 0 to 1.
    double fill_ratio() const
    {
        if (m_settings.burst == 0)
            return 0;
        return static_cast<double>(m_balance.load(std::memory_order_relaxed)) / capacity();
    }

private:
    static constexpr std::int64_t units_per_token = 1000;

    std::int64_t capacity() const { return std::int64_t{m_settings.burst} * units_per_token; }

    void deposit(std::int64_t amount)
    {
        std::int64_t balance = m_balance.load(std::memory_order_relaxed);
        while (balance < capacity() &&
               !m_balance.compare_exchange_weak(balance, std::min(capacity(), balance + amount),
                                                std::memory_order_relaxed))
        {
        }
    }

    void add_min_refill()
    {
        const auto now = m_clock.now().time_since_epoch().count();
        auto last_refill = m_last_min_refill.load(std::memory_order_relaxed);
        // The minimum refill does not accumulate: it adds one token at most, however long the
        // service was idle.
        if (now - last_refill >= m_settings.min_refill_interval.count() &&
            m_last_min_refill.compare_exchange_strong(last_refill, now,
                                                      std::memory_order_relaxed) &&
            m_balance.load(std::memory_order_relaxed) < units_per_token)
            deposit(units_per_token);
    }

    const Clock& m_clock;
    settings m_settings;
    std::atomic<std::int64_t> m_balance{0};
    std::atomic<base::duration::rep> m_last_min_refill;
};

} // namespace ospreystair::routing

#endif
