// Implements the conditional changes of versioned objects.

#include "standins/platform/object_table.hpp"

namespace ospreystair::standins
{

const objects::stored_object* object_table::find(const std::string& key) const
{
    const auto position = m_objects.find(key);
    return position == m_objects.end() ? nullptr : &position->second;
}

std::optional<std::uint64_t> object_table::write(const std::string& key, std::string value,
                                                 std::uint64_t expected_version)
{
    const auto position = m_objects.find(key);
    const std::uint64_t version = position == m_objects.end() ? 0 : position->second.version;
    if (version != expected_version)
        return std::nullopt;
    std::uint64_t last_version = version;
    if (const auto deleted = m_deleted_versions.find(key); deleted != m_deleted_versions.end())
    {
        last_version = deleted->second;
        m_deleted_versions.erase(deleted);
    }
    m_objects[key] = {std::move(value), last_version + 1};
    return last_version + 1;
}

bool object_table::erase(const std::string& key, std::uint64_t expected_version)
{
    const auto position = m_objects.find(key);
    if (position == m_objects.end() || position->second.version != expected_version)
        return false;
    m_deleted_versions[key] = expected_version;
    m_objects.erase(position);
    return true;
}

std::vector<objects::listed_object> object_table::list(const std::string& prefix) const
{
    std::vector<objects::listed_object> result;
    for (auto position = m_objects.lower_bound(prefix);
         position != m_objects.end() && position->first.starts_with(prefix); ++position)
        result.push_back({position->first, position->second.version});
    return result;
}

} // namespace ospreystair::standins
