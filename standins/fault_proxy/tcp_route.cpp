// Forwards TCP connections. Each direction has a reader that fills a queue and a writer that sends
// the queued bytes when they are due.

#include "standins/fault_proxy/tcp_route.hpp"

#include <array>
#include <deque>
#include <utility>
#include <vector>

#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "http/client_connection.hpp"

namespace ospreystair::fault_proxy
{

namespace asio = http::asio;
using std::chrono::steady_clock;

namespace
{

// Limit of queued bytes per direction; the reader waits while it is reached, as on a full network
// path.
constexpr std::size_t max_queued_bytes = 1 << 20;
constexpr std::size_t read_bytes = 16 << 10;

} // namespace

/// One direction of a tunnel: its queue, and timers that wake its writer (`readable`) and its
/// reader
/// (`writable`).
struct tcp_route::pipe
{
    struct chunk
    {
        base::time_point due;
        // Empty for the end of the stream.
        std::string bytes;
    };

    explicit pipe(asio::io_context& context) : readable(context), writable(context) {}

    std::deque<chunk> queue;
    std::size_t queued_bytes = 0;
    base::time_point last_due{};
    asio::steady_timer readable;
    asio::steady_timer writable;
};

/// A client connection and its connection to the target.
struct tcp_route::tunnel
{
    tunnel(asio::io_context& context, http::tcp::socket accepted)
        : client(std::move(accepted)), target(context), forward(context), backward(context)
    {
    }

    pipe& pipe_of(direction way) { return way == direction::forward ? forward : backward; }
    http::tcp::socket& source(direction way) { return way == direction::forward ? client : target; }
    http::tcp::socket& sink(direction way) { return way == direction::forward ? target : client; }

    void wake()
    {
        for (pipe* item : {&forward, &backward})
        {
            item->readable.cancel();
            item->writable.cancel();
        }
    }

    http::tcp::socket client;
    http::tcp::socket target;
    pipe forward;
    pipe backward;
    std::uint64_t reply_bytes = 0;
    int open_directions = 2;
    bool is_closed = false;
    // The connection to the target is closed and the client has not been notified.
    bool is_half_open = false;
};

tcp_route::tcp_route(asio::io_context& context, const route_settings& settings)
    : m_context(context), m_listen(http::make_endpoint(settings.listen.host, settings.listen.port)),
      m_target(http::make_endpoint(settings.target.host, settings.target.port)), m_acceptor(context)
{
}

std::optional<std::shared_ptr<tcp_route>>
tcp_route::create(asio::io_context& context, const route_settings& settings, base::error& reason)
{
    std::shared_ptr<tcp_route> result(new tcp_route(context, settings));
    boost::system::error_code code;
    if (result->bind(code))
        result->m_acceptor.listen(asio::socket_base::max_listen_connections, code);
    if (code)
        return base::fail(reason,
                          code == asio::error::address_in_use ? base::error_kind::address_in_use
                                                              : base::error_kind::invalid_settings,
                          fmt::format("cannot listen on {}: {}; stop the process that owns the "
                                      "address or choose another in --routes",
                                      settings.listen.to_text(), code.message()));
    result->start_accepting();
    return result;
}

bool tcp_route::bind(boost::system::error_code& code)
{
    m_acceptor.open(m_listen.protocol(), code);
    if (!code)
        m_acceptor.set_option(http::tcp::acceptor::reuse_address(true), code);
    if (!code)
        m_acceptor.bind(m_listen, code);
    return !code;
}

void tcp_route::refuse_connections()
{
    // A socket that is bound but does not listen refuses connections and keeps the port.
    boost::system::error_code code;
    m_acceptor.close(code);
    bind(code);
    m_is_accepting = false;
}

void tcp_route::start_accepting()
{
    boost::system::error_code code;
    m_acceptor.listen(asio::socket_base::max_listen_connections, code);
    if (code || std::exchange(m_is_accepting, true))
        return;
    asio::co_spawn(
        m_context, [self = shared_from_this()] { return self->accept_connections(); },
        asio::detached);
}

http::awaitable<void> tcp_route::accept_connections()
{
    const auto self = shared_from_this();
    constexpr std::chrono::milliseconds accept_backoff{10};
    for (;;)
    {
        boost::system::error_code code;
        http::tcp::socket socket =
            co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, code));
        // A connection accepted just before the mode became `cut` is closed by the destructor of
        // `socket`.
        if (code == asio::error::operation_aborted || !m_is_accepting)
            co_return;
        if (code)
        {
            // For example out of file descriptors: waits instead of retrying in a busy loop.
            asio::steady_timer timer(m_context, accept_backoff);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
            continue;
        }
        ++m_counts.connections;
        const auto current_tunnel = std::make_shared<tunnel>(m_context, std::move(socket));
        m_tunnels.insert(current_tunnel);
        asio::co_spawn(
            m_context, [self, current_tunnel] { return self->serve(current_tunnel); },
            asio::detached);
    }
}

http::awaitable<void> tcp_route::serve(std::shared_ptr<tunnel> current_tunnel)
{
    boost::system::error_code code;
    current_tunnel->client.set_option(http::tcp::no_delay(true), code);
    if (m_behaviour.mode() == route_mode::half_open)
        current_tunnel->is_half_open = true;
    else if (!co_await connect_target(current_tunnel))
    {
        reset(*current_tunnel);
        m_tunnels.erase(current_tunnel);
        co_return;
    }
    const auto self = shared_from_this();
    for (const direction way : {direction::forward, direction::backward})
    {
        asio::co_spawn(
            m_context, [self, current_tunnel, way] { return self->receive(current_tunnel, way); },
            asio::detached);
        asio::co_spawn(
            m_context,
            [self, current_tunnel, way] { return self->send_queued(current_tunnel, way); },
            asio::detached);
    }
}

http::awaitable<bool> tcp_route::connect_target(std::shared_ptr<tunnel> current_tunnel)
{
    boost::system::error_code code;
    while (m_behaviour.is_frozen() && !current_tunnel->is_closed)
    {
        current_tunnel->forward.readable.expires_at(base::time_point::max());
        co_await current_tunnel->forward.readable.async_wait(
            asio::redirect_error(asio::use_awaitable, code));
    }
    if (current_tunnel->is_closed)
        co_return false;
    // The target can tell the routes apart by their addresses.
    current_tunnel->target.open(m_target.protocol(), code);
    // Else the port that is chosen may be the one on which another route is about to listen.
    current_tunnel->target.set_option(http::tcp::socket::reuse_address(true), code);
    if (m_listen.address().is_loopback())
        current_tunnel->target.bind({m_listen.address(), 0}, code);
    co_await current_tunnel->target.async_connect(m_target,
                                                  asio::redirect_error(asio::use_awaitable, code));
    if (code || current_tunnel->is_closed)
    {
        ++m_counts.unreachable;
        co_return false;
    }
    current_tunnel->target.set_option(http::tcp::no_delay(true), code);
    co_return true;
}

http::awaitable<void> tcp_route::receive(std::shared_ptr<tunnel> current_tunnel, direction way)
{
    pipe& current_pipe = current_tunnel->pipe_of(way);
    std::array<char, read_bytes> bytes{};
    while (!current_tunnel->is_closed)
    {
        boost::system::error_code code;
        if (m_behaviour.is_frozen() || current_pipe.queued_bytes >= max_queued_bytes ||
            (current_tunnel->is_half_open && way == direction::backward))
        {
            current_pipe.writable.expires_at(base::time_point::max());
            co_await current_pipe.writable.async_wait(
                asio::redirect_error(asio::use_awaitable, code));
            continue;
        }
        const std::size_t size = co_await current_tunnel->source(way).async_read_some(
            asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, code));
        if (current_tunnel->is_closed)
            break;
        if (current_tunnel->is_half_open && way == direction::backward)
            continue;
        if (code == asio::error::eof && !current_tunnel->is_half_open)
        {
            current_pipe.queue.push_back(
                {m_behaviour.due_time(way, steady_clock::now(), current_pipe.last_due, 0),
                 std::string()});
            current_pipe.readable.cancel();
            co_return;
        }
        if (code || !enqueue(*current_tunnel, way, std::string(bytes.data(), size)))
            reset(*current_tunnel);
    }
    m_tunnels.erase(current_tunnel);
}

bool tcp_route::enqueue(tunnel& current_tunnel, direction way, std::string bytes)
{
    if (current_tunnel.is_half_open)
    {
        m_counts.dropped_bytes += bytes.size();
        // When the mode is no longer `half_open`, bytes of a connection that the target does not
        // know are answered with a reset.
        return m_behaviour.mode() == route_mode::half_open;
    }
    if (m_behaviour.discards(way))
    {
        m_counts.dropped_bytes += bytes.size();
        return true;
    }
    if (way == direction::backward)
    {
        if (const auto limit = m_behaviour.reply_limit())
        {
            if (current_tunnel.reply_bytes + bytes.size() > *limit)
            {
                m_behaviour.count_lost_reply();
                ++m_counts.replies_lost;
                m_counts.dropped_bytes += bytes.size();
                return false;
            }
            current_tunnel.reply_bytes += bytes.size();
        }
    }
    pipe& current_pipe = current_tunnel.pipe_of(way);
    current_pipe.last_due =
        m_behaviour.due_time(way, steady_clock::now(), current_pipe.last_due, bytes.size());
    current_pipe.queued_bytes += bytes.size();
    current_pipe.queue.push_back({current_pipe.last_due, std::move(bytes)});
    current_pipe.readable.cancel();
    return true;
}

http::awaitable<void> tcp_route::send_queued(std::shared_ptr<tunnel> current_tunnel, direction way)
{
    pipe& current_pipe = current_tunnel->pipe_of(way);
    while (!current_tunnel->is_closed)
    {
        boost::system::error_code code;
        const bool must_wait = current_pipe.queue.empty() || m_behaviour.is_frozen() ||
                               (current_tunnel->is_half_open && way == direction::forward);
        if (must_wait || current_pipe.queue.front().due > steady_clock::now())
        {
            current_pipe.readable.expires_at(must_wait ? base::time_point::max()
                                                       : current_pipe.queue.front().due);
            co_await current_pipe.readable.async_wait(
                asio::redirect_error(asio::use_awaitable, code));
            continue;
        }
        const std::string bytes = std::move(current_pipe.queue.front().bytes);
        current_pipe.queue.pop_front();
        current_pipe.queued_bytes -= bytes.size();
        current_pipe.writable.cancel();
        if (bytes.empty())
        {
            current_tunnel->sink(way).shutdown(http::tcp::socket::shutdown_send, code);
            if (--current_tunnel->open_directions == 0)
                break;
            co_return;
        }
        (way == direction::forward ? m_counts.forward_bytes : m_counts.backward_bytes) +=
            bytes.size();
        co_await asio::async_write(current_tunnel->sink(way), asio::buffer(bytes),
                                   asio::redirect_error(asio::use_awaitable, code));
        if (code && !current_tunnel->is_half_open)
            reset(*current_tunnel);
    }
    m_tunnels.erase(current_tunnel);
}

void tcp_route::make_half_open(tunnel& current_tunnel)
{
    current_tunnel.is_half_open = true;
    boost::system::error_code code;
    current_tunnel.target.close(code);
    current_tunnel.wake();
}

void tcp_route::reset(tunnel& current_tunnel)
{
    if (std::exchange(current_tunnel.is_closed, true))
        return;
    ++m_counts.resets;
    boost::system::error_code code;
    for (http::tcp::socket* socket : {&current_tunnel.client, &current_tunnel.target})
    {
        // Closing with a linger time of zero sends RST instead of FIN.
        socket->set_option(asio::socket_base::linger(true, 0), code);
        socket->close(code);
    }
    current_tunnel.wake();
}

void tcp_route::wake_all()
{
    for (const auto& item : m_tunnels)
        item->wake();
}

std::optional<bool> tcp_route::apply(const Json::Value& change, base::error& reason)
{
    const route_mode previous_mode = m_behaviour.mode();
    if (!m_behaviour.apply(change, reason))
        return std::nullopt;
    if (change.isMember("lose_reply"))
        for (const auto& item : m_tunnels)
            item->reply_bytes = 0;
    const route_mode current_mode = m_behaviour.mode();
    if (current_mode == previous_mode)
        return true;
    const auto refuses = [](route_mode mode)
    {
        return mode == route_mode::cut || mode == route_mode::refuse_new;
    };
    if (refuses(current_mode) && !refuses(previous_mode))
        refuse_connections();
    if (current_mode == route_mode::cut)
    {
        for (const auto& item : std::vector(m_tunnels.begin(), m_tunnels.end()))
            reset(*item);
        m_tunnels.clear();
    }
    if (refuses(previous_mode) && !refuses(current_mode))
        start_accepting();
    if (current_mode == route_mode::half_open)
        for (const auto& item : m_tunnels)
            make_half_open(*item);
    wake_all();
    return true;
}

Json::Value tcp_route::counts_to_json() const
{
    Json::Value result;
    const auto put = [&result](const char* name, std::uint64_t value)
    {
        result[name] = static_cast<Json::UInt64>(value);
    };
    put("connections", m_counts.connections);
    put("open_connections", m_tunnels.size());
    put("resets", m_counts.resets);
    put("unreachable", m_counts.unreachable);
    put("replies_lost", m_counts.replies_lost);
    put("forward_bytes", m_counts.forward_bytes);
    put("backward_bytes", m_counts.backward_bytes);
    put("dropped_bytes", m_counts.dropped_bytes);
    return result;
}

} // namespace ospreystair::fault_proxy
