// HTTP/1.1 client connection, and the progress of an exchange on it.

#ifndef OSPREYSTAIR_HTTP_CLIENT_CONNECTION_HPP
#define OSPREYSTAIR_HTTP_CLIENT_CONNECTION_HPP

#include <chrono>
#include <memory>
#include <optional>

#include "base/error.hpp"
#include "http/asio.hpp"

namespace ospreystair::http
{

/// Progress of an exchange when it ended. Distinguishes a request that certainly did not run from
/// one whose outcome is unknown.
enum class exchange_progress
{
    nothing_sent, ///< No byte of the request was handed to the network.
    sent,         ///< The other side may have read the request.
    answered      ///< The complete reply arrived.
};

/// What a connection does when bytes that answer no request arrive between two requests.
enum class stray_bytes
{
    read,  ///< The next exchange reads them as the beginning of its reply.
    refuse ///< The next exchange sends nothing, closes the connection and fails with unreachable.
};

/// A connection that carries one request at a time. The stream is used on its own strand only, so
/// that any thread can call any member.
class client_connection : public std::enable_shared_from_this<client_connection>
{
public:
    static constexpr std::size_t max_reply_bytes = 4 << 20;
    /// Bytes that are read ahead of the parser; it leaves more only where a line, such as that of a
    /// chunk, has no end.
    static constexpr std::size_t max_unparsed_bytes = 128 << 10;

    /// Connects before `deadline`. Fails with unreachable or timeout.
    static awaitable<std::optional<std::shared_ptr<client_connection>>>
    connect(asio::io_context& context, tcp::endpoint address,
            std::chrono::steady_clock::time_point deadline, base::error& reason,
            stray_bytes stray = stray_bytes::read);

    /// Sends a request and reads its reply. After a failure, and after a reply with
    /// `Connection: close`, the connection is closed. `progress` is set in each case.
    /// Fails with unreachable, timeout, cancelled or protocol.
    awaitable<std::optional<response>> exchange(std::shared_ptr<const request> message,
                                                std::chrono::steady_clock::time_point deadline,
                                                exchange_progress& progress, base::error& reason);

    /// Closes the connection; an exchange in flight fails with cancelled.
    void close();

    /// Whether the connection can carry another request. A closure by the other side that was not
    /// yet noticed counts as open; see is_closed_by_peer().
    bool is_open() const { return m_is_open.load(); }
    /// Whether the other side has closed an idle connection. Call it only between exchanges.
    awaitable<bool> is_closed_by_peer();

private:
    struct exchange_result
    {
        std::optional<response> reply;
        exchange_progress progress = exchange_progress::nothing_sent;
        base::error reason;
    };

    client_connection(asio::io_context& context, stray_bytes stray);
    bool has_unread_bytes();
    awaitable<exchange_result> exchange_on_strand(std::shared_ptr<const request> message,
                                                  std::chrono::steady_clock::time_point deadline);
    // Reads replies until one is no interim (1xx) reply.
    awaitable<response> read_final_reply(boost::system::error_code& code);
    base::error describe_failure(boost::system::error_code code, std::string_view operation) const;
    void close_on_strand();

    const stray_bytes m_stray;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    // Whether a request was sent, which a late second reply can belong to.
    bool m_is_used = false;
    tcp::endpoint m_address;
    std::atomic<bool> m_is_open{false};
    std::atomic<bool> m_is_cancelled{false};
};

/// Connects, performs one exchange and closes the connection.
awaitable<std::optional<response>> exchange_once(asio::io_context& context, tcp::endpoint address,
                                                 request message,
                                                 std::chrono::steady_clock::time_point deadline,
                                                 exchange_progress& progress, base::error& reason);

/// Makes an endpoint from an IP address that was validated with the settings or the document.
tcp::endpoint make_endpoint(const std::string& host, std::uint16_t port);

} // namespace ospreystair::http

#endif
