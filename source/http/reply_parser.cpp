// Callbacks of Beast's parser, and access to the parsed fields.

#include "http/reply_parser.hpp"

#include "http/status_line.hpp"
#include "http/string_views.hpp"

namespace ospreystair::http
{

reply_parser::reply_field reply_parser::field_at(std::size_t index) const
{
    const field_position& position = m_fields[index];
    const std::string_view text = m_field_text;
    return {text.substr(position.name_offset, position.name_size),
            text.substr(position.value_offset, position.value_size)};
}

std::string_view reply_parser::find(std::string_view name) const
{
    for (std::size_t index = 0; index < m_fields.size(); ++index)
    {
        const reply_field item = field_at(index);
        if (item.name.size() == name.size() &&
            beast::iequals({item.name.data(), item.name.size()}, {name.data(), name.size()}))
            return item.value;
    }
    return {};
}

reply_parser::field_storage reply_parser::take_storage()
{
    constexpr std::size_t max_kept_bytes = 1024;
    field_storage result;
    if (m_field_text.capacity() <= max_kept_bytes)
        result.m_text = std::move(m_field_text);
    if (m_fields.capacity() * sizeof(field_position) <= max_kept_bytes)
        result.m_positions = std::move(m_fields);
    result.m_text.clear();
    result.m_positions.clear();
    m_field_text.clear();
    m_fields.clear();
    return result;
}

void reply_parser::on_request_impl(beast::http::verb, beast::string_view, beast::string_view, int,
                                   beast::error_code&)
{
}

void reply_parser::on_response_impl(int status, beast::string_view reason, int,
                                    beast::error_code& code)
{
    m_status = static_cast<unsigned>(status);
    if (!is_valid_status(m_status))
        code = beast::http::error::bad_status;
    else
        code = contains_status_line(to_view(reason)) ? beast::http::error::bad_reason
                                                     : beast::error_code{};
}

void reply_parser::on_field_impl(beast::http::field, beast::string_view name_text,
                                 beast::string_view value, beast::error_code& code)
{
    code = contains_status_line(to_view(value), m_allowed_echo) ? beast::http::error::bad_value
                                                                : beast::error_code{};
    if (code)
        return;
    field_position position;
    position.name_offset = static_cast<std::uint32_t>(m_field_text.size());
    position.name_size = static_cast<std::uint32_t>(name_text.size());
    m_field_text.append(name_text.data(), name_text.size());
    position.value_offset = static_cast<std::uint32_t>(m_field_text.size());
    position.value_size = static_cast<std::uint32_t>(value.size());
    m_field_text.append(value.data(), value.size());
    m_fields.push_back(position);
}

void reply_parser::on_header_impl(beast::error_code& code)
{
    code = {};
}

void reply_parser::on_body_init_impl(const boost::optional<std::uint64_t>& length,
                                     beast::error_code& code)
{
    code = {};
    constexpr std::uint64_t max_reserved_bytes = 64U << 10U;
    if (length && *length <= max_reserved_bytes)
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
