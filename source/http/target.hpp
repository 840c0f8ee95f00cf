// Path and query parameters of a request target.

#ifndef OSPREYSTAIR_HTTP_TARGET_HPP
#define OSPREYSTAIR_HTTP_TARGET_HPP

#include <cstdint>
#include <optional>
#include <string_view>

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

/// Returns the value of a numeric parameter; absent when it is missing or not an unsigned integer.
inline std::optional<std::uint64_t> find_number(std::string_view target, std::string_view name)
{
    const auto text = find_parameter(target, name);
    return text ? base::parse_number<std::uint64_t>(*text) : std::nullopt;
}

} // namespace ospreystair::http

#endif
