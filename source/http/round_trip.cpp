// Reads TCP_INFO, which Linux keeps for each connection.

#include "http/round_trip.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace ospreystair::http
{

std::optional<std::chrono::microseconds> measure_round_trip(boost::asio::ip::tcp::socket& socket)
{
    tcp_info info{};
    socklen_t size = sizeof(info);
    if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
        info.tcpi_rtt == 0)
        return std::nullopt;
    return std::chrono::microseconds{info.tcpi_rtt};
}

} // namespace ospreystair::http
