// Hands connections to requests, first come, first served.

#include "query/connection_pool.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace ospreystair::query
{

namespace asio = http::asio;

namespace
{

// Bounds memory when a replica hangs; a request beyond it is better sent to another replica.
constexpr std::size_t max_waiters = 1024;
constexpr std::chrono::seconds connect_ahead_timeout{2};

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
    std::shared_ptr<waiter> own;
    // A cancellation before the wait would not end it.
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
            own = std::make_shared<waiter>(executor);
        if (own)
            m_waiters.push_back(own);
    }
    if (!own)
        co_return co_await connect(deadline, reason);

    own->timer.expires_at(deadline);
    cancel->on_cancel([own] { own->timer.cancel(); });
    boost::system::error_code ignored;
    co_await own->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    cancel->on_cancel(nullptr);

    bool may_connect = false;
    {
        const std::scoped_lock lock(m_mutex);
        if (own->connection)
            co_return own->connection;
        may_connect = own->may_connect;
        if (!may_connect)
            std::erase(m_waiters, own);
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
    auto connection =
        co_await http::client_connection::connect(m_context, m_address, deadline, reason);
    if (!connection)
        forget_one();
    co_return connection;
}

// Gives up a place that was counted in m_open_count, and lets a waiter use it.
void connection_pool::forget_one()
{
    const std::scoped_lock lock(m_mutex);
    --m_open_count;
    wake_one(nullptr);
}

// Called with m_mutex held. Passes a connection on, or the right to open one.
void connection_pool::wake_one(connection_pointer connection)
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
        wake_one(std::move(connection));
        return;
    }
    --m_open_count;
    wake_one(nullptr);
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
        wake_one(nullptr);
}

void connection_pool::warm_up(std::size_t count)
{
    std::size_t missing = 0;
    {
        const std::scoped_lock lock(m_mutex);
        const std::size_t wanted = m_is_closed ? 0 : std::min(count, m_limit);
        missing = wanted > m_open_count ? wanted - m_open_count : 0;
        m_open_count += missing;
    }
    for (; missing > 0; --missing)
        asio::co_spawn(
            m_context, [self = shared_from_this()] { return self->connect_ahead(); },
            asio::detached);
}

http::awaitable<void> connection_pool::connect_ahead()
{
    base::error reason;
    auto connection =
        co_await connect(std::chrono::steady_clock::now() + connect_ahead_timeout, reason);
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
