// Schedule, connections and requests of one driver thread.

#include "standins/load_driver/load_worker.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include <fmt/format.h>

namespace ospreystair::load_driver
{

namespace asio = http::asio;
using std::chrono::steady_clock;

namespace
{

// Time after the deadline in which an answer is still received, so that late answers are counted.
constexpr std::chrono::milliseconds late_answer_grace{500};

std::string make_path(const load_settings& settings)
{
    if (settings.kind == request_kind::search)
        return "/v1/search";
    return fmt::format("/v1/services/{}/{}", settings.service,
                       settings.kind == request_kind::query ? "query" : "command");
}

std::string make_key_prefix()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return fmt::format("{}-{:x}", std::chrono::duration_cast<std::chrono::seconds>(now).count(),
                       std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

} // namespace

/// One connection and its current request.
struct load_worker::worker_connection
{
    explicit worker_connection(asio::io_context& context) : stream(context), wake(context) {}

    http::beast::tcp_stream stream;
    http::beast::flat_buffer buffer;
    asio::steady_timer wake;
    std::optional<arrival> current;
    bool is_open = false;
};

load_worker::load_worker(const load_settings& settings, std::size_t index, base::time_point start)
    : m_settings(settings), m_index(index), m_start(start), m_target_path(make_path(settings)),
      m_key_prefix(make_key_prefix()),
      m_schedule(settings.arrivals, settings.rate, index, settings.workers, settings.seed),
      m_next_target(index)
{
}

void load_worker::run()
{
    asio::co_spawn(
        m_context, [this] { return follow_schedule(); }, asio::detached);
    m_context.run();
}

void load_worker::stop()
{
    asio::post(m_context,
               [this]
               {
                   m_is_stopping = true;
                   m_timer.cancel();
               });
}

http::awaitable<void> load_worker::follow_schedule()
{
    for (std::uint64_t number = 0;; ++number)
    {
        const auto offset = m_schedule.next();
        if (offset >= m_settings.duration)
            break;
        const base::time_point scheduled = m_start + offset;
        while (!m_is_stopping && steady_clock::now() < scheduled)
        {
            boost::system::error_code code;
            m_timer.expires_at(scheduled);
            co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
        }
        if (m_is_stopping)
            break;
        dispatch_request({scheduled, number, offset >= m_settings.warmup});
    }
    m_is_schedule_done = true;
    finish_if_done();
}

void load_worker::dispatch_request(arrival item)
{
    ++m_open_requests;
    if (item.is_counted)
        m_results.add_offered();
    if (!m_idle_connections.empty())
    {
        // Takes the connection that has been idle longest, so that all targets are used in turn.
        const auto connection = std::move(m_idle_connections.front());
        m_idle_connections.pop_front();
        connection->current = item;
        connection->wake.cancel();
        return;
    }
    if (m_connection_count >= m_settings.connections)
    {
        m_pending_arrivals.push_back(item);
        return;
    }
    ++m_connection_count;
    const auto connection = std::make_shared<worker_connection>(m_context);
    connection->current = item;
    asio::co_spawn(
        m_context, [this, connection] { return run_connection(connection); }, asio::detached);
}

http::awaitable<void> load_worker::run_connection(std::shared_ptr<worker_connection> connection)
{
    for (;;)
    {
        while (connection->current)
        {
            co_await perform_request(*connection);
            --m_open_requests;
            connection->current.reset();
            take_pending(*connection);
        }
        finish_if_done();
        if (m_is_schedule_done && m_open_requests == 0)
            co_return;
        m_idle_connections.push_back(connection);
        while (!connection->current && !(m_is_schedule_done && m_open_requests == 0))
        {
            boost::system::error_code code;
            connection->wake.expires_at(base::time_point::max());
            co_await connection->wake.async_wait(asio::redirect_error(asio::use_awaitable, code));
        }
        if (!connection->current)
            co_return;
    }
}

bool load_worker::take_pending(worker_connection& connection)
{
    while (!m_pending_arrivals.empty())
    {
        const arrival item = m_pending_arrivals.front();
        m_pending_arrivals.pop_front();
        if (steady_clock::now() < item.scheduled + m_settings.deadline)
        {
            connection.current = item;
            return true;
        }
        // All connections were busy until the deadline.
        record_failure(item, "not_sent");
        --m_open_requests;
    }
    return false;
}

void load_worker::finish_if_done()
{
    if (!m_is_schedule_done || m_open_requests != 0)
        return;
    for (const auto& connection : std::exchange(m_idle_connections, {}))
        connection->wake.cancel();
}

void load_worker::record_failure(const arrival& item, const char* kind)
{
    if (item.is_counted)
        m_results.add_failure(kind);
}

http::awaitable<bool> load_worker::ensure_connected(worker_connection& connection,
                                                    base::time_point until)
{
    boost::system::error_code code;
    if (connection.is_open)
    {
        // A stopping entry closes idle connections; the next request must not fail because of it.
        char byte = 0;
        connection.stream.socket().non_blocking(true, code);
        connection.stream.socket().receive(asio::buffer(&byte, 1), http::tcp::socket::message_peek,
                                           code);
        if (code == asio::error::would_block)
            co_return true;
        connection.stream.close();
        connection.is_open = false;
    }
    for (std::size_t attempt = 0; attempt < m_settings.targets.size(); ++attempt)
    {
        const auto& target = m_settings.targets[m_next_target++ % m_settings.targets.size()];
        connection.stream.expires_at(until);
        co_await connection.stream.async_connect(target,
                                                 asio::redirect_error(asio::use_awaitable, code));
        if (!code)
        {
            connection.stream.socket().set_option(http::tcp::no_delay(true), code);
            connection.buffer.clear();
            connection.is_open = true;
            co_return true;
        }
        connection.stream.close();
    }
    co_return false;
}

http::awaitable<void> load_worker::perform_request(worker_connection& connection)
{
    const arrival item = *connection.current;
    const base::time_point until = item.scheduled + m_settings.deadline + late_answer_grace;
    if (!co_await ensure_connected(connection, until))
    {
        record_failure(item, "connect");
        co_return;
    }
    const std::string body = fmt::format("load-{}-{}-{}", m_settings.seed, m_index, item.number);
    const http::request message = make_request(item, body);
    http::response reply;
    boost::system::error_code code;
    connection.stream.expires_at(until);
    const char* failure_kind = "send";
    co_await http::beast::http::async_write(connection.stream, message,
                                            asio::redirect_error(asio::use_awaitable, code));
    if (!code)
    {
        failure_kind = "receive";
        co_await http::beast::http::async_read(connection.stream, connection.buffer, reply,
                                               asio::redirect_error(asio::use_awaitable, code));
    }
    if (code || !reply.keep_alive())
    {
        connection.stream.close();
        connection.is_open = false;
    }
    if (code)
        record_failure(item, code == http::beast::error::timeout ? "timeout" : failure_kind);
    else if (item.is_counted)
        m_results.add_answer(check_answer(m_settings.kind, body, reply),
                             steady_clock::now() - item.scheduled, m_settings.deadline);
}

http::request load_worker::make_request(const arrival& item, const std::string& body) const
{
    http::request message(http::verb::post, m_target_path, 11);
    message.set(http::field::host, "ospreystair");
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
        item.scheduled + m_settings.deadline - steady_clock::now());
    message.set("X-Deadline-Ms", std::to_string(std::max<std::int64_t>(remaining.count(), 1)));
    if (m_settings.kind == request_kind::command)
        message.set("Idempotency-Key", fmt::format("{}w{}n{}", m_key_prefix, m_index, item.number));
    if (m_settings.kind == request_kind::search)
    {
        message.set("X-Request-Id", body);
        message.set("X-Sub-Request", "0");
        message.set("X-Shard", m_settings.shard);
        message.set("X-Index-Version", std::to_string(m_settings.index_version));
    }
    message.body() = body;
    message.prepare_payload();
    return message;
}

} // namespace ospreystair::load_driver
