// Round-trip time of an open connection, as measured by the kernel.

#ifndef OSPREYSTAIR_HTTP_ROUND_TRIP_HPP
#define OSPREYSTAIR_HTTP_ROUND_TRIP_HPP

#include <chrono>
#include <optional>

#include <boost/asio/ip/tcp.hpp>

namespace ospreystair::http
{

/// Returns the smoothed round-trip time of the connection; absent when the kernel has no sample.
std::optional<std::chrono::microseconds> measure_round_trip(boost::asio::ip::tcp::socket& socket);

} // namespace ospreystair::http

#endif
