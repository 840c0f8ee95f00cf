// Path and query parameters of a request target.

#ifndef OSPREYSTAIR_HTTP_TARGET_HPP
#define OSPREYSTAIR_HTTP_TARGET_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <fmt/format.h>

#include "base/number.hpp"

namespace ospreystair::http
{

/// Returns the path, without the query.
inline std::string_view find_path(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

/// Returns the value of a query parameter without percent-decoding; absent when there is none.
inline std::optional<std::string_view> find_parameter(std::string_view target,
                                                      std::string_view name)
{
    const std::size_t question = target.find('?');
    if (question == std::string_view::npos)
        return std::nullopt;
    std::string_view remaining = target.substr(question + 1);
    while (!remaining.empty())
    {
        const std::size_t end = remaining.find('&');
        const std::string_view pair = remaining.substr(0, end);
        if (pair.starts_with(name) && pair.size() > name.size() && pair[name.size()] == '=')
            return pair.substr(name.size() + 1);
        remaining = end == std::string_view::npos ? std::string_view{} : remaining.substr(end + 1);
    }
    return std::nullopt;
}

/// Returns the text with all bytes percent-encoded but the unreserved ones (RFC 3986, 2.3) and
/// those of `unescaped`. Without these, it can stand in a segment of a path or as the value of a
/// parameter.
inline std::string percent_encode(std::string_view text, std::string_view unescaped = {})
{
    std::string result;
    for (const char character : text)
    {
        const auto byte = static_cast<unsigned char>(character);
        const bool is_unreserved =
            (byte >= '0' && byte <= '9') || (byte >= 'a' && byte <= 'z') ||
            (byte >= 'A' && byte <= 'Z') ||
            std::string_view("-._~").find(character) != std::string_view::npos;
        if (is_unreserved || unescaped.find(character) != std::string_view::npos)
            result += character;
        else
            result += fmt::format("%{:02X}", byte);
    }
    return result;
}

/// Returns the value of a numeric parameter; absent when it is missing or not an unsigned integer.
inline std::optional<std::uint64_t> find_number(std::string_view target, std::string_view name)
{
    const auto text = find_parameter(target, name);
    return text ? base::parse_number<std::uint64_t>(*text) : std::nullopt;
}

} // namespace ospreystair::http

#endif
