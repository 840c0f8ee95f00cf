// Expected processing times of gatherers.

#include "forwarding/gather_placement.hpp"

#include <algorithm>
#include <utility>

namespace ospreystair::forwarding
{

namespace
{

// A query mostly waits for replicas; while it does, this share of its processing slows down
// another one.
constexpr double overlap = 0.25;

} // namespace

std::set<std::string> find_gatherers(const std::vector<gatherer>& vms)
{
    constexpr double min_ratio = 2;
    std::map<std::string, double> smallest;
    for (const gatherer& item : vms)
    {
        if (item.core_share <= 0)
            continue;
        const auto known = smallest.try_emplace(item.data_centre, item.core_share).first;
        known->second = std::min(known->second, item.core_share);
    }
    std::set<std::string> result;
    for (const gatherer& item : vms)
        if (item.core_share > 0 && item.core_share >= min_ratio * smallest[item.data_centre])
            result.insert(item.vm);
    return result;
}

void gather_placement::adopt(const gatherer& own, const std::vector<gatherer>& vms)
{
    m_own_share = own.core_share;
    const std::set<std::string> gatherers = find_gatherers(vms);
    std::map<std::string, candidate> adopted;
    for (const gatherer& item : vms)
    {
        if (item.vm == own.vm || item.data_centre != own.data_centre || own.core_share <= 0 ||
            item.core_share <= own.core_share || !gatherers.contains(item.vm))
            continue;
        const auto known = m_candidates.find(item.vm);
        candidate& entry = adopted[item.vm];
        if (known != m_candidates.end())
            entry = known->second;
        entry.core_share = item.core_share;
    }
    m_candidates = std::move(adopted);
}

base::duration gather_placement::processing_time(std::size_t parts, double core_share,
                                                 double running)
{
    const double factor = static_cast<double>(parts) / core_share * (1 + overlap * running);
    return std::chrono::duration_cast<base::duration>(cost_per_part * factor);
}

double gather_placement::expected_running(const candidate& item, base::time_point now)
{
    const std::uint32_t reported =
        now - item.reported_at < load_lifetime ? item.reported : std::uint32_t{0};
    return std::max(reported, item.sent);
}

std::optional<std::string> gather_placement::choose(std::size_t parts, base::time_point now) const
{
    if (parts < min_parts || m_own_share <= 0)
        return std::nullopt;
    base::duration best = processing_time(parts, m_own_share, m_running_here);
    std::optional<std::string> result;
    for (const auto& [vm, item] : m_candidates)
    {
        if (now < item.avoid_until || item.losses > 0)
            continue;
        const base::duration expected =
            handover_time + processing_time(parts, item.core_share, expected_running(item, now));
        if (expected >= best)
            continue;
        best = expected;
        result = vm;
    }
    return result;
}

void gather_placement::record_sent(const std::string& vm)
{
    const auto found = m_candidates.find(vm);
    if (found != m_candidates.end())
        ++found->second.sent;
}

gather_placement::candidate* gather_placement::end_query(const std::string& vm)
{
    const auto found = m_candidates.find(vm);
    if (found == m_candidates.end())
        return nullptr;
    candidate& item = found->second;
    item.sent -= item.sent > 0 ? 1 : 0;
    return &item;
}

void gather_placement::record_answer(const std::string& vm, std::uint32_t running,
                                     base::time_point now)
{
    candidate* const item = end_query(vm);
    if (!item)
        return;
    item->reported = running;
    item->reported_at = now;
    item->losses = 0;
}

void gather_placement::record_refusal(const std::string& vm, base::time_point now)
{
    if (candidate* const item = end_query(vm))
        item->avoid_until = std::max(item->avoid_until, now + refusal_pause);
}

void gather_placement::record_loss(const std::string& vm, base::time_point now)
{
    if (candidate* const item = end_query(vm))
        count_loss(*item, now);
}

void gather_placement::count_loss(candidate& item, base::time_point now)
{
    // Queries that were sent before the first loss was noticed say nothing new.
    if (now < item.avoid_until && item.losses > 0)
        return;
    constexpr unsigned max_doublings = 3;
    const base::duration pause = std::min<base::duration>(
        max_loss_pause, initial_loss_pause * (1U << std::min(item.losses, max_doublings)));
    item.avoid_until = std::max(item.avoid_until, now + pause);
    ++item.losses;
}

std::optional<std::string> gather_placement::start_probe(base::time_point now)
{
    for (auto& [vm, item] : m_candidates)
    {
        if (item.losses == 0 || item.is_probed || now < item.avoid_until)
            continue;
        item.is_probed = true;
        return vm;
    }
    return std::nullopt;
}

void gather_placement::record_probed(const std::string& vm, bool has_answered, base::time_point now)
{
    const auto found = m_candidates.find(vm);
    if (found == m_candidates.end())
        return;
    found->second.is_probed = false;
    if (has_answered)
        found->second.losses = 0;
    else
        count_loss(found->second, now);
}

void gather_placement::record_cancelled(const std::string& vm)
{
    end_query(vm);
}

} // namespace ospreystair::forwarding
