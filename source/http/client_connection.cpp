// Connecting and exchanges with deadlines.

#include "http/client_connection.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "http/connection_liveness.hpp"
#include "http/status_line.hpp"
#include "http/string_views.hpp"

namespace ospreystair::http
{

namespace
{

// Whether a value stands in the request, too.
bool is_echo(std::string_view value, const request& message)
{
    return std::any_of(message.begin(), message.end(),
                       [value](const auto& item) { return to_view(item.value()) == value; });
}

bool continues_other_reply(const response& reply, const request& message)
{
    return contains_status_line(to_view(reply.reason())) ||
           std::any_of(reply.begin(), reply.end(),
                       [&message](const auto& item)
                       {
                           const std::string_view value = to_view(item.value());
                           return contains_status_line(value) && !is_echo(value, message);
                       });
}

} // namespace

client_connection::client_connection(asio::io_context& context, stray_bytes stray)
    : m_stray(stray), m_stream(asio::make_strand(context)), m_buffer(max_unparsed_bytes)
{
}

awaitable<std::optional<std::shared_ptr<client_connection>>>
client_connection::connect(asio::io_context& context, tcp::endpoint address,
                           std::chrono::steady_clock::time_point deadline, base::error& reason,
                           stray_bytes stray)
{
    std::shared_ptr<client_connection> result(new client_connection(context, stray));
    result->m_address = address;
    const auto connect_on_strand = [result, address,
                                    deadline]() -> awaitable<boost::system::error_code>
    {
        boost::system::error_code code;
        result->m_stream.expires_at(deadline);
        co_await result->m_stream.async_connect(address,
                                                asio::redirect_error(asio::use_awaitable, code));
        if (!code)
        {
            boost::system::error_code ignored;
            result->m_stream.socket().set_option(tcp::no_delay(true), ignored);
            enable_liveness_checks(result->m_stream.socket());
            result->m_stream.expires_never();
        }
        co_return code;
    };
    const boost::system::error_code code = co_await asio::co_spawn(
        result->m_stream.get_executor(), connect_on_strand, asio::use_awaitable);
    if (code)
    {
        reason = result->describe_failure(code, "connect");
        co_return std::nullopt;
    }
    result->m_is_open.store(true);
    co_return result;
}

awaitable<std::optional<response>>
client_connection::exchange(std::shared_ptr<const request> message,
                            std::chrono::steady_clock::time_point deadline,
                            exchange_progress& progress, base::error& reason)
{
    const auto self = shared_from_this();
    const auto run_exchange = [self, message = std::move(message), deadline]
    {
        return self->exchange_on_strand(message, deadline);
    };
    exchange_result result =
        co_await asio::co_spawn(m_stream.get_executor(), run_exchange, asio::use_awaitable);
    progress = result.progress;
    if (!result.reply)
        reason = std::move(result.reason);
    co_return std::move(result.reply);
}

awaitable<client_connection::exchange_result>
client_connection::exchange_on_strand(std::shared_ptr<const request> message,
                                      std::chrono::steady_clock::time_point deadline)
{
    exchange_result result;
    if (!m_is_open.load())
    {
        result.reason = {base::error_kind::unreachable,
                         "the connection is closed; use another replica or try again",
                         {}};
        co_return result;
    }
    // A first reply that came before its request is read, so that a peer that always sends one does
    // not make each connection useless.
    if (m_stray == stray_bytes::refuse && std::exchange(m_is_used, true) && has_unread_bytes())
    {
        close_on_strand();
        result.reason = {base::error_kind::unreachable,
                         "bytes that answer no request have arrived, and the connection was "
                         "closed; use another connection",
                         {}};
        co_return result;
    }
    boost::system::error_code code;
    m_stream.expires_at(deadline);
    // Set before the write, because a failed write may still have delivered bytes.
    result.progress = exchange_progress::sent;
    co_await beast::http::async_write(m_stream, *message,
                                      asio::redirect_error(asio::use_awaitable, code));
    std::string_view operation = "send";
    std::optional<response> reply;
    if (!code)
    {
        operation = "receive";
        reply = co_await read_final_reply(code);
    }
    if (!code && continues_other_reply(*reply, *message))
        code = beast::http::error::bad_value;
    if (code)
    {
        result.reason = describe_failure(code, operation);
        close_on_strand();
        co_return result;
    }
    m_stream.expires_never();
    result.progress = exchange_progress::answered;
    result.reply = std::move(reply);
    // Bytes after the reply belong to no request; a later request would take them for its reply.
    if (!result.reply->keep_alive() || m_buffer.size() != 0)
        close_on_strand();
    co_return result;
}

awaitable<response> client_connection::read_final_reply(boost::system::error_code& code)
{
    constexpr unsigned max_interim_replies = 16;
    for (unsigned count = 0; count <= max_interim_replies; ++count)
    {
        beast::http::response_parser<beast::http::string_body> parser;
        parser.body_limit(max_reply_bytes);
        co_await beast::http::async_read(m_stream, m_buffer, parser,
                                         asio::redirect_error(asio::use_awaitable, code));
        if (!code && !is_valid_status(parser.get().result_int()))
            code = beast::http::error::bad_status;
        // An interim (1xx) reply is followed by the final one.
        if (code || beast::http::to_status_class(parser.get().result_int()) !=
                        beast::http::status_class::informational)
            co_return parser.release();
    }
    code = beast::http::error::bad_status;
    co_return response{};
}

bool client_connection::has_unread_bytes()
{
    char byte = 0;
    boost::system::error_code code;
    m_stream.socket().non_blocking(true, code);
    return m_stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, code) > 0;
}

awaitable<bool> client_connection::is_closed_by_peer()
{
    // A named lambda, because GCC 12 destroys the captures of a temporary in a co_await expression
    // twice.
    const auto check = [self = shared_from_this()]() -> awaitable<bool>
    {
        char byte = 0;
        boost::system::error_code code;
        self->m_stream.socket().non_blocking(true, code);
        self->m_stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, code);
        const bool is_idle = code == asio::error::would_block;
        if (!is_idle)
            self->close_on_strand();
        co_return !is_idle;
    };
    co_return co_await asio::co_spawn(m_stream.get_executor(), check, asio::use_awaitable);
}

void client_connection::close()
{
    m_is_open.store(false);
    m_is_cancelled.store(true);
    asio::post(m_stream.get_executor(), [self = shared_from_this()] { self->close_on_strand(); });
}

void client_connection::close_on_strand()
{
    m_is_open.store(false);
    boost::system::error_code code;
    m_stream.socket().shutdown(tcp::socket::shutdown_both, code);
    m_stream.close();
}

base::error client_connection::describe_failure(boost::system::error_code code,
                                                std::string_view operation) const
{
    const std::string address =
        fmt::format("{}:{}", m_address.address().to_string(), m_address.port());
    if (code == beast::error::timeout)
        return {base::error_kind::timeout,
                fmt::format("{} to {} timed out; allow more time or use another replica", operation,
                            address),
                {}};
    if (m_is_cancelled.load())
        return {base::error_kind::cancelled,
                fmt::format("{} to {} was cancelled", operation, address),
                {}};
    if (code.category() == make_error_code(beast::http::error::end_of_stream).category() &&
        code != beast::http::error::end_of_stream && code != beast::http::error::partial_message)
        return {base::error_kind::protocol,
                fmt::format("{} from {} is not HTTP/1.1: {}; check the address", operation, address,
                            code.message()),
                {}};
    return {base::error_kind::unreachable,
            fmt::format("{} to {} failed: {}; check that the process runs", operation, address,
                        code.message()),
            {}};
}

awaitable<std::optional<response>> exchange_once(asio::io_context& context, tcp::endpoint address,
                                                 request message,
                                                 std::chrono::steady_clock::time_point deadline,
                                                 exchange_progress& progress, base::error& reason)
{
    progress = exchange_progress::nothing_sent;
    auto connection =
        co_await client_connection::connect(context, std::move(address), deadline, reason);
    if (!connection)
        co_return std::nullopt;
    auto reply = co_await (*connection)
                     ->exchange(std::make_shared<const request>(std::move(message)), deadline,
                                progress, reason);
    (*connection)->close();
    co_return reply;
}

tcp::endpoint make_endpoint(const std::string& host, std::uint16_t port)
{
    boost::system::error_code code;
    return {asio::ip::make_address(host, code), port};
}

} // namespace ospreystair::http
