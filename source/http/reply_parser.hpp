// HTTP reply parser that stores header fields and body in contiguous buffers.

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

/// Beast's parser without its message type: a query over many shards receives a reply from each,
/// and a message object, which allocates a node for each field, took a fifth of the processor time
/// of a sub-request. A reply that continues another one which was cut off is malformed.
class reply_parser : public beast::http::basic_parser<false>
{
    struct field_position
    {
        std::uint32_t name_offset = 0;
        std::uint32_t name_size = 0;
        std::uint32_t value_offset = 0;
        std::uint32_t value_size = 0;
    };

public:
    /// Name and value point into the parser; valid until the parser is destroyed.
    struct reply_field
    {
        std::string_view name;
        std::string_view value;
    };

    /// Storage for the fields of a reply, which the next reply on a connection uses again.
    class field_storage
    {
    private:
        friend reply_parser;

        std::string m_text;
        std::vector<field_position> m_positions;
    };

    reply_parser() = default;
    explicit reply_parser(field_storage storage)
        : m_field_text(std::move(storage.m_text)), m_fields(std::move(storage.m_positions))
    {
    }

    /// Ends the use of the fields. Storage that was enlarged for a long reply is not kept.
    field_storage take_storage();

    /// Lets fields repeat this text, which reads like a status line: the id of the request that
    /// awaits the reply.
    void allow_echo(std::string id) { m_allowed_echo = std::move(id); }

    unsigned status() const { return m_status; }
    std::size_t field_count() const { return m_fields.size(); }
    reply_field field_at(std::size_t index) const;
    /// Returns the value of a field, whose name is compared case-insensitively; empty when there is
    /// none.
    std::string_view find(std::string_view name) const;
    std::string_view body() const { return m_body; }
    std::string take_body() { return std::move(m_body); }

private:
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
    // Empty when no field may contain a status line.
    std::string m_allowed_echo;
    // Names and values of all fields, concatenated.
    std::string m_field_text;
    std::vector<field_position> m_fields;
    std::string m_body;
};

} // namespace ospreystair::http

#endif
