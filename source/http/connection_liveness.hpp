// Socket options that detect connections whose other side has disappeared or no longer responds.

#ifndef OSPREYSTAIR_HTTP_CONNECTION_LIVENESS_HPP
#define OSPREYSTAIR_HTTP_CONNECTION_LIVENESS_HPP

#include <netinet/in.h>
#include <netinet/tcp.h>

#include "http/asio.hpp"

namespace ospreystair::http
{

/// Makes a connection fail about 3 s after its other side stops responding. Errors are ignored: a
/// connection works without these options, but its loss is detected later.
template<class Socket>
void enable_liveness_checks(Socket& socket)
{
    namespace socket_option = asio::detail::socket_option;
    // Idle time + count * interval = 3 s, less than the 4 s after which peers may rely on a
    // connection again.
    constexpr int keep_alive_idle_s = 1;
    constexpr int keep_alive_interval_s = 1;
    constexpr int keep_alive_count = 2;
    constexpr int unacknowledged_timeout_ms = 3'000;
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>(keep_alive_idle_s),
                      ignored);
    socket.set_option(socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>(keep_alive_interval_s),
                      ignored);
    socket.set_option(socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>(keep_alive_count), ignored);
    socket.set_option(
        socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(unacknowledged_timeout_ms), ignored);
}

} // namespace ospreystair::http

#endif
