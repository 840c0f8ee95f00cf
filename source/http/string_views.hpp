// Conversions between std::string_view and Beast's string view.

#ifndef OSPREYSTAIR_HTTP_STRING_VIEWS_HPP
#define OSPREYSTAIR_HTTP_STRING_VIEWS_HPP

#include <string_view>

#include "http/asio.hpp"

namespace ospreystair::http
{

inline beast::string_view to_beast(std::string_view text)
{
    return {text.data(), text.size()};
}

inline std::string_view to_view(beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace ospreystair::http

#endif
