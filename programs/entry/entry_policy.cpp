// Least loaded of two random replicas.

#include "programs/entry/entry_policy.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace ospreystair::entry
{

entry_policy::entry_policy(view_holder& views, std::uint64_t seed)
    : m_views(views), m_random_state(seed)
{
}

std::uint64_t entry_policy::in_flight(const std::string& replica_name) const
{
    return m_in_flight.find(replica_name).value_or(0);
}

const configuration::replica* entry_policy::choose(const query::pinned_snapshot& snapshot,
                                                   const std::string& shard,
                                                   const std::vector<std::string>& tried,
                                                   base::error& reason)
{
    const auto view = m_views.current();
    std::vector<const configuration::replica*> candidates;
    for (const configuration::replica& item : snapshot.replicas(shard))
        if (!view->draining.contains(item.name) &&
            std::find(tried.begin(), tried.end(), item.name) == tried.end())
            candidates.push_back(&item);
    if (candidates.empty())
    {
        base::fail(
            reason, base::error_kind::unreachable,
            fmt::format("shard \"{}\" has no usable replica; add one with \"create replica\"",
                        shard));
        return nullptr;
    }
    const std::uint64_t random = base::mix_bits(m_random_state.fetch_add(1));
    const auto* first = candidates[random % candidates.size()];
    const auto* second = candidates[(random >> 32) % candidates.size()];
    return in_flight(second->name) * first->slots < in_flight(first->name) * second->slots ? second
                                                                                           : first;
}

void entry_policy::begin(const configuration::replica& target)
{
    m_in_flight.update(
        target.name, [] { return std::uint64_t{0}; }, [](std::uint64_t& count) { ++count; });
}

void entry_policy::finish(const configuration::service&, const configuration::replica& target,
                          const query::sub_reply& reply, base::duration)
{
    m_in_flight.update(
        target.name, [] { return std::uint64_t{1}; }, [](std::uint64_t& count) { --count; });
    if (reply.is_draining)
        m_views.mark_draining(target.name, std::chrono::steady_clock::now());
}

std::optional<base::duration> entry_policy::hedge_delay(const configuration::service&)
{
    return std::nullopt;
}

bool entry_policy::take_hedge(const configuration::service&)
{
    return false;
}

bool entry_policy::take_retry(const configuration::service&, const query::sub_reply& reply)
{
    return reply.result != query::sub_result::cancelled &&
           reply.result != query::sub_result::timeout;
}

void entry_policy::note_sub_request(const configuration::service&) {}

} // namespace ospreystair::entry
