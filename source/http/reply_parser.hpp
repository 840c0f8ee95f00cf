// A parser of replies that keeps fields and body in buffers that it uses again.

#ifndef OSPREYSTAIR_HTTP_REPLY_PARSER_HPP
#define OSPREYSTAIR_HTTP_REPLY_PARSER_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "http/asio.hpp"

namespace ospreystair::http
{

/// Beast's parser with a sink of its own: a query over many shards brings a reply from each, and a
/// message object with a node for each field was a fifth of the processor time of a part.
class reply_parser : public beast::http::basic_parser<false>
{
public:
    /// Names and values point into the parser until its next reply.
    struct reply_field
    {
        std::string_view name;
        std::string_view value;
    };

    unsigned status() const { return m_status; }
    std::size_t field_count() const { return m_places.size(); }
    reply_field field_at(std::size_t index) const;
    /// Value of a field without regard to case; empty when there is none.
    std::string_view find(std::string_view name) const;
    std::string take_body() { return std::move(m_body); }

private:
    struct field_place
    {
        std::uint32_t name_at = 0;
        std::uint32_t name_size = 0;
        std::uint32_t value_at = 0;
        std::uint32_t value_size = 0;
    };

    void on_request_impl(beast::http::verb method, beast::string_view method_text,
                         beast::string_view target, int version, beast::error_code& code) override;
    void on_response_impl(int status, beast::string_view reason, int version,
                          beast::error_code& code) override;
    void on_field_impl(beast::http::field name, beast::string_view name_text,
                       beast::string_view value, beast::error_code& code) override;
    void on_header_impl(beast::error_code& code) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                           beast::error_code& code) override;
    std::size_t on_body_impl(beast::string_view body, beast::error_code& code) override;
    void on_chunk_header_impl(std::uint64_t size, beast::string_view extensions,
                              beast::error_code& code) override;
    std::size_t on_chunk_body_impl(std::uint64_t remain, beast::string_view body,
                                   beast::error_code& code) override;
    void on_finish_impl(beast::error_code& code) override;

    unsigned m_status = 0;
    // Names and values of all fields, one after the other.
    std::string m_text;
    std::vector<field_place> m_places;
    std::string m_body;
};

} // namespace ospreystair::http

#endif
