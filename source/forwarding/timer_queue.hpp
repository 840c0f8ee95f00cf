// Schedules actions for code that reads no clock: the owner of a queue runs the actions that are
// due.

#ifndef OSPREYSTAIR_FORWARDING_TIMER_QUEUE_HPP
#define OSPREYSTAIR_FORWARDING_TIMER_QUEUE_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "base/clock.hpp"

namespace ospreystair::forwarding
{

/// Runs actions in the order of their times. Not thread-safe.
class timer_queue
{
public:
    /// Identifies a scheduled action; 0 stands for none.
    using handle = std::uint64_t;

    handle schedule(base::time_point at, std::function<void()> action)
    {
        const handle id = ++m_last_handle;
        m_actions.emplace(std::pair(at, id), std::move(action));
        m_times.emplace(id, at);
        return id;
    }

    /// Does nothing when the action has already run.
    void cancel(handle id)
    {
        const auto found = m_times.find(id);
        if (found == m_times.end())
            return;
        m_actions.erase(std::pair(found->second, id));
        m_times.erase(found);
    }

    std::size_t size() const { return m_actions.size(); }

    std::optional<base::time_point> next() const
    {
        if (m_actions.empty())
            return std::nullopt;
        return m_actions.begin()->first.first;
    }

    /// Runs all actions that are due, including those that these actions schedule for `now`.
    void run_due(base::time_point now)
    {
        while (!m_actions.empty() && m_actions.begin()->first.first <= now)
        {
            const auto first = m_actions.begin();
            const std::function<void()> action = std::move(first->second);
            m_times.erase(first->first.second);
            m_actions.erase(first);
            action();
        }
    }

private:
    handle m_last_handle = 0;
    // Invariant: both maps hold the same actions.
    std::map<std::pair<base::time_point, handle>, std::function<void()>> m_actions;
    std::map<handle, base::time_point> m_times;
};

} // namespace ospreystair::forwarding

#endif
