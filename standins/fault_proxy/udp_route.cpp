// Forwards datagrams between clients and the target.

#include "standins/fault_proxy/udp_route.hpp"

#include <array>
#include <utility>

#include <fmt/format.h>

#include "http/client_connection.hpp"

namespace ospreystair::fault_proxy
{

namespace asio = http::asio;
using asio::ip::udp;

namespace
{

constexpr std::size_t max_datagram_bytes = 65536;
constexpr std::size_t max_sessions = 1024;
// Limit of datagrams that wait for their delay; further ones are dropped, as by a full network
// queue.
constexpr std::size_t max_delayed = 16384;

udp::endpoint make_udp_endpoint(const settings::socket_address& address)
{
    const http::tcp::endpoint endpoint = http::make_endpoint(address.host, address.port);
    return {endpoint.address(), endpoint.port()};
}

} // namespace

udp_route::udp_route(asio::io_context& context, const route_settings& settings, std::uint64_t seed)
    : m_context(context), m_listen(make_udp_endpoint(settings.listen)),
      m_target(make_udp_endpoint(settings.target)),
      m_socket(std::make_shared<udp::socket>(context)), m_random(seed)
{
}

std::optional<std::shared_ptr<udp_route>> udp_route::create(asio::io_context& context,
                                                            const route_settings& settings,
                                                            std::uint64_t seed, base::error& reason)
{
    std::shared_ptr<udp_route> result(new udp_route(context, settings, seed));
    boost::system::error_code code;
    result->m_socket->open(result->m_listen.protocol(), code);
    if (!code)
        result->m_socket->bind(result->m_listen, code);
    if (code)
        return base::fail(reason,
                          code == asio::error::address_in_use ? base::error_kind::address_in_use
                                                              : base::error_kind::invalid_settings,
                          fmt::format("cannot receive on udp:{}: {}; stop the process that owns "
                                      "the address or choose another in --routes",
                                      settings.listen.to_text(), code.message()));
    asio::co_spawn(
        context, [result] { return result->receive_from_clients(); }, asio::detached);
    return result;
}

http::awaitable<void> udp_route::receive_from_clients()
{
    const auto self = shared_from_this();
    std::string bytes(max_datagram_bytes, '\0');
    for (;;)
    {
        endpoint client;
        boost::system::error_code code;
        const std::size_t size = co_await m_socket->async_receive_from(
            asio::buffer(bytes), client, asio::redirect_error(asio::use_awaitable, code));
        if (code == asio::error::operation_aborted)
            co_return;
        const socket_pointer session = code ? nullptr : find_session(client);
        if (session)
            relay_datagram(direction::forward, session, m_target, bytes.substr(0, size));
    }
}

udp_route::socket_pointer udp_route::find_session(const endpoint& client)
{
    const auto position = m_sessions.find(client);
    if (position != m_sessions.end())
        return position->second;
    boost::system::error_code code;
    auto socket = std::make_shared<udp::socket>(m_context);
    socket->open(m_target.protocol(), code);
    if (!code)
        socket->bind(endpoint(m_target.protocol(), 0), code);
    if (code)
        return nullptr;
    if (m_sessions.size() >= max_sessions)
    {
        m_sessions.begin()->second->close(code);
        m_sessions.erase(m_sessions.begin());
    }
    m_sessions.emplace(client, socket);
    asio::co_spawn(
        m_context,
        [self = shared_from_this(), socket, client]
        { return self->receive_from_target(socket, client); },
        asio::detached);
    return socket;
}

http::awaitable<void> udp_route::receive_from_target(socket_pointer socket, endpoint client)
{
    std::string bytes(max_datagram_bytes, '\0');
    while (socket->is_open())
    {
        endpoint sender;
        boost::system::error_code code;
        const std::size_t size = co_await socket->async_receive_from(
            asio::buffer(bytes), sender, asio::redirect_error(asio::use_awaitable, code));
        if (!code)
            relay_datagram(direction::backward, m_socket, client, bytes.substr(0, size));
    }
}

void udp_route::relay_datagram(direction way, socket_pointer socket, endpoint destination,
                               std::string bytes)
{
    if (m_behaviour.loses_datagram(way, m_random) || m_delayed_count >= max_delayed)
    {
        ++m_counts.dropped_datagrams;
        return;
    }
    ++(way == direction::forward ? m_counts.forward_datagrams : m_counts.backward_datagrams);
    const auto now = std::chrono::steady_clock::now();
    const auto due = m_behaviour.due_time(way, now, now, bytes.size());
    const auto send = [socket, destination = std::move(destination), bytes = std::move(bytes)]
    {
        boost::system::error_code code;
        socket->send_to(asio::buffer(bytes), destination, 0, code);
    };
    if (due <= now)
    {
        send();
        return;
    }
    ++m_delayed_count;
    const auto timer = std::make_shared<asio::steady_timer>(m_context, due);
    timer->async_wait(
        [self = shared_from_this(), timer, send](const boost::system::error_code&)
        {
            --self->m_delayed_count;
            send();
        });
}

Json::Value udp_route::counts_to_json() const
{
    Json::Value result;
    result["forward_datagrams"] = static_cast<Json::UInt64>(m_counts.forward_datagrams);
    result["backward_datagrams"] = static_cast<Json::UInt64>(m_counts.backward_datagrams);
    result["dropped_datagrams"] = static_cast<Json::UInt64>(m_counts.dropped_datagrams);
    return result;
}

} // namespace ospreystair::fault_proxy
