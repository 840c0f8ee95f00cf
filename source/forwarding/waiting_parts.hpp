// Parts of requests that wait for a connection to the replicas of one service. The most urgent go
// first; among equally urgent ones, connections are shared between teams. Answers bursts of one
// team, whose parts would otherwise fill every connection before those of the others.

#ifndef OSPREYSTAIR_FORWARDING_WAITING_PARTS_HPP
#define OSPREYSTAIR_FORWARDING_WAITING_PARTS_HPP

#include <compare>
#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "base/fair_order.hpp"

namespace ospreystair::forwarding
{

/// Lower values go first. The team's priority goes before that of the route.
struct urgency
{
    int team_priority = 0;
    int route_priority = 0;

    auto operator<=>(const urgency&) const = default;
};

/// Not thread-safe.
template<class Run>
class waiting_parts
{
public:
    struct entry
    {
        std::weak_ptr<Run> run;
        std::size_t part = 0;
        urgency rank;
        /// Name of the team; empty for requests without one, which share one turn.
        std::string team;
    };

    bool is_empty() const { return m_classes.empty(); }

    void add(entry item)
    {
        if (m_size >= prune_threshold)
            prune();
        parts_of(item).push_back(std::move(item));
        ++m_size;
    }

    /// Returns the part whose turn it is; empty when none waits.
    std::optional<entry> take()
    {
        if (m_classes.empty())
            return std::nullopt;
        const auto first = m_classes.begin();
        rank_class& parts = first->second;
        const std::string team = *parts.order.next();
        std::deque<entry>& queue = parts.by_team.at(team);
        parts.order.record_served(team, part_cost);
        entry result = std::move(queue.front());
        queue.pop_front();
        --m_size;
        if (queue.empty())
            remove_team(parts, team);
        if (parts.by_team.empty())
            m_classes.erase(first);
        return result;
    }

    /// Puts a part back, first in its team, that was taken and found no connection.
    void put_back(entry item)
    {
        const bool has_taken_turn = m_classes.contains(item.rank);
        std::deque<entry>& queue = parts_of(item);
        if (has_taken_turn)
            m_classes.at(item.rank).order.refund(item.team, part_cost);
        queue.push_front(std::move(item));
        ++m_size;
    }

private:
    struct rank_class
    {
        // Invariant: holds the teams that wait in `order`, each with a part at least.
        std::map<std::string, std::deque<entry>> by_team;
        base::fair_order<std::string> order;
    };

    // Number of parts at which those of answered requests are removed before another is added.
    static constexpr std::size_t prune_threshold = 32;
    static constexpr double part_cost = 1;

    std::deque<entry>& parts_of(const entry& item)
    {
        rank_class& parts = m_classes[item.rank];
        parts.order.join(item.team);
        return parts.by_team[item.team];
    }

    static void remove_team(rank_class& parts, const std::string& team)
    {
        parts.order.leave(team);
        parts.by_team.erase(team);
    }

    // Removes the parts of requests that are gone.
    void prune()
    {
        for (auto& [rank, parts] : m_classes)
            for (auto each = parts.by_team.begin(); each != parts.by_team.end();)
            {
                auto& [team, queue] = *each++;
                m_size -=
                    std::erase_if(queue, [](const entry& item) { return item.run.expired(); });
                if (queue.empty())
                    remove_team(parts, std::string(team));
            }
        std::erase_if(m_classes, [](const auto& each) { return each.second.by_team.empty(); });
    }

    // Most urgent first.
    std::map<urgency, rank_class> m_classes;
    // Parts in all queues.
    std::size_t m_size = 0;
};

} // namespace ospreystair::forwarding

#endif
