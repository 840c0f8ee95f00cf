// Decides whose turn it is among flows that wait for the same room: start-time fair queueing, so
// that a flow that asks for many times its share takes nothing from the others.

#ifndef OSPREYSTAIR_BASE_FAIR_ORDER_HPP
#define OSPREYSTAIR_BASE_FAIR_ORDER_HPP

#include <algorithm>
#include <map>
#include <optional>

namespace ospreystair::base
{

/// Orders flows by their virtual time: what each has been served so far. Not thread-safe.
template<class Flow>
class fair_order
{
public:
    /// Records that the flow waits. A flow that waits already keeps its place.
    void join(const Flow& flow)
    {
        const auto [added, is_new] = m_waiting.try_emplace(flow, m_last_served);
        const auto departed = m_departed.find(flow);
        if (!is_new || departed == m_departed.end())
            return;
        added->second = std::max(m_last_served, departed->second);
        m_departed.erase(departed);
    }

    /// Records that the flow waits no more.
    void leave(const Flow& flow)
    {
        // Flows up to this virtual time would be treated like new ones, so they are not kept.
        std::erase_if(m_departed,
                      [this](const auto& each) { return each.second <= m_last_served; });
        const auto found = m_waiting.find(flow);
        if (found == m_waiting.end())
            return;
        if (found->second > m_last_served)
            m_departed[flow] = found->second;
        m_waiting.erase(found);
    }

    /// Returns the waiting flow that has been served least among those for which `is_eligible`
    /// holds; empty when there is none.
    template<class Predicate>
    std::optional<Flow> next(Predicate is_eligible) const
    {
        auto best = m_waiting.end();
        for (auto each = m_waiting.begin(); each != m_waiting.end(); ++each)
            if ((best == m_waiting.end() || each->second < best->second) &&
                is_eligible(each->first))
                best = each;
        return best == m_waiting.end() ? std::nullopt : std::optional(best->first);
    }
    std::optional<Flow> next() const
    {
        return next([](const Flow&) { return true; });
    }

    /// Records that a waiting flow is served. `cost` is the work divided by the flow's weight.
    void record_served(const Flow& flow, double cost)
    {
        double& virtual_time = m_waiting.at(flow);
        m_last_served = std::max(m_last_served, virtual_time);
        virtual_time += cost;
    }

    /// Takes back a cost whose work was not done; the flow must wait.
    void refund(const Flow& flow, double cost) { m_waiting.at(flow) -= cost; }

private:
    // By flow, its virtual time.
    std::map<Flow, double> m_waiting;
    // Flows that do not wait, so that a flow gains no turn by leaving and coming back.
    std::map<Flow, double> m_departed;
    // Virtual time of the flow served last; new flows start from it.
    double m_last_served = 0;
};

} // namespace ospreystair::base

#endif
