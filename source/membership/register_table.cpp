// Merge rule of versioned registers.

#include "membership/register_table.hpp"

namespace ospreystair::membership
{

register_table::merge_result register_table::merge(const protocol::register_item& item)
{
    if (item.key.empty() || item.key.size() > max_key_bytes || item.version <= version(item.key))
        return merge_result::ignored;
    if (!item.value)
        return merge_result::needs_fetch;
    if (item.value->size() > max_value_bytes ||
        (m_entries.size() >= max_registers && !m_entries.contains(item.key)))
        return merge_result::ignored;
    m_entries[item.key] = entry{item.version, *item.value};
    return merge_result::adopted;
}

std::uint64_t register_table::version(const std::string& key) const
{
    const entry* const stored = find(key);
    return stored ? stored->version : 0;
}

const register_table::entry* register_table::find(const std::string& key) const
{
    const auto position = m_entries.find(key);
    return position == m_entries.end() ? nullptr : &position->second;
}

std::vector<protocol::register_item>
register_table::newer_than(const std::map<std::string, std::uint64_t>& known_versions) const
{
    std::vector<protocol::register_item> result;
    for (const auto& [key, stored] : m_entries)
    {
        const auto position = known_versions.find(key);
        if (position == known_versions.end() || position->second < stored.version)
            result.push_back({key, stored.version, stored.value});
    }
    return result;
}

std::size_t register_table::erase_if(
    const std::function<bool(const std::string& key, const entry& value)>& is_obsolete)
{
    return std::erase_if(m_entries,
                         [&](const auto& item) { return is_obsolete(item.first, item.second); });
}

} // namespace ospreystair::membership
