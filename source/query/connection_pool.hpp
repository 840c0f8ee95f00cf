// Pool of this VM's keep-alive connections to one replica: at most its share of the replica's
// limit, with one request at a time on each.

#ifndef OSPREYSTAIR_QUERY_CONNECTION_POOL_HPP
#define OSPREYSTAIR_QUERY_CONNECTION_POOL_HPP

#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "http/client_connection.hpp"
#include "query/sub_request.hpp"

namespace ospreystair::query
{

using connection_pointer = std::shared_ptr<http::client_connection>;

/// The connections to one replica. Thread-safe.
class connection_pool : public std::enable_shared_from_this<connection_pool>
{
public:
    static std::shared_ptr<connection_pool> create(http::asio::io_context& context,
                                                   http::tcp::endpoint address, std::size_t limit);

    /// Returns an open connection for exclusive use, waiting for one when the limit is reached.
    /// Fails with unreachable, timeout, overloaded, cancelled or, after close(), draining. Call it
    /// on the strand of `cancel`. Every connection returned must be passed to release().
    http::awaitable<std::optional<connection_pointer>>
    acquire(base::time_point deadline, std::shared_ptr<cancellation> cancel, base::error& reason);

    /// Returns a connection to the pool; a closed one makes room for a new one.
    void release(connection_pointer connection);

    /// Changes the limit. Idle connections above it are closed at once, others on release.
    void set_limit(std::size_t limit);
    /// Opens connections in the background until `count` are open, within the limit, so that
    /// requests need not wait for new ones.
    void warm_up(std::size_t count);

    /// Closes the connections that carry no request.
    void close_idle();
    /// Closes idle connections and refuses further work.
    void close();

    std::size_t open_count() const;
    std::size_t limit() const;

private:
    // A request that waits for a connection.
    struct waiter
    {
        explicit waiter(const http::asio::any_io_executor& executor) : timer(executor) {}
        http::asio::steady_timer timer;
        // Guarded by the pool's mutex.
        connection_pointer connection;
        bool may_connect = false;
    };

    connection_pool(http::asio::io_context& context, http::tcp::endpoint address,
                    std::size_t limit);
    connection_pointer take_idle();
    void serve_next_waiter(connection_pointer connection);
    void release_unopened();
    http::awaitable<void> preconnect();
    http::awaitable<std::optional<connection_pointer>> connect(base::time_point deadline,
                                                               base::error& reason);

    http::asio::io_context& m_context;
    const http::tcp::endpoint m_address;
    mutable std::mutex m_mutex;
    // Guarded by m_mutex.
    std::size_t m_limit;
    // Connections that are idle, in use or being opened. Rises only while below m_limit.
    std::size_t m_open_count = 0;
    std::vector<connection_pointer> m_idle;
    std::deque<std::shared_ptr<waiter>> m_waiters;
    bool m_is_closed = false;
};

} // namespace ospreystair::query

#endif
