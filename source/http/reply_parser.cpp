// Callbacks of Beast's parser.

#include "http/reply_parser.hpp"

namespace ospreystair::http
{

reply_parser::reply_field reply_parser::field_at(std::size_t index) const
{
    const field_place& place = m_places[index];
    const std::string_view text = m_text;
    return {text.substr(place.name_at, place.name_size),
            text.substr(place.value_at, place.value_size)};
}

std::string_view reply_parser::find(std::string_view name) const
{
    for (std::size_t index = 0; index < m_places.size(); ++index)
    {
        const reply_field item = field_at(index);
        if (item.name.size() == name.size() &&
            beast::iequals({item.name.data(), item.name.size()}, {name.data(), name.size()}))
            return item.value;
    }
    return {};
}

void reply_parser::on_request_impl(beast::http::verb, beast::string_view, beast::string_view, int,
                                   beast::error_code&)
{
}

void reply_parser::on_response_impl(int status, beast::string_view, int, beast::error_code& code)
{
    code = {};
    m_status = static_cast<unsigned>(status);
}

void reply_parser::on_field_impl(beast::http::field, beast::string_view name_text,
                                 beast::string_view value, beast::error_code& code)
{
    code = {};
    field_place place;
    place.name_at = static_cast<std::uint32_t>(m_text.size());
    place.name_size = static_cast<std::uint32_t>(name_text.size());
    m_text.append(name_text.data(), name_text.size());
    place.value_at = static_cast<std::uint32_t>(m_text.size());
    place.value_size = static_cast<std::uint32_t>(value.size());
    m_text.append(value.data(), value.size());
    m_places.push_back(place);
}

void reply_parser::on_header_impl(beast::error_code& code)
{
    code = {};
}

void reply_parser::on_body_init_impl(const boost::optional<std::uint64_t>& length,
                                     beast::error_code& code)
{
    code = {};
    constexpr std::uint64_t most_reserved = 64U << 10U;
    if (length && *length <= most_reserved)
        m_body.reserve(static_cast<std::size_t>(*length));
}

std::size_t reply_parser::on_body_impl(beast::string_view body, beast::error_code& code)
{
    code = {};
    m_body.append(body.data(), body.size());
    return body.size();
}

void reply_parser::on_chunk_header_impl(std::uint64_t, beast::string_view, beast::error_code& code)
{
    code = {};
}

std::size_t reply_parser::on_chunk_body_impl(std::uint64_t, beast::string_view body,
                                             beast::error_code& code)
{
    return on_body_impl(body, code);
}

void reply_parser::on_finish_impl(beast::error_code& code)
{
    code = {};
}

} // namespace ospreystair::http
