// One connection to an upstream that carries one request at a time, with replies matched to
// requests by an id that the upstream repeats.

#ifndef OSPREYSTAIR_HTTP_EXCHANGE_LINK_HPP
#define OSPREYSTAIR_HTTP_EXCHANGE_LINK_HPP

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "http/asio.hpp"
#include "http/client_connection.hpp"

namespace ospreystair::http
{

/// How an exchange ended.
struct link_result
{
    exchange_progress progress = exchange_progress::nothing_sent;
    /// Present when a whole reply to this request came.
    std::optional<response> reply;
    std::string reason;
};

/// Reads all the time, so that a connection that the other side closes is known at once, and bytes
/// that belong to no request are dropped: a late second reply is told by its id. All members belong
/// to the executor of the context; results never come from within a call.
class exchange_link : public std::enable_shared_from_this<exchange_link>
{
public:
    struct options
    {
        tcp::endpoint address;
        /// Header field that a reply repeats from its request.
        std::string id_field;
        std::uint64_t most_reply_bytes = 4U << 20U;
        std::chrono::milliseconds connect_timeout{500};
    };

    using result_handler = std::function<void(link_result)>;

    /// Starts to connect. `on_open` is called once, with whether the connection stands; `on_close`
    /// is called once after that, when an open connection ends.
    static std::shared_ptr<exchange_link> open(asio::io_context& context, options values,
                                               std::function<void(bool)> on_open,
                                               std::function<void()> on_close);

    /// Sends a request, at once or when the connection stands. Call it only while `is_free()`.
    void send(std::shared_ptr<const request> message, std::string id, result_handler on_result);

    /// Closes the connection; an exchange in flight gets no result.
    void close();

    bool is_open() const { return m_state == state::open; }
    bool is_closed() const { return m_state == state::closed; }
    bool is_free() const { return m_state != state::closed && !m_on_result; }

private:
    enum class state
    {
        connecting,
        open,
        closed
    };

    exchange_link(asio::io_context& context, options values, std::function<void(bool)> on_open,
                  std::function<void()> on_close);
    void connect();
    void on_connected(const boost::system::error_code& code);
    void write();
    void read();
    void on_read(const boost::system::error_code& code);
    // Whether the reply that was read belongs to the request in flight.
    bool is_expected(const response& reply) const;
    void finish_exchange(response reply);
    // Ends the connection and the exchange in flight, if any.
    void fail(std::string reason);
    void shut_down();

    const options m_options;
    tcp::socket m_socket;
    asio::steady_timer m_connect_timer;
    beast::flat_buffer m_buffer;
    std::optional<beast::http::response_parser<beast::http::string_body>> m_parser;
    state m_state = state::connecting;
    std::function<void(bool)> m_on_open;
    std::function<void()> m_on_close;
    // Set while a request is in flight.
    result_handler m_on_result;
    std::shared_ptr<const request> m_message;
    std::string m_id;
    exchange_progress m_progress = exchange_progress::nothing_sent;
    bool m_is_write_done = true;
};

/// Makes a connection tell within a few seconds that its other side is gone or has gone silent.
void enable_liveness_checks(tcp::socket& socket);

} // namespace ospreystair::http

#endif
