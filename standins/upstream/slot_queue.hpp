// Admission of requests to a replica: which ones run, which wait and which are refused.

#ifndef OSPREYSTAIR_STANDINS_UPSTREAM_SLOT_QUEUE_HPP
#define OSPREYSTAIR_STANDINS_UPSTREAM_SLOT_QUEUE_HPP

#include <algorithm>
#include <cassert>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace ospreystair::standin_upstream
{

/// What happens to a request on arrival.
enum class admission
{
    start,
    wait,
    refuse
};

/// Runs at most `slots` requests; at most `queue` more wait and start in order of arrival. Not
/// thread-safe.
class slot_queue
{
public:
    slot_queue(std::size_t slots, std::size_t queue) : m_slots(slots), m_queue(queue) {}

    /// Admits the request `id`. Each `start` must be paired with one release().
    admission admit(std::uint64_t id)
    {
        if (m_running < m_slots)
        {
            ++m_running;
            return admission::start;
        }
        if (m_waiting.size() >= m_queue)
            return admission::refuse;
        m_waiting.push_back(id);
        return admission::wait;
    }

    /// Ends one running request. Returns the waiting request that starts instead, if any.
    std::optional<std::uint64_t> release()
    {
        assert(m_running > 0);
        --m_running;
        return start_next();
    }

    /// Starts a waiting request if a slot is free, for example after the number of slots was
    /// raised.
    std::optional<std::uint64_t> start_next()
    {
        if (m_waiting.empty() || m_running >= m_slots)
            return std::nullopt;
        const std::uint64_t next = m_waiting.front();
        m_waiting.pop_front();
        ++m_running;
        return next;
    }

    /// Removes a waiting request that was cancelled or expired; returns whether it was waiting.
    bool remove_waiting(std::uint64_t id)
    {
        const auto position = std::find(m_waiting.begin(), m_waiting.end(), id);
        if (position == m_waiting.end())
            return false;
        m_waiting.erase(position);
        return true;
    }

    bool is_waiting(std::uint64_t id) const
    {
        return std::find(m_waiting.begin(), m_waiting.end(), id) != m_waiting.end();
    }

    /// Changes the limits. Running requests above a lower limit are completed.
    void resize(std::size_t slots, std::size_t queue)
    {
        m_slots = slots;
        m_queue = queue;
    }

    std::size_t running() const { return m_running; }
    std::size_t waiting() const { return m_waiting.size(); }

private:
    std::size_t m_slots;
    std::size_t m_queue;
    std::size_t m_running = 0;
    // Contains no id twice. No request waits while a slot is free, except right after resize().
    std::deque<std::uint64_t> m_waiting;
};

} // namespace ospreystair::standin_upstream

#endif
