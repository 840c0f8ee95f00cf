// A text hash that, unlike std::hash, has the same result on every VM and in every release.

#ifndef OSPREYSTAIR_BASE_HASH_HPP
#define OSPREYSTAIR_BASE_HASH_HPP

#include <cstdint>
#include <string_view>

namespace ospreystair::base
{

/// FNV-1a with a final bit mix. All VMs must compute the same hash, because it determines where a
/// claim is stored and how VMs are ranked.
constexpr std::uint64_t stable_hash(std::string_view text)
{
    std::uint64_t hash = 0xcbf29ce484222325ULL;
    for (const char character : text)
    {
        hash ^= static_cast<unsigned char>(character);
        hash *= 0x100000001b3ULL;
    }
    hash ^= hash >> 32;
    hash *= 0x9e3779b97f4a7c15ULL;
    return hash ^ (hash >> 29);
}

} // namespace ospreystair::base

#endif
