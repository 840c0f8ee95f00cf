// Connecting, writing and reading.

#include "http/upstream_connection.hpp"

#include <array>
#include <utility>

#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "http/status_line.hpp"

namespace ospreystair::http
{

namespace
{

// Large enough for the reply to a sub-request with its header.
constexpr std::size_t read_size = 2048;
constexpr std::size_t max_unparsed_bytes = 32U << 10U;
// A few late second replies and interim replies are normal.
constexpr unsigned max_unexpected_replies = 16;

std::array<asio::const_buffer, 3> to_buffers(const upstream_request& message)
{
    return {asio::buffer(*message.shared_head), asio::buffer(message.attempt_head),
            message.body ? asio::buffer(*message.body) : asio::const_buffer()};
}

connect_outcome to_connect_outcome(const boost::system::error_code& code)
{
    if (code == asio::error::connection_reset)
        return connect_outcome::reset;
    return code == asio::error::connection_refused ? connect_outcome::refused
                                                   : connect_outcome::failed;
}

} // namespace

upstream_connection::upstream_connection(asio::io_context& context, options values,
                                         open_handler on_open,
                                         std::function<void(const std::string&)> on_close)
    : m_options(std::move(values)), m_context(context), m_socket(context.get_executor()),
      m_on_open(std::move(on_open)), m_on_close(std::move(on_close))
{
}

std::shared_ptr<upstream_connection>
upstream_connection::open(asio::io_context& context, options values, open_handler on_open,
                          std::function<void(const std::string&)> on_close)
{
    std::shared_ptr<upstream_connection> result(new upstream_connection(
        context, std::move(values), std::move(on_open), std::move(on_close)));
    result->connect();
    return result;
}

void upstream_connection::connect()
{
    m_connect_timer.emplace(m_context.get_executor(), m_options.connect_timeout);
    m_connect_timer->async_wait(
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

void upstream_connection::on_connected(const boost::system::error_code& code)
{
    m_connect_timer.reset();
    const auto on_open = std::exchange(m_on_open, nullptr);
    if (code)
    {
        m_on_close = nullptr;
        on_open(to_connect_outcome(code));
        fail(fmt::format("connect failed: {}", code.message()));
        return;
    }
    m_state = state::open;
    boost::system::error_code ignored;
    m_socket.set_option(tcp::no_delay(true), ignored);
    m_socket.non_blocking(true, ignored);
    m_parser.emplace();
    m_parser->body_limit(m_options.max_reply_bytes);
    read();
    if (m_on_result)
        write();
    on_open(connect_outcome::opened);
}

void upstream_connection::send(upstream_request message, result_handler on_result)
{
    m_message = std::make_shared<upstream_request>(std::move(message));
    m_sent_ids.add(m_message->id, std::chrono::steady_clock::now());
    m_on_result = std::move(on_result);
    m_progress = exchange_progress::nothing_sent;
    if (m_state == state::open)
        write();
}

void upstream_connection::write()
{
    // Set before the write, because a failed write may still have delivered bytes.
    m_progress = exchange_progress::sent;
    m_is_write_done = false;
    prepare_parser();
    const auto buffers = to_buffers(*m_message);
    boost::system::error_code code;
    const std::size_t sent = m_socket.send(buffers, 0, code);
    if (!code && sent == asio::buffer_size(buffers))
    {
        m_is_write_done = true;
        return;
    }
    if (!code || code == asio::error::would_block)
        return write_remaining(code ? 0 : sent);
    asio::post(m_context, [self = shared_from_this(), code]
               { self->fail(fmt::format("send failed: {}", code.message())); });
}

void upstream_connection::write_remaining(std::size_t sent)
{
    beast::buffers_suffix<std::array<asio::const_buffer, 3>> remaining(to_buffers(*m_message));
    remaining.consume(sent);
    asio::async_write(m_socket, remaining,
                      [self = shared_from_this(),
                       message = m_message](const boost::system::error_code& code, std::size_t)
                      {
                          if (self->m_message == message)
                              self->m_is_write_done = true;
                          if (code && self->m_state == state::open)
                              self->fail(fmt::format("send failed: {}", code.message()));
                      });
}

void upstream_connection::read()
{
    // The parser leaves bytes only where a line, such as that of a chunk, has no end.
    if (m_buffer.size() > max_unparsed_bytes)
        return fail("the reply is malformed: a line has no end");
    m_socket.async_read_some(
        m_buffer.prepare(read_size),
        [self = shared_from_this()](const boost::system::error_code& code, std::size_t size)
        {
            self->m_buffer.commit(size);
            self->on_read(code);
        });
}

void upstream_connection::on_read(const boost::system::error_code& code)
{
    if (m_state != state::open)
        return;
    if (code && code != asio::error::eof)
        return fail(fmt::format("receive failed: {}", code.message()));
    if (!parse(code == asio::error::eof) || m_state != state::open)
        return;
    if (code)
        return fail("the other side has closed the connection");
    read();
}

bool upstream_connection::parse(bool is_end_of_stream)
{
    while (m_state == state::open)
    {
        boost::system::error_code code;
        std::size_t parsed = 0;
        if (m_buffer.size() > 0)
        {
            parsed = m_parser->put(m_buffer.data(), code);
            m_buffer.consume(parsed);
            if (code == beast::http::error::need_more)
                code = {};
        }
        // A reply without a length ends with the connection.
        if (!code && is_end_of_stream && m_parser->got_some() && !m_parser->is_done())
        {
            m_parser->put_eof(code);
            if (!code && has_second_reply_in_body())
                code = beast::http::error::bad_value;
        }
        if (code)
        {
            fail(fmt::format("the reply is malformed: {}", code.message()));
            return false;
        }
        if (!count_reply_bytes(m_parser->body().size()))
        {
            fail("the replies in progress take too much memory");
            return false;
        }
        if (!m_parser->is_done())
        {
            // The parser stops after each section of a message (start line, header, body).
            if (parsed > 0 && m_buffer.size() > 0)
                continue;
            return true;
        }
        on_reply();
    }
    return false;
}

bool upstream_connection::has_second_reply_in_body() const
{
    const std::string_view body = m_parser->body();
    return m_message && !m_message->id.empty() && body.find(m_message->id) != body.npos &&
           contains_status_line(body);
}

bool upstream_connection::count_reply_bytes(std::size_t size)
{
    if (!m_options.memory || size == m_counted_bytes)
        return true;
    return m_options.memory->replace(std::exchange(m_counted_bytes, size), size);
}

void upstream_connection::on_reply()
{
    constexpr unsigned first_final_status = 200;
    const bool closes_connection = !m_parser->keep_alive();
    // An interim (1xx) reply is followed by the final one.
    const bool is_final = m_parser->status() >= first_final_status;
    const bool has_id = !m_parser->find(m_options.id_field).empty();
    m_has_seen_id = m_has_seen_id || (is_final && has_id);
    if (is_final && is_expected())
        finish_exchange(has_id);
    else
    {
        if (is_final)
            report_dropped();
        if (is_final && is_ambiguous())
            return fail("a reply has no id, unlike others on this connection");
        if (++m_unexpected_replies > max_unexpected_replies)
            return fail("the other side sends replies without end");
    }
    if (m_state != state::open)
        return;
    count_reply_bytes(0);
    if (closes_connection)
        return fail("the other side closes the connection");
    m_parser.emplace(m_parser->take_storage());
    m_parser->body_limit(m_options.max_reply_bytes);
    if (m_message)
        prepare_parser();
}

void upstream_connection::prepare_parser()
{
    if (m_message->expects_no_body)
        m_parser->skip(true);
    if (contains_status_line(m_message->id))
        m_parser->allow_echo(m_message->id);
}

bool upstream_connection::is_expected() const
{
    if (!m_on_result || m_progress != exchange_progress::sent)
        return false;
    const std::string_view id = m_parser->find(m_options.id_field);
    return id == m_message->id || (id.empty() && !is_ambiguous());
}

bool upstream_connection::is_ambiguous() const
{
    return m_on_result && !m_message->id.empty() && m_options.is_id_consistent && m_has_seen_id &&
           m_parser->find(m_options.id_field).empty();
}

void upstream_connection::report_dropped() const
{
    if (!m_options.on_dropped)
        return;
    const bool is_in_flight = m_on_result && m_message;
    m_options.on_dropped({m_parser->status(), std::string(m_parser->find(m_options.id_field)),
                          is_in_flight ? m_message->id : std::string()});
}

void upstream_connection::finish_exchange(bool has_id)
{
    const auto on_result = std::exchange(m_on_result, nullptr);
    m_message.reset();
    m_unexpected_replies = 0;
    // The remaining bytes of a request that was answered early would be read as the next request.
    const bool is_reusable = m_is_write_done && m_parser->keep_alive();
    if (!is_reusable)
        shut_down("the reply was the last on its connection");
    upstream_result result;
    result.progress = exchange_progress::answered;
    result.reply = &*m_parser;
    result.has_id = has_id;
    on_result(result);
}

void upstream_connection::fail(std::string reason)
{
    shut_down(reason);
    m_message.reset();
    const auto on_result = std::exchange(m_on_result, nullptr);
    if (!on_result)
        return;
    upstream_result result;
    result.progress = m_progress;
    result.reason = std::move(reason);
    on_result(result);
}

void upstream_connection::shut_down(const std::string& reason)
{
    const bool was_open = m_state == state::open;
    m_state = state::closed;
    count_reply_bytes(0);
    m_connect_timer.reset();
    boost::system::error_code ignored;
    m_socket.close(ignored);
    const auto on_close = std::exchange(m_on_close, nullptr);
    if (was_open && on_close)
        asio::post(m_context, [on_close, reason] { on_close(reason); });
}

void upstream_connection::close()
{
    m_on_result = nullptr;
    m_message.reset();
    shut_down("closed by this side");
}

} // namespace ospreystair::http
