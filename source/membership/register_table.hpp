// Versioned registers that agents disseminate by gossip.

#ifndef OSPREYSTAIR_MEMBERSHIP_REGISTER_TABLE_HPP
#define OSPREYSTAIR_MEMBERSHIP_REGISTER_TABLE_HPP

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "protocol/datagram.hpp"

namespace ospreystair::membership
{

/// Registers by key. The higher version wins; a version never goes down. Not thread-safe.
class register_table
{
public:
    /// Bounds the memory that peers can make this process use. Well above the target scale of about
    /// 3,200 registers (one drain per replica).
    static constexpr std::size_t max_registers = 16'384;
    static constexpr std::size_t max_key_bytes = 160;
    static constexpr std::size_t max_value_bytes = 64 << 10;

    struct entry
    {
        std::uint64_t version = 0;
        std::string value;

        bool operator==(const entry&) const = default;
    };

    enum class merge_result
    {
        adopted,     ///< The register now has the item's version and value.
        needs_fetch, ///< The item announces a newer version without its value.
        ignored      ///< Not newer, or over a limit.
    };

    merge_result merge(const protocol::register_item& item);

    std::uint64_t version(const std::string& key) const;
    const entry* find(const std::string& key) const;
    /// Returns the registers whose version is above the one in `known_versions`; a missing key
    /// counts as version 0.
    std::vector<protocol::register_item>
    newer_than(const std::map<std::string, std::uint64_t>& known_versions) const;
    /// Removes the registers for which `is_obsolete` returns true. Returns how many.
    std::size_t
    erase_if(const std::function<bool(const std::string& key, const entry& value)>& is_obsolete);

    const std::map<std::string, entry>& entries() const { return m_entries; }

private:
    // At most max_registers.
    std::map<std::string, entry> m_entries;
};

} // namespace ospreystair::membership

#endif
