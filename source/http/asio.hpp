// The Asio and Beast headers that the project uses, and short aliases for their types.

#ifndef OSPREYSTAIR_HTTP_ASIO_HPP
#define OSPREYSTAIR_HTTP_ASIO_HPP

// Asio 1.74 uses std::exchange in its coroutine support without including <utility>.
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace ospreystair::http
{

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::awaitable;
using tcp = asio::ip::tcp;

using request = beast::http::request<beast::http::string_body>;
using response = beast::http::response<beast::http::string_body>;
using verb = beast::http::verb;
using status = beast::http::status;
using field = beast::http::field;

} // namespace ospreystair::http

#endif
