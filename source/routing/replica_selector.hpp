// Chooses the replica of a shard for one sub-request.

#ifndef OSPREYSTAIR_ROUTING_REPLICA_SELECTOR_HPP
#define OSPREYSTAIR_ROUTING_REPLICA_SELECTOR_HPP

#include <algorithm>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <utility>

#include <boost/container/small_vector.hpp>
#include <fmt/format.h>

#include "base/random.hpp"
#include "routing/replica_tracker.hpp"

namespace ospreystair::routing
{

/// Chooses the less loaded of two random usable replicas (power of two choices). Thread-safe as
/// long as each thread passes its own random source.
template<base::clock_source Clock>
class replica_selector
{
public:
    replica_selector(replica_tracker<Clock>& tracker, std::string data_centre)
        : m_tracker(tracker), m_data_centre(std::move(data_centre))
    {
    }

    /// Returns a replica of `shard` that is not in `excluded`; the pointer is into `shard`. The
    /// request must be counted with `replica_tracker::begin`. Threads that choose at the same time
    /// may each get a replica that is due for a probe; the tracker treats the first request as the
    /// probe. Fails with `draining` when all other replicas are draining, and with `unreachable`
    /// when no replica is left to try.
    template<base::random_source Random>
    const configuration::replica* choose(const configuration::shard& shard,
                                         std::span<const std::string> excluded, Random& random,
                                         base::error& reason) const
    {
        candidate_list candidates = find_candidates(shard, excluded);
        if (candidates.empty())
            return refuse(shard, excluded, reason);
        if (const candidate* probe = find_probe(candidates, !excluded.empty()))
            return probe->replica;
        if (candidates.size() == 1)
            return candidates.front().replica;
        remove_avoided(candidates);
        remove_warming_up(candidates, random);
        return less_loaded_of_two(candidates, random).replica;
    }

    /// Returns whether `choose` would find a replica; decides whether a hedge or retry is possible.
    bool has_usable_replica(const configuration::shard& shard,
                            std::span<const std::string> excluded) const
    {
        return !find_candidates(shard, excluded).empty();
    }

private:
    struct candidate
    {
        const configuration::replica* replica = nullptr;
        replica_snapshot state;
    };
    // Inline capacity: most shards have two replicas, the largest has 11.
    using candidate_list = boost::container::small_vector<candidate, 12>;

    template<class Predicate>
    static void remove_if(candidate_list& candidates, Predicate predicate)
    {
        candidates.erase(std::remove_if(candidates.begin(), candidates.end(), predicate),
                         candidates.end());
    }

    static bool contains(std::span<const std::string> names, const std::string& name)
    {
        return std::find(names.begin(), names.end(), name) != names.end();
    }

    candidate_list find_candidates(const configuration::shard& shard,
                                   std::span<const std::string> excluded) const
    {
        candidate_list candidates;
        for (const configuration::replica& replica : shard.replicas)
        {
            const replica_snapshot state = m_tracker.snapshot(replica.name);
            if (!state.is_draining)
                candidates.push_back({&replica, state});
        }
        limit_ejections(candidates);
        remove_if(candidates,
                  [excluded](const candidate& each)
                  {
                      return each.state.is_ejected || each.state.is_limited ||
                             contains(excluded, each.replica->name);
                  });
        return candidates;
    }

    /// Treats the replicas whose ejection ends first as not ejected, so that at most half of the
    /// replicas that are not draining are ejected: when a fault affects all replicas, ejecting them
    /// all would only make the shard unavailable.
    static void limit_ejections(candidate_list& candidates)
    {
        const auto is_ejected = [](const candidate& each)
        {
            return each.state.is_ejected;
        };
        auto count = static_cast<std::size_t>(
            std::count_if(candidates.begin(), candidates.end(), is_ejected));
        for (; count > candidates.size() / 2; --count)
        {
            candidate* earliest = nullptr;
            for (candidate& each : candidates)
                if (is_ejected(each) &&
                    (!earliest || each.state.ejected_until < earliest->state.ejected_until))
                    earliest = &each;
            earliest->state.is_ejected = false;
        }
    }

    /// Returns the replica that the request probes, if one is due. Only a first attempt serves as a
    /// probe, because another replica remains for a hedge or retry; for a later attempt replicas
    /// due for a probe are removed from the candidates as long as others remain.
    static const candidate* find_probe(candidate_list& candidates, bool is_later_attempt)
    {
        const auto is_probe = [](const candidate& each)
        {
            return each.state.is_probe_due;
        };
        const auto position = std::find_if(candidates.begin(), candidates.end(), is_probe);
        if (position == candidates.end())
            return nullptr;
        if (!is_later_attempt)
            return &*position;
        if (!std::all_of(candidates.begin(), candidates.end(), is_probe))
            remove_if(candidates, is_probe);
        return nullptr;
    }

    /// Removes replicas that shed load or report that they drain, as long as others remain.
    static void remove_avoided(candidate_list& candidates)
    {
        const auto is_avoided = [](const candidate& each)
        {
            return each.state.is_shedding || (each.state.report && each.state.report->is_draining);
        };
        if (!std::all_of(candidates.begin(), candidates.end(), is_avoided))
            remove_if(candidates, is_avoided);
    }

    /// Removes each replica that is warming up with a probability of 1 minus its share, as long as
    /// others remain.
    template<base::random_source Random>
    static void remove_warming_up(candidate_list& candidates, Random& random)
    {
        constexpr std::uint64_t resolution = 1'000'000;
        for (std::size_t index = candidates.size(); index-- > 0 && candidates.size() > 1;)
        {
            const double share = candidates[index].state.warm_up_share;
            if (share < 1 && static_cast<double>(random.below(resolution)) >= share * resolution)
                candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(index));
        }
    }

    template<base::random_source Random>
    const candidate& less_loaded_of_two(const candidate_list& candidates, Random& random) const
    {
        const std::size_t first = random.below(candidates.size());
        if (candidates.size() == 1)
            return candidates[first];
        std::size_t second = random.below(candidates.size() - 1);
        if (second >= first)
            ++second;
        return is_better(candidates[second], candidates[first]) ? candidates[second]
                                                                : candidates[first];
    }

    /// Returns whether `left` is the better choice. Compares the load, then latencies that differ
    /// clearly, then whether the replica is in this VM's data centre, then the reported load.
    bool is_better(const candidate& left, const candidate& right) const
    {
        const std::uint64_t left_load = std::uint64_t{left.state.in_flight} * right.state.slots;
        const std::uint64_t right_load = std::uint64_t{right.state.in_flight} * left.state.slots;
        if (left_load != right_load)
            return left_load < right_load;
        if (left.state.latency && right.state.latency)
        {
            // Latencies that differ by less than a factor of 1.5 differ mostly by sampling noise.
            if (*left.state.latency * 3 < *right.state.latency * 2)
                return true;
            if (*right.state.latency * 3 < *left.state.latency * 2)
                return false;
        }
        const bool is_left_local = left.replica->data_centre == m_data_centre;
        const bool is_right_local = right.replica->data_centre == m_data_centre;
        if (is_left_local != is_right_local)
            return is_left_local;
        return reported_load(left) < reported_load(right);
    }

    static double reported_load(const candidate& each)
    {
        if (!each.state.report)
            return 0;
        return static_cast<double>(each.state.report->in_flight + each.state.report->queued) /
               each.state.slots;
    }

    const configuration::replica* refuse(const configuration::shard& shard,
                                         std::span<const std::string> excluded,
                                         base::error& reason) const
    {
        std::size_t draining_count = 0;
        std::size_t ejected_count = 0;
        std::size_t limited_count = 0;
        std::size_t tried_count = 0;
        for (const configuration::replica& replica : shard.replicas)
        {
            const replica_snapshot state = m_tracker.snapshot(replica.name);
            if (contains(excluded, replica.name))
                ++tried_count;
            else if (state.is_draining)
                ++draining_count;
            else if (state.is_limited)
                ++limited_count;
            else
                ++ejected_count;
        }
        const bool is_shard_draining =
            draining_count > 0 && ejected_count == 0 && limited_count == 0;
        base::fail(
            reason, is_shard_draining ? base::error_kind::draining : base::error_kind::unreachable,
            fmt::format("shard {} has no usable replica: {} tried, {} draining, {} at their "
                        "limit, {} ejected after failures; {}",
                        shard.name, tried_count, draining_count, limited_count, ejected_count,
                        is_shard_draining ? "add a replica or end the drain"
                                          : "check the replicas' processes and network"),
            std::chrono::milliseconds{1000});
        return nullptr;
    }

    replica_tracker<Clock>& m_tracker;
    std::string m_data_centre;
};

} // namespace ospreystair::routing

#endif
