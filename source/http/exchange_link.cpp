// Connecting, writing and reading of an exchange link.

#include "http/exchange_link.hpp"

#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <fmt/format.h>

namespace ospreystair::http
{

namespace
{

// Keep-alive probes: a connection that went silent is known after idle + count * interval = 3 s,
// within the 4 s after which peers may rely on it again.
constexpr int keep_alive_idle_s = 1;
constexpr int keep_alive_interval_s = 1;
constexpr int keep_alive_count = 2;
constexpr int unacknowledged_limit_ms = 3'000;

} // namespace

void enable_liveness_checks(tcp::socket& socket)
{
    namespace socket_option = asio::detail::socket_option;
    // A connection works without these options; only a silent one is found later.
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>(keep_alive_idle_s),
                      ignored);
    socket.set_option(socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>(keep_alive_interval_s),
                      ignored);
    socket.set_option(socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>(keep_alive_count), ignored);
    socket.set_option(
        socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(unacknowledged_limit_ms), ignored);
}

exchange_link::exchange_link(asio::io_context& context, options values,
                             std::function<void(bool)> on_open, std::function<void()> on_close)
    : m_options(std::move(values)), m_socket(context), m_connect_timer(context),
      m_on_open(std::move(on_open)), m_on_close(std::move(on_close))
{
}

std::shared_ptr<exchange_link> exchange_link::open(asio::io_context& context, options values,
                                                   std::function<void(bool)> on_open,
                                                   std::function<void()> on_close)
{
    std::shared_ptr<exchange_link> result(
        new exchange_link(context, std::move(values), std::move(on_open), std::move(on_close)));
    result->connect();
    return result;
}

void exchange_link::connect()
{
    m_connect_timer.expires_after(m_options.connect_timeout);
    m_connect_timer.async_wait(
        [self = shared_from_this()](const boost::system::error_code& code)
        {
            if (!code && self->m_state == state::connecting)
                self->on_connected(asio::error::timed_out);
        });
    m_socket.async_connect(m_options.address,
                           [self = shared_from_this()](const boost::system::error_code& code)
                           {
                               if (self->m_state == state::connecting)
                                   self->on_connected(code);
                           });
}

void exchange_link::on_connected(const boost::system::error_code& code)
{
    m_connect_timer.cancel();
    const auto on_open = std::exchange(m_on_open, nullptr);
    if (code)
    {
        m_on_close = nullptr;
        fail(fmt::format("connect failed: {}", code.message()));
        on_open(false);
        return;
    }
    m_state = state::open;
    boost::system::error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    enable_liveness_checks(m_socket);
    read();
    if (m_on_result)
        write();
    on_open(true);
}

void exchange_link::send(std::shared_ptr<const request> message, std::string id,
                         result_handler on_result)
{
    m_message = std::move(message);
    m_id = std::move(id);
    m_on_result = std::move(on_result);
    m_progress = exchange_progress::nothing_sent;
    if (m_state == state::open)
        write();
    else if (m_state == state::closed)
        asio::post(m_socket.get_executor(),
                   [self = shared_from_this()] { self->fail("the connection is closed"); });
}

void exchange_link::write()
{
    // A failed write may still have delivered bytes, so that only the state before it is certain.
    m_progress = exchange_progress::sent;
    m_is_write_done = false;
    if (m_message->method() == verb::head)
        m_parser->skip(true);
    beast::http::async_write(m_socket, *m_message,
                             [self = shared_from_this(), message = m_message](
                                 const boost::system::error_code& code, std::size_t)
                             {
                                 if (self->m_message == message)
                                     self->m_is_write_done = true;
                                 if (code && self->m_state == state::open)
                                     self->fail(fmt::format("send failed: {}", code.message()));
                             });
}

void exchange_link::read()
{
    m_parser.emplace();
    m_parser->body_limit(m_options.most_reply_bytes);
    beast::http::async_read(m_socket, m_buffer, *m_parser,
                            [self = shared_from_this()](const boost::system::error_code& code,
                                                        std::size_t) { self->on_read(code); });
}

void exchange_link::on_read(const boost::system::error_code& code)
{
    if (m_state != state::open)
        return;
    if (code)
        return fail(fmt::format("receive failed: {}", code.message()));
    const bool is_ended_by_close = m_parser->need_eof();
    response reply = m_parser->release();
    const bool is_last = !reply.keep_alive() || is_ended_by_close;
    // An interim reply is followed by the real one.
    const bool is_interim = reply.result_int() < 200;
    if (!is_interim && is_expected(reply))
        finish_exchange(std::move(reply));
    if (m_state != state::open)
        return;
    if (is_last)
        return fail("the other side closes the connection");
    read();
}

bool exchange_link::is_expected(const response& reply) const
{
    if (!m_on_result || m_progress != exchange_progress::sent)
        return false;
    const auto id = reply.find(m_options.id_field);
    return id == reply.end() || id->value() == m_id;
}

void exchange_link::finish_exchange(response reply)
{
    const auto on_result = std::exchange(m_on_result, nullptr);
    m_message.reset();
    // The rest of a request that was answered early would be taken for the next request.
    if (!m_is_write_done)
        shut_down();
    link_result result;
    result.progress = exchange_progress::answered;
    result.reply = std::move(reply);
    asio::post(m_socket.get_executor(),
               [on_result, result = std::move(result)]() mutable { on_result(std::move(result)); });
}

void exchange_link::fail(std::string reason)
{
    shut_down();
    m_message.reset();
    const auto on_result = std::exchange(m_on_result, nullptr);
    if (!on_result)
        return;
    link_result result;
    result.progress = m_progress;
    result.reason = std::move(reason);
    asio::post(m_socket.get_executor(),
               [on_result, result = std::move(result)]() mutable { on_result(std::move(result)); });
}

void exchange_link::shut_down()
{
    const bool was_open = m_state == state::open;
    m_state = state::closed;
    m_connect_timer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
    const auto on_close = std::exchange(m_on_close, nullptr);
    if (was_open && on_close)
        asio::post(m_socket.get_executor(), on_close);
}

void exchange_link::close()
{
    m_on_result = nullptr;
    m_message.reset();
    shut_down();
}

} // namespace ospreystair::http
