// A budget for extra work: a percentage of the normal work, a small floor and a bounded burst.

#ifndef OSPREYSTAIR_ROUTING_TOKEN_BUDGET_HPP
#define OSPREYSTAIR_ROUTING_TOKEN_BUDGET_HPP

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>

#include "base/clock.hpp"

namespace ospreystair::routing
{

/// Tokens for hedges or retries of one service. Thread-safe without a lock.
template<base::clock_source Clock>
class token_budget
{
public:
    struct settings
    {
        /// Tokens that 100 sub-requests earn.
        std::uint32_t percent = 5;
        /// Most tokens that can be saved up. 50 is the share of 1,000 sub-requests at 5%: enough
        /// that chance clusters of stragglers are covered, and little against a fleet.
        std::uint32_t burst = 50;
        /// One token per this time without any requests, so that a quiet service can hedge at all.
        base::duration floor_interval = std::chrono::seconds{1};
    };

    token_budget(const Clock& clock, settings values)
        : m_clock(clock), m_settings(values), m_floor_at(clock.now().time_since_epoch().count())
    {
    }

    /// Earns the share of one sub-request.
    void record_request() { deposit(std::int64_t{m_settings.percent} * units_per_token / 100); }

    /// Takes one token; false when there is none.
    bool try_spend()
    {
        if (m_settings.percent == 0)
            return false;
        add_floor();
        std::int64_t units = m_units.load(std::memory_order_relaxed);
        while (units >= units_per_token)
            if (m_units.compare_exchange_weak(units, units - units_per_token,
                                              std::memory_order_relaxed))
                return true;
        return false;
    }

    /// How full the budget is, from 0 to 1.
    double fill() const
    {
        if (m_settings.burst == 0)
            return 0;
        return static_cast<double>(m_units.load(std::memory_order_relaxed)) / capacity();
    }

private:
    static constexpr std::int64_t units_per_token = 1000;

    std::int64_t capacity() const { return std::int64_t{m_settings.burst} * units_per_token; }

    void deposit(std::int64_t amount)
    {
        std::int64_t units = m_units.load(std::memory_order_relaxed);
        while (units < capacity() &&
               !m_units.compare_exchange_weak(units, std::min(capacity(), units + amount),
                                              std::memory_order_relaxed))
        {
        }
    }

    void add_floor()
    {
        const auto now = m_clock.now().time_since_epoch().count();
        auto last = m_floor_at.load(std::memory_order_relaxed);
        // The floor does not add up: at most one token, however long the service was quiet.
        if (now - last >= m_settings.floor_interval.count() &&
            m_floor_at.compare_exchange_strong(last, now, std::memory_order_relaxed) &&
            m_units.load(std::memory_order_relaxed) < units_per_token)
            deposit(units_per_token);
    }

    const Clock& m_clock;
    settings m_settings;
    std::atomic<std::int64_t> m_units{0};
    std::atomic<base::duration::rep> m_floor_at;
};

} // namespace ospreystair::routing

#endif
