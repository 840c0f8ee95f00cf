// Searches for "HTTP/1.x nnn".

#include "http/status_line.hpp"

#include <algorithm>

namespace ospreystair::http
{

namespace
{

bool is_digit(char character)
{
    return character >= '0' && character <= '9';
}

} // namespace

bool contains_status_line(std::string_view text)
{
    constexpr std::string_view protocol = "HTTP/1.";
    // After the protocol: the minor version, a space and the status.
    constexpr std::string_view pattern = "0 000";
    for (auto found = text.find(protocol); found != std::string_view::npos;
         found = text.find(protocol, found + 1))
    {
        const std::string_view rest = text.substr(found + protocol.size(), pattern.size());
        const bool is_status =
            rest.size() == pattern.size() &&
            std::equal(rest.begin(), rest.end(), pattern.begin(),
                       [](char actual, char expected)
                       { return expected == ' ' ? actual == ' ' : is_digit(actual); });
        if (is_status)
            return true;
    }
    return false;
}

bool contains_status_line(std::string_view text, std::string_view echo)
{
    while (!echo.empty())
    {
        const std::size_t found = text.find(echo);
        if (found == std::string_view::npos)
            break;
        if (contains_status_line(text.substr(0, found)))
            return true;
        text.remove_prefix(found + echo.size());
    }
    return contains_status_line(text);
}

} // namespace ospreystair::http
