// A hash by which equal contents are recognised on different VMs.

#ifndef OSPREYSTAIR_BASE_FINGERPRINT_HPP
#define OSPREYSTAIR_BASE_FINGERPRINT_HPP

#include <compare>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

namespace ospreystair::base
{

/// 128 bits, the same on all VMs and in all releases.
struct fingerprint
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const fingerprint& other) const = default;

    /// Hashes texts in order. The boundaries between them count.
    static fingerprint of(std::initializer_list<std::string_view> texts);
    /// Parses what `to_string` returns; empty for anything else.
    static std::optional<fingerprint> parse(std::string_view text);
};

/// 32 hexadecimal digits.
std::string to_string(const fingerprint& value);

} // namespace ospreystair::base

template<>
struct std::hash<ospreystair::base::fingerprint>
{
    std::size_t operator()(const ospreystair::base::fingerprint& value) const noexcept
    {
        return value.high ^ value.low;
    }
};

#endif
