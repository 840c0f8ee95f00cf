// An HTTP/1.1 server on Asio coroutines. Each connection runs on its own strand.

#ifndef OSPREYSTAIR_HTTP_SERVER_HPP
#define OSPREYSTAIR_HTTP_SERVER_HPP

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_set>

#include "base/error.hpp"
#include "http/asio.hpp"

namespace ospreystair::http
{

/// Limits that protect a server from slow senders and oversized requests.
struct request_limits
{
    std::size_t max_body_bytes = 1 << 20;
    std::uint32_t max_header_bytes = 16 << 10;
    /// Maximum time from the opening of a connection, or its last answer, until a request begins.
    std::chrono::milliseconds idle_timeout{60'000};
    /// Maximum time for the header, and again for the body, once the request has begun.
    std::chrono::milliseconds receive_timeout{60'000};
};

struct server_options
{
    tcp::endpoint address;
    request_limits limits;
    /// If set, returns the limits of the next request instead of `limits`; for limits that change
    /// while the server runs.
    std::function<request_limits()> current_limits;
    std::size_t max_connections = 4096;
    std::chrono::milliseconds send_timeout{10'000};
};

/// State of the connection that a request arrived on, for its handler.
class exchange_context
{
public:
    /// Registers an action for when the other side closes the connection before the answer. It runs
    /// on the connection's strand, at most once.
    void on_peer_disconnected(std::function<void()> action);
    bool is_peer_disconnected() const { return m_is_peer_disconnected.load(); }
    const tcp::endpoint& peer() const { return m_peer; }
    /// Estimated network time of this exchange: the transfer of the request, including the
    /// handshake of a new connection, and of the answer. Zero when it is not known.
    std::chrono::microseconds network_time() const { return m_network_time; }

private:
    friend class server_connection;

    void report_peer_disconnected();

    tcp::endpoint m_peer;
    std::chrono::microseconds m_network_time{0};
    std::atomic<bool> m_is_peer_disconnected{false};
    std::mutex m_mutex;
    // Guarded by m_mutex.
    std::function<void()> m_on_peer_disconnected;
};

using handler_function =
    std::function<awaitable<response>(const request&, std::shared_ptr<exchange_context>)>;

class server_connection;

/// Accepts connections and answers their requests with a handler. Thread-safe.
class server : public std::enable_shared_from_this<server>
{
public:
    /// Binds and starts accepting. Fails with address_in_use or invalid_settings.
    static std::optional<std::shared_ptr<server>> create(asio::io_context& context,
                                                         server_options options,
                                                         handler_function handler,
                                                         base::error& reason);

    /// The bound address; when port 0 was requested, with the port that the system assigned.
    tcp::endpoint address() const { return m_address; }

    /// Continues to accept, but answers with `Connection: close`, so that callers with persistent
    /// connections move to another VM before stop_accepting().
    void announce_stop() { m_is_stop_announced.store(true); }
    /// Answers with `Connection: close` like announce_stop(), but only until called with false.
    void announce_unavailability(bool is_unavailable) { m_is_unavailable.store(is_unavailable); }

    /// Stops accepting. Requests in flight are answered with `Connection: close`; idle
    /// connections are closed.
    void stop_accepting();

    /// Closes every connection at once, including those with requests in flight.
    void abort_connections();

    std::size_t request_count() const { return m_request_count.load(); }
    std::size_t connection_count() const { return m_connection_count.load(); }

    /// Returns when no request is in flight, or false when `deadline` passes first.
    awaitable<bool> wait_until_idle(std::chrono::steady_clock::time_point deadline);

private:
    friend class server_connection;

    server(asio::io_context& context, server_options options, handler_function handler);
    bool listen(base::error& reason);
    awaitable<void> accept_connections();

    asio::io_context& m_context;
    const server_options m_options;
    const handler_function m_handler;
    tcp::acceptor m_acceptor;
    tcp::endpoint m_address;
    std::atomic<bool> m_is_stop_announced{false};
    std::atomic<bool> m_is_unavailable{false};
    std::atomic<bool> m_is_stopping{false};
    std::atomic<std::size_t> m_request_count{0};
    std::atomic<std::size_t> m_connection_count{0};
    std::mutex m_mutex;
    // Guarded by m_mutex. All open connections, so that stop_accepting() can close the idle ones.
    std::unordered_set<std::shared_ptr<server_connection>> m_connections;
};

/// Makes an answer with a JSON body.
response make_json_response(status code, std::string body);
/// Makes an answer with a plain text body.
response make_text_response(status code, std::string body);

} // namespace ospreystair::http

#endif
