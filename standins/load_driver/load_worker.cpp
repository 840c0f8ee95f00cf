// Schedule, connections and exchanges of one driver thread.

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

// How long after its deadline an answer is still waited for, so that late answers are seen.
constexpr std::chrono::milliseconds grace{500};

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

/// One connection and the request it carries.
struct load_worker::connection
{
    explicit connection(asio::io_context& context) : stream(context), wake(context) {}

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
        dispatch({scheduled, number, offset >= m_settings.warmup});
    }
    m_is_schedule_done = true;
    finish_if_done();
}

void load_worker::dispatch(arrival item)
{
    ++m_open_requests;
    if (item.is_counted)
        m_results.add_offered();
    if (!m_idle.empty())
    {
        // The longest idle one first, so that all targets are used in turn.
        const auto line = std::move(m_idle.front());
        m_idle.pop_front();
        line->current = item;
        line->wake.cancel();
        return;
    }
    if (m_connection_count >= m_settings.connections)
    {
        m_pending.push_back(item);
        return;
    }
    ++m_connection_count;
    const auto line = std::make_shared<connection>(m_context);
    line->current = item;
    asio::co_spawn(
        m_context, [this, line] { return run_connection(line); }, asio::detached);
}

http::awaitable<void> load_worker::run_connection(std::shared_ptr<connection> line)
{
    for (;;)
    {
        while (line->current)
        {
            co_await perform(*line);
            --m_open_requests;
            line->current.reset();
            take_pending(*line);
        }
        finish_if_done();
        if (m_is_schedule_done && m_open_requests == 0)
            co_return;
        m_idle.push_back(line);
        while (!line->current && !(m_is_schedule_done && m_open_requests == 0))
        {
            boost::system::error_code code;
            line->wake.expires_at(base::time_point::max());
            co_await line->wake.async_wait(asio::redirect_error(asio::use_awaitable, code));
        }
        if (!line->current)
            co_return;
    }
}

bool load_worker::take_pending(connection& line)
{
    while (!m_pending.empty())
    {
        const arrival item = m_pending.front();
        m_pending.pop_front();
        if (steady_clock::now() < item.scheduled + m_settings.deadline)
        {
            line.current = item;
            return true;
        }
        // All connections were busy until the deadline.
        fail(item, "not_sent");
        --m_open_requests;
    }
    return false;
}

void load_worker::finish_if_done()
{
    if (!m_is_schedule_done || m_open_requests != 0)
        return;
    for (const auto& line : std::exchange(m_idle, {}))
        line->wake.cancel();
}

void load_worker::fail(const arrival& item, const char* kind)
{
    if (item.is_counted)
        m_results.add_failure(kind);
}

http::awaitable<bool> load_worker::open(connection& line, base::time_point until)
{
    boost::system::error_code code;
    if (line.is_open)
    {
        // An entry that stops closes idle connections; that is no failure of the next request.
        char byte = 0;
        line.stream.socket().non_blocking(true, code);
        line.stream.socket().receive(asio::buffer(&byte, 1), http::tcp::socket::message_peek, code);
        if (code == asio::error::would_block)
            co_return true;
        line.stream.close();
        line.is_open = false;
    }
    for (std::size_t attempt = 0; attempt < m_settings.targets.size(); ++attempt)
    {
        const auto& target = m_settings.targets[m_next_target++ % m_settings.targets.size()];
        line.stream.expires_at(until);
        co_await line.stream.async_connect(target, asio::redirect_error(asio::use_awaitable, code));
        if (!code)
        {
            line.stream.socket().set_option(http::tcp::no_delay(true), code);
            line.buffer.clear();
            line.is_open = true;
            co_return true;
        }
        line.stream.close();
    }
    co_return false;
}

http::awaitable<void> load_worker::perform(connection& line)
{
    const arrival item = *line.current;
    const base::time_point until = item.scheduled + m_settings.deadline + grace;
    if (!co_await open(line, until))
    {
        fail(item, "connect");
        co_return;
    }
    const std::string body = fmt::format("load-{}-{}-{}", m_settings.seed, m_index, item.number);
    const http::request message = make_request(item, body);
    http::response reply;
    boost::system::error_code code;
    line.stream.expires_at(until);
    const char* step = "send";
    co_await http::beast::http::async_write(line.stream, message,
                                            asio::redirect_error(asio::use_awaitable, code));
    if (!code)
    {
        step = "receive";
        co_await http::beast::http::async_read(line.stream, line.buffer, reply,
                                               asio::redirect_error(asio::use_awaitable, code));
    }
    if (code || !reply.keep_alive())
    {
        line.stream.close();
        line.is_open = false;
    }
    if (code)
        fail(item, code == http::beast::error::timeout ? "timeout" : step);
    else if (item.is_counted)
        m_results.add_answer(check_answer(m_settings.kind, body, reply),
                             steady_clock::now() - item.scheduled, m_settings.deadline);
}

http::request load_worker::make_request(const arrival& item, const std::string& body) const
{
    http::request message(http::verb::post, m_target_path, 11);
    message.set(http::field::host, "ospreystair");
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
        item.scheduled + m_settings.deadline - steady_clock::now());
    message.set("X-Deadline-Ms", std::to_string(std::max<std::int64_t>(left.count(), 1)));
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
