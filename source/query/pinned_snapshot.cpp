// Pins an index version.

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
        result.m_index_version = index->second.current;
        result.m_shards = index->second.versions.at(index->second.current);
    }
    else
    {
        for (const configuration::shard& part : result.m_service->shards)
            result.m_shards.push_back(part.name);
    }
    if (result.m_shards.empty())
        return base::fail(reason, base::error_kind::invalid_argument,
                          fmt::format("service \"{}\" has no shards; add one with \"create shard\"",
                                      service_name));
    result.m_view = std::move(view);
    return result;
}

const std::vector<configuration::replica>& pinned_snapshot::replicas(const std::string& shard) const
{
    static const std::vector<configuration::replica> none;
    const configuration::shard* part = m_service->find_shard(shard);
    return part == nullptr ? none : part->replicas;
}

} // namespace ospreystair::query
