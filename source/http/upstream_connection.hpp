// A connection to an upstream that carries one request at a time. Replies are matched to requests
// by an id that the upstream echoes.

#ifndef OSPREYSTAIR_HTTP_UPSTREAM_CONNECTION_HPP
#define OSPREYSTAIR_HTTP_UPSTREAM_CONNECTION_HPP

#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/basic_stream_socket.hpp>

#include "http/asio.hpp"
#include "http/byte_budget.hpp"
#include "http/client_connection.hpp"
#include "http/reply_parser.hpp"
#include "http/sent_ids.hpp"

namespace ospreystair::http
{

/// A serialised request: the header fields that all its attempts share, those that differ between
/// attempts, and the body.
struct upstream_request
{
    /// Request line and header fields, each with its line ending.
    std::shared_ptr<const std::string> shared_head;
    /// Further header fields with their line endings, and the empty line.
    std::string attempt_head;
    std::shared_ptr<const std::string> body;
    std::string id;
    /// Set for a HEAD request, whose reply has no body whatever its Content-Length is.
    bool expects_no_body = false;
};

/// How an exchange ended.
struct upstream_result
{
    exchange_progress progress = exchange_progress::nothing_sent;
    /// The complete reply to this request, valid during the call; null when none arrived.
    reply_parser* reply = nullptr;
    /// Whether the reply names the request. One that does not is taken for the reply to the request
    /// in flight, unless others on the connection had an id.
    bool has_id = false;
    std::string reason;
};

/// A complete final reply that answers no request in flight on its connection.
struct dropped_reply
{
    unsigned status = 0;
    /// The id in the reply; empty when it has none.
    std::string id;
    /// Id of the request in flight; empty when there was none.
    std::string expected_id;
};

/// How an attempt to connect ended.
enum class connect_outcome
{
    opened,
    reset,   ///< The other side accepted the connection and reset it at once.
    refused, ///< Nothing listens at the address, or something on the way refuses connections.
    failed   ///< Nothing answered in time, or the address cannot be reached.
};

/// Reads continuously, so that a closure by the other side is noticed at once and bytes that belong
/// to no request are dropped: a late second reply is recognised by its id, and one that was cut off
/// by the status line of the next reply within it (`reply_parser`) or, while nothing is in flight,
/// by `has_unfinished_reply`. The id names the request and not one sending of it, so that a
/// connection must not carry an id twice (`has_carried`). A connection that no longer responds is
/// not detected here: the next reply on it is overdue, and the owner closes the connection. All
/// members belong to the context's only thread; result handlers are never called from within a call
/// of a member.
class upstream_connection : public std::enable_shared_from_this<upstream_connection>
{
public:
    struct options
    {
        tcp::endpoint address;
        /// Header field that a reply echoes from its request.
        std::string id_field;
        /// Set where the other side echoes ids in all its replies or in none. Once it has echoed
        /// one on this connection, a reply without an id cannot be told from a stray one and ends
        /// the exchange in flight without a reply.
        bool is_id_consistent = false;
        std::uint64_t max_reply_bytes = 4U << 20U;
        std::chrono::milliseconds connect_timeout{500};
        /// Shared with other connections; null for none.
        std::shared_ptr<byte_budget> memory;
        /// Called for each reply that is dropped; null for none.
        std::function<void(const dropped_reply&)> on_dropped;
    };

    using result_handler = std::function<void(const upstream_result&)>;
    using open_handler = std::function<void(connect_outcome)>;

    /// Starts to connect. `on_open` is called once, before the result of a request that waits for
    /// the connection; `on_close` is called once after that, when an open connection ends, with the
    /// reason.
    static std::shared_ptr<upstream_connection>
    open(asio::io_context& context, options values, open_handler on_open,
         std::function<void(const std::string&)> on_close);

    /// Sends a request, at once or when the connection is established. Call it only while
    /// `is_free()`.
    void send(upstream_request message, result_handler on_result);

    /// Closes the connection; an exchange in flight gets no result.
    void close();

    bool is_open() const { return m_state == state::open; }
    bool is_free() const { return m_state != state::closed && !m_on_result; }
    /// Whether bytes have arrived that answer no request and are no complete reply. The next reply
    /// would be read as their rest, so that the connection must not carry another request.
    bool has_unfinished_reply() const
    {
        return !m_on_result &&
               (m_buffer.size() > 0 || (m_parser && m_parser->got_some() && !m_parser->is_done()));
    }
    /// Whether a request with this id was sent before, so that a late copy of its reply would be
    /// taken for the reply to the next sending.
    bool has_carried(std::string_view id) const { return m_sent_ids.contains(id); }

private:
    // A socket with a concrete executor: copying the polymorphic executor took 3% of the processor
    // time.
    using socket_type = asio::basic_stream_socket<tcp, asio::io_context::executor_type>;
    using timer_type = asio::basic_waitable_timer<std::chrono::steady_clock,
                                                  asio::wait_traits<std::chrono::steady_clock>,
                                                  asio::io_context::executor_type>;

    enum class state
    {
        connecting,
        open,
        closed
    };

    upstream_connection(asio::io_context& context, options values, open_handler on_open,
                        std::function<void(const std::string&)> on_close);
    void connect();
    void on_connected(const boost::system::error_code& code);
    void write();
    void write_remaining(std::size_t sent);
    void read();
    void on_read(const boost::system::error_code& code);
    // Parses the bytes received so far. Returns whether the connection is still open.
    bool parse(bool is_end_of_stream);
    // Whether the reply, which has no length, seems to have another reply to the request in flight
    // behind it.
    bool has_second_reply_in_body() const;
    void on_reply();
    // Tells the parser what the reply to the request in flight may look like.
    void prepare_parser();
    // Counts the reply that is being read against the budget of all connections. Returns false when
    // it must not be read on.
    bool count_reply_bytes(std::size_t size);
    // Whether the parsed reply belongs to the request in flight.
    bool is_expected() const;
    // Whether the parsed reply lacks the id that would tell whether it belongs to the request in
    // flight.
    bool is_ambiguous() const;
    void report_dropped() const;
    void finish_exchange(bool has_id);
    // Closes the connection and reports the failure of the exchange in flight, if any.
    void fail(std::string reason);
    void shut_down(const std::string& reason);

    const options m_options;
    asio::io_context& m_context;
    socket_type m_socket;
    // Present until the connection is established.
    std::optional<timer_type> m_connect_timer;
    // Bytes that have not been parsed: at most a part of a head.
    beast::flat_buffer m_buffer;
    // Bytes of the current reply's body that count against the budget.
    std::size_t m_counted_bytes = 0;
    // Replies in series that nobody has asked for, interim ones included.
    unsigned m_unexpected_replies = 0;
    std::optional<reply_parser> m_parser;
    open_handler m_on_open;
    std::function<void(const std::string&)> m_on_close;
    // Beside the next member, since the choice of a connection reads both of many connections.
    state m_state = state::connecting;
    // Set while a request is in flight.
    result_handler m_on_result;
    std::shared_ptr<upstream_request> m_message;
    sent_ids m_sent_ids;
    // Whether some final reply on the connection had an id.
    bool m_has_seen_id = false;
    exchange_progress m_progress = exchange_progress::nothing_sent;
    bool m_is_write_done = true;
};

} // namespace ospreystair::http

#endif
