// Gives connections to waiting requests, first come, first served.

#include "query/connection_pool.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace ospreystair::query
{

namespace asio = http::asio;

namespace
{

// Bounds memory when a replica hangs; further requests are better sent to another replica.
constexpr std::size_t max_waiters = 1024;
constexpr std::chrono::seconds preconnect_timeout{2};

} // namespace

std::shared_ptr<connection_pool>
connection_pool::create(asio::io_context& context, http::tcp::endpoint address, std::size_t limit)
{
    return std::shared_ptr<connection_pool>(
        new connection_pool(context, std::move(address), limit));
}

connection_pool::connection_pool(asio::io_context& context, http::tcp::endpoint address,
                                 std::size_t limit)
    : m_context(context), m_address(std::move(address)), m_limit(limit)
{
}

connection_pointer connection_pool::take_idle()
{
    while (!m_idle.empty())
    {
        connection_pointer connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (connection->is_open())
            return connection;
        --m_open_count;
    }
    return nullptr;
}

http::awaitable<std::optional<connection_pointer>>
connection_pool::acquire(base::time_point deadline, std::shared_ptr<cancellation> cancel,
                         base::error& reason)
{
    const auto self = shared_from_this();
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    std::shared_ptr<waiter> own_waiter;
    // A cancellation before on_cancel() is set would not end the wait.
    if (cancel->is_cancelled())
    {
        base::fail(reason, base::error_kind::cancelled, "the request was cancelled");
        co_return std::nullopt;
    }
    {
        const std::scoped_lock lock(m_mutex);
        if (m_is_closed)
        {
            base::fail(reason, base::error_kind::draining,
                       "the replica was removed; use another replica");
            co_return std::nullopt;
        }
        if (m_limit == 0)
        {
            base::fail(reason, base::error_kind::unreachable,
                       fmt::format("this VM owns no connection to {}:{}; use another replica",
                                   m_address.address().to_string(), m_address.port()));
            co_return std::nullopt;
        }
        if (connection_pointer connection = take_idle())
            co_return connection;
        if (m_open_count < m_limit)
            ++m_open_count;
        else if (m_waiters.size() >= max_waiters)
        {
            base::fail(
                reason, base::error_kind::overloaded,
                fmt::format("{} requests wait for a connection to {}:{}; use another replica",
                            m_waiters.size(), m_address.address().to_string(), m_address.port()));
            co_return std::nullopt;
        }
        else
            own_waiter = std::make_shared<waiter>(executor);
        if (own_waiter)
            m_waiters.push_back(own_waiter);
    }
    if (!own_waiter)
        co_return co_await connect(deadline, reason);

    own_waiter->timer.expires_at(deadline);
    cancel->on_cancel([own_waiter] { own_waiter->timer.cancel(); });
    boost::system::error_code ignored;
    co_await own_waiter->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    cancel->on_cancel(nullptr);

    bool may_connect = false;
    {
        const std::scoped_lock lock(m_mutex);
        if (own_waiter->connection)
            co_return own_waiter->connection;
        may_connect = own_waiter->may_connect;
        if (!may_connect)
            std::erase(m_waiters, own_waiter);
    }
    if (may_connect)
        co_return co_await connect(deadline, reason);
    if (cancel->is_cancelled())
        base::fail(reason, base::error_kind::cancelled, "the wait for a connection was cancelled");
    else
        base::fail(reason, base::error_kind::timeout,
                   fmt::format("no connection to {}:{} became free in time; allow more time or add "
                               "replicas",
                               m_address.address().to_string(), m_address.port()));
    co_return std::nullopt;
}

http::awaitable<std::optional<connection_pointer>>
connection_pool::connect(base::time_point deadline, base::error& reason)
{
    auto connection = co_await http::client_connection::connect(m_context, m_address, deadline,
                                                                reason, http::stray_bytes::refuse);
    if (!connection)
        release_unopened();
    co_return connection;
}

// Stops counting a connection that could not be opened, so that a waiter may open one.
void connection_pool::release_unopened()
{
    const std::scoped_lock lock(m_mutex);
    --m_open_count;
    serve_next_waiter(nullptr);
}

// Called with m_mutex held. Gives the next waiter the connection or, without one, permission to
// open one. A connection that nobody waits for becomes idle.
void connection_pool::serve_next_waiter(connection_pointer connection)
{
    if (m_waiters.empty() || (!connection && m_open_count >= m_limit))
    {
        if (connection)
            m_idle.push_back(std::move(connection));
        return;
    }
    const std::shared_ptr<waiter> next = std::move(m_waiters.front());
    m_waiters.pop_front();
    if (connection)
        next->connection = std::move(connection);
    else
    {
        next->may_connect = true;
        ++m_open_count;
    }
    asio::post(next->timer.get_executor(), [next] { next->timer.cancel(); });
}

void connection_pool::release(connection_pointer connection)
{
    const std::scoped_lock lock(m_mutex);
    if (m_is_closed || m_open_count > m_limit)
        connection->close();
    if (connection->is_open())
    {
        serve_next_waiter(std::move(connection));
        return;
    }
    --m_open_count;
    serve_next_waiter(nullptr);
}

void connection_pool::close_idle()
{
    const std::scoped_lock lock(m_mutex);
    for (const connection_pointer& connection : m_idle)
        connection->close();
    m_open_count -= m_idle.size();
    m_idle.clear();
}

void connection_pool::set_limit(std::size_t limit)
{
    const std::scoped_lock lock(m_mutex);
    m_limit = limit;
    while (m_open_count > m_limit && !m_idle.empty())
    {
        m_idle.back()->close();
        m_idle.pop_back();
        --m_open_count;
    }
    while (m_open_count < m_limit && !m_waiters.empty())
        serve_next_waiter(nullptr);
}

void connection_pool::warm_up(std::size_t count)
{
    std::size_t missing_count = 0;
    {
        const std::scoped_lock lock(m_mutex);
        const std::size_t wanted = m_is_closed ? 0 : std::min(count, m_limit);
        missing_count = wanted > m_open_count ? wanted - m_open_count : 0;
        m_open_count += missing_count;
    }
    for (; missing_count > 0; --missing_count)
        asio::co_spawn(
            m_context, [self = shared_from_this()] { return self->preconnect(); }, asio::detached);
}

http::awaitable<void> connection_pool::preconnect()
{
    base::error reason;
    auto connection =
        co_await connect(std::chrono::steady_clock::now() + preconnect_timeout, reason);
    if (connection)
        release(std::move(*connection));
}

void connection_pool::close()
{
    const std::scoped_lock lock(m_mutex);
    m_is_closed = true;
    m_open_count -= m_idle.size();
    for (const connection_pointer& connection : m_idle)
        connection->close();
    m_idle.clear();
    for (const std::shared_ptr<waiter>& item : m_waiters)
        asio::post(item->timer.get_executor(), [item] { item->timer.cancel(); });
}

std::size_t connection_pool::open_count() const
{
    const std::scoped_lock lock(m_mutex);
    return m_open_count;
}

std::size_t connection_pool::limit() const
{
    const std::scoped_lock lock(m_mutex);
    return m_limit;
}

} // namespace ospreystair::query
