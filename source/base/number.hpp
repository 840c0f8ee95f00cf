// Numbers in texts from outside.

#ifndef OSPREYSTAIR_BASE_NUMBER_HPP
#define OSPREYSTAIR_BASE_NUMBER_HPP

#include <charconv>
#include <cmath>
#include <cstdint>
#include <optional>
#include <string_view>
#include <system_error>

namespace ospreystair::base
{

/// Returns the number that makes up the whole text; empty when it is none or out of range.
template<class Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number value{};
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return value;
}

/// Like `parse_number`, for hexadecimal digits.
inline std::optional<std::uint64_t> parse_hexadecimal(std::string_view text)
{
    constexpr int base = 16;
    std::uint64_t value = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, base);
    if (text.empty() || parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    return value;
}

/// Returns the finite number of at least zero that makes up the whole text; empty when it is none.
inline std::optional<double> parse_amount(std::string_view text)
{
    const auto value = parse_number<double>(text);
    return value && std::isfinite(*value) && *value >= 0 ? value : std::nullopt;
}

} // namespace ospreystair::base

#endif
