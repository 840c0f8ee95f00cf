// Object table of the platform stand-in: versioned values with conditional changes.

#ifndef OSPREYSTAIR_STANDINS_PLATFORM_OBJECT_TABLE_HPP
#define OSPREYSTAIR_STANDINS_PLATFORM_OBJECT_TABLE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "objects/object_store.hpp"

namespace ospreystair::standins
{

/// Versioned objects in memory. Not thread-safe.
class object_table
{
public:
    const objects::stored_object* find(const std::string& key) const;

    /// Stores the value when the object has `expected_version` (0: does not exist) and returns the
    /// new version; empty on conflict.
    std::optional<std::uint64_t> write(const std::string& key, std::string value,
                                       std::uint64_t expected_version);

    /// Removes the object when it has `expected_version`; returns whether it did.
    bool erase(const std::string& key, std::uint64_t expected_version);

    std::vector<objects::listed_object> list(const std::string& prefix) const;

private:
    std::map<std::string, objects::stored_object> m_objects;
    // Last versions of deleted objects. A recreated object continues from there, so that no version
    // of a key is used twice.
    std::map<std::string, std::uint64_t> m_deleted_versions;
};

} // namespace ospreystair::standins

#endif
