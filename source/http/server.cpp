// Accept loop and per-connection loop of the HTTP server.

#include "http/server.hpp"

#include <array>
#include <utility>

#include <fmt/format.h>

#include "http/round_trip.hpp"

namespace ospreystair::http
{

void exchange_context::on_peer_disconnected(std::function<void()> action)
{
    std::unique_lock lock(m_mutex);
    if (!m_is_peer_disconnected.load())
    {
        m_on_peer_disconnected = std::move(action);
        return;
    }
    lock.unlock();
    if (action)
        action();
}

void exchange_context::report_peer_disconnected()
{
    std::function<void()> action;
    {
        const std::scoped_lock lock(m_mutex);
        m_is_peer_disconnected.store(true);
        action = std::exchange(m_on_peer_disconnected, nullptr);
    }
    if (action)
        action();
}

// A line longer than this, other than of a header, does not occur in a request.
constexpr std::size_t max_unparsed_bytes = 128U << 10U;

/// One accepted connection. All members are used on the connection's strand.
class server_connection : public std::enable_shared_from_this<server_connection>
{
public:
    server_connection(std::shared_ptr<server> owner, tcp::socket socket)
        : m_owner(std::move(owner)), m_stream(std::move(socket))
    {
    }

    awaitable<void> serve()
    {
        boost::system::error_code code;
        m_stream.socket().set_option(tcp::no_delay(true), code);
        m_peer = m_stream.socket().remote_endpoint(code);
        // Continues while the server stops: a request that has arrived is answered, and its answer
        // closes the connection. Nothing would end a first read that begins after the stop.
        bool can_continue = !m_owner->m_is_stopping.load();
        while (can_continue)
            can_continue = co_await serve_request();
        close();
    }

    /// Ends the connection if no request has been read. One that has been read, but not yet looked
    /// at, is answered first.
    void close_if_idle()
    {
        asio::post(m_stream.get_executor(),
                   [self = shared_from_this()]
                   {
                       if (!self->m_is_answering)
                           self->m_stream.cancel();
                   });
    }

    void abort()
    {
        asio::post(m_stream.get_executor(), [self = shared_from_this()] { self->close(); });
    }

private:
    // Returns whether the connection can carry another request.
    awaitable<bool> serve_request()
    {
        boost::system::error_code code;
        const request_limits limits = m_owner->m_options.current_limits
                                          ? m_owner->m_options.current_limits()
                                          : m_owner->m_options.limits;
        beast::http::request_parser<beast::http::string_body> parser;
        parser.header_limit(limits.max_header_bytes);
        parser.body_limit(limits.max_body_bytes);
        // A line without an end, such as that of a chunk, is not parsed and stays in the buffer.
        m_buffer.max_size(std::max<std::size_t>(max_unparsed_bytes, 2 * limits.max_header_bytes));
        if (m_buffer.size() == 0)
        {
            m_stream.expires_after(limits.idle_timeout);
            co_await beast::http::async_read_some(m_stream, m_buffer, parser,
                                                  asio::redirect_error(asio::use_awaitable, code));
            if (code && !parser.got_some())
                co_return false;
        }
        m_stream.expires_after(limits.receive_timeout);
        if (!code && !parser.is_header_done())
            co_await beast::http::async_read_header(
                m_stream, m_buffer, parser, asio::redirect_error(asio::use_awaitable, code));
        if (!code)
        {
            // From here on a graceful stop waits for this request.
            m_is_answering = true;
            m_owner->m_request_count.fetch_add(1);
            m_stream.expires_after(limits.receive_timeout);
            if (!parser.is_done())
                co_await beast::http::async_read(m_stream, m_buffer, parser,
                                                 asio::redirect_error(asio::use_awaitable, code));
        }
        bool can_continue = false;
        if (!code)
            can_continue = co_await answer(parser.get());
        else
            co_await refuse_malformed(code);
        if (m_is_answering)
        {
            m_is_answering = false;
            m_owner->m_request_count.fetch_sub(1);
        }
        co_return can_continue;
    }

    awaitable<bool> answer(const request& message)
    {
        auto context = std::make_shared<exchange_context>();
        context->m_peer = m_peer;
        context->m_network_time = estimate_network_time();
        m_stream.expires_never();
        watch_peer(context);
        response reply = co_await call_handler(message, context);
        context->on_peer_disconnected(nullptr);
        boost::system::error_code code;
        m_stream.socket().cancel(code);
        reply.version(message.version());
        reply.keep_alive(message.keep_alive() && !m_owner->m_is_stop_announced.load() &&
                         !m_owner->m_is_unavailable.load());
        reply.prepare_payload();
        co_return co_await send(reply) && reply.keep_alive();
    }

    std::chrono::microseconds estimate_network_time()
    {
        constexpr int round_trips_of_first_request = 2;
        const auto round_trip = measure_round_trip(m_stream.socket());
        const bool is_first = std::exchange(m_is_first_request, false);
        return round_trip.value_or(std::chrono::microseconds{0}) *
               (is_first ? round_trips_of_first_request : 1);
    }

    awaitable<response> call_handler(const request& message,
                                     std::shared_ptr<exchange_context> context)
    {
        std::string error_text;
        try
        {
            co_return co_await m_owner->m_handler(message, std::move(context));
        }
        catch (const std::exception& exception)
        {
            error_text = exception.what();
        }
        co_return make_text_response(status::internal_server_error,
                                     fmt::format("internal error: {}; report it\n", error_text));
    }

    // Reports a caller that closes its side while the handler runs. This does not work on a
    // connection with further pipelined bytes, which hide the end of the stream.
    void watch_peer(const std::shared_ptr<exchange_context>& context)
    {
        m_stream.socket().async_wait(
            tcp::socket::wait_read,
            [self = shared_from_this(), context](const boost::system::error_code& code)
            {
                if (code || !self->m_is_answering)
                    return;
                char byte = 0;
                boost::system::error_code peek_code;
                self->m_stream.socket().non_blocking(true, peek_code);
                const std::size_t count = self->m_stream.socket().receive(
                    asio::buffer(&byte, 1), tcp::socket::message_peek, peek_code);
                if (count == 0 && peek_code != asio::error::would_block)
                    context->report_peer_disconnected();
            });
    }

    awaitable<void> refuse_malformed(boost::system::error_code code)
    {
        status answer_status = status::bad_request;
        if (code == beast::error::timeout)
            answer_status = status::request_timeout;
        else if (code == beast::http::error::body_limit)
            answer_status = status::payload_too_large;
        else if (code == beast::http::error::header_limit)
            answer_status = status::request_header_fields_too_large;
        else if (code == beast::http::error::end_of_stream ||
                 code.category() != make_error_code(beast::http::error::end_of_stream).category())
            co_return;
        response reply = make_text_response(
            answer_status, fmt::format("malformed request: {}; send HTTP/1.1 within the limits\n",
                                       code.message()));
        reply.keep_alive(false);
        reply.prepare_payload();
        if (co_await send(reply))
            co_await discard_remaining_input();
    }

    // Reads what the sender still sends: closing a connection with unread bytes resets it, so that
    // the sender could lose the answer in transit.
    awaitable<void> discard_remaining_input()
    {
        constexpr std::chrono::seconds max_wait{1};
        constexpr std::size_t max_discarded_bytes = 1 << 20;
        boost::system::error_code code;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, code);
        m_stream.expires_after(max_wait);
        std::array<char, 4096> buffer{};
        std::size_t discarded_bytes = 0;
        while (!code && discarded_bytes < max_discarded_bytes)
            discarded_bytes += co_await m_stream.async_read_some(
                asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, code));
    }

    awaitable<bool> send(const response& reply)
    {
        boost::system::error_code code;
        m_stream.expires_after(m_owner->m_options.send_timeout);
        co_await beast::http::async_write(m_stream, reply,
                                          asio::redirect_error(asio::use_awaitable, code));
        co_return !code;
    }

    void close()
    {
        boost::system::error_code code;
        m_stream.socket().shutdown(tcp::socket::shutdown_both, code);
        m_stream.close();
    }

    const std::shared_ptr<server> m_owner;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    tcp::endpoint m_peer;
    bool m_is_answering = false;
    // True until the first request has been read.
    bool m_is_first_request = true;
};

server::server(asio::io_context& context, server_options options, handler_function handler)
    : m_context(context), m_options(std::move(options)), m_handler(std::move(handler)),
      m_acceptor(asio::make_strand(context))
{
}

std::optional<std::shared_ptr<server>> server::create(asio::io_context& context,
                                                      server_options options,
                                                      handler_function handler, base::error& reason)
{
    std::shared_ptr<server> result(new server(context, std::move(options), std::move(handler)));
    if (!result->listen(reason))
        return std::nullopt;
    asio::co_spawn(
        result->m_acceptor.get_executor(), [result] { return result->accept_connections(); },
        asio::detached);
    return result;
}

bool server::listen(base::error& reason)
{
    boost::system::error_code code;
    m_acceptor.open(m_options.address.protocol(), code);
    if (!code)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), code);
    if (!code)
        m_acceptor.bind(m_options.address, code);
    if (!code)
        m_acceptor.listen(asio::socket_base::max_listen_connections, code);
    if (code)
    {
        const auto kind = code == asio::error::address_in_use ? base::error_kind::address_in_use
                                                              : base::error_kind::invalid_settings;
        base::fail(reason, kind,
                   fmt::format("cannot listen on {}:{}: {}; stop the process that uses it or "
                               "choose another address",
                               m_options.address.address().to_string(), m_options.address.port(),
                               code.message()));
        return false;
    }
    m_address = m_acceptor.local_endpoint(code);
    return true;
}

awaitable<void> server::accept_connections()
{
    const auto self = shared_from_this();
    constexpr std::chrono::milliseconds accept_backoff{10};
    while (!m_is_stopping.load())
    {
        boost::system::error_code code;
        tcp::socket socket = co_await m_acceptor.async_accept(
            asio::make_strand(m_context), asio::redirect_error(asio::use_awaitable, code));
        if (m_is_stopping.load())
            co_return;
        if (code)
        {
            // For example out of file descriptors: wait instead of spinning.
            asio::steady_timer timer(m_acceptor.get_executor(), accept_backoff);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
            continue;
        }
        if (m_connection_count.load() >= m_options.max_connections)
            continue;
        const auto executor = socket.get_executor();
        auto connection = std::make_shared<server_connection>(self, std::move(socket));
        {
            const std::scoped_lock lock(m_mutex);
            m_connections.insert(connection);
        }
        m_connection_count.fetch_add(1);
        asio::co_spawn(
            executor, [connection] { return connection->serve(); },
            [self, connection](std::exception_ptr)
            {
                self->m_connection_count.fetch_sub(1);
                const std::scoped_lock lock(self->m_mutex);
                self->m_connections.erase(connection);
            });
    }
}

void server::stop_accepting()
{
    m_is_stop_announced.store(true);
    if (m_is_stopping.exchange(true))
        return;
    asio::post(m_acceptor.get_executor(),
               [self = shared_from_this()]
               {
                   boost::system::error_code code;
                   self->m_acceptor.close(code);
               });
    const std::scoped_lock lock(m_mutex);
    for (const auto& connection : m_connections)
        connection->close_if_idle();
}

void server::abort_connections()
{
    const std::scoped_lock lock(m_mutex);
    for (const auto& connection : m_connections)
        connection->abort();
}

awaitable<bool> server::wait_until_idle(std::chrono::steady_clock::time_point deadline)
{
    constexpr std::chrono::milliseconds check_interval{5};
    asio::steady_timer timer(co_await asio::this_coro::executor);
    // A request that has been read, but not yet looked at, is counted by the end of the first
    // interval.
    do
    {
        if (std::chrono::steady_clock::now() >= deadline)
            co_return m_request_count.load() == 0;
        timer.expires_after(check_interval);
        co_await timer.async_wait(asio::use_awaitable);
    } while (m_request_count.load() != 0);
    co_return true;
}

response make_json_response(status code, std::string body)
{
    response reply(code, 11);
    reply.set(field::content_type, "application/json");
    reply.body() = std::move(body);
    return reply;
}

response make_text_response(status code, std::string body)
{
    response reply(code, 11);
    reply.set(field::content_type, "text/plain; charset=utf-8");
    reply.body() = std::move(body);
    return reply;
}

} // namespace ospreystair::http
