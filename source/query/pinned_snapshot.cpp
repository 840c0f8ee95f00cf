// Pins the current index version and finds its shards in the configuration.

#include "query/pinned_snapshot.hpp"

#include <utility>

#include <fmt/format.h>

namespace ospreystair::query
{

std::optional<pinned_snapshot>
pinned_snapshot::create(std::shared_ptr<const configuration::view> view,
                        const std::string& service_name, base::error& reason)
{
    const auto position = view->configuration.services.find(service_name);
    if (position == view->configuration.services.end())
        return base::fail(reason, base::error_kind::not_found,
                          fmt::format("there is no service \"{}\" in configuration version {}; "
                                      "check the name or add it with \"create service\"",
                                      service_name, view->configuration_version));
    pinned_snapshot result;
    result.m_service = &position->second;
    const auto index = view->indexes.find(service_name);
    if (index != view->indexes.end())
    {
        result.m_index_version = index->second.current_version;
        result.m_shards = index->second.versions.at(index->second.current_version);
    }
    else
    {
        for (const configuration::shard& shard : result.m_service->shards)
            result.m_shards.push_back(shard.name);
    }
    if (result.m_shards.empty())
        return base::fail(reason, base::error_kind::invalid_argument,
                          fmt::format("service \"{}\" has no shards; add one with \"create shard\"",
                                      service_name));
    result.find_shard_entries();
    result.m_view = std::move(view);
    return result;
}

void pinned_snapshot::find_shard_entries()
{
    m_shard_entries.reserve(m_shards.size());
    const std::vector<configuration::shard>& configured = m_service->shards;
    for (std::size_t index = 0; index < m_shards.size(); ++index)
    {
        // Index and configuration usually list the shards in the same order. Searching for each of
        // 140 shards would cost more than the rest of create().
        const bool is_at_same_index =
            index < configured.size() && configured[index].name == m_shards[index];
        m_shard_entries.push_back(is_at_same_index ? &configured[index]
                                                   : m_service->find_shard(m_shards[index]));
    }
}

} // namespace ospreystair::query
