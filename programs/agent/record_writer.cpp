// Batches records and writes them to the platform.

#include "record_writer.hpp"

#include <utility>

#include <fmt/format.h>

#include "rpc/rpc_server.hpp"

namespace ospreystair::agent
{

namespace
{

using namespace std::chrono_literals;
namespace asio = http::asio;

constexpr auto write_period = 5s;
constexpr auto write_timeout = 3s;
constexpr auto retry_delay = 100ms;

} // namespace

record_writer::record_writer(objects::http_object_store& store,
                             const base::process_identity& identity, observe::event_log& events,
                             observe::metrics& metrics)
    : m_store(store),
      m_prefix(
          fmt::format("records/{}-{}/", identity.vm,
                      base::to_base36(static_cast<std::uint64_t>(identity.incarnation.count())))),
      m_events(events), m_written(metrics.find_counter("ospreystair_records_written_total")),
      m_dropped(metrics.find_counter("ospreystair_records_dropped_total")),
      m_pending_bytes_gauge(metrics.find_gauge("ospreystair_records_pending_bytes"))
{
}

void record_writer::add(const Json::Value& records)
{
    std::size_t dropped = 0;
    const std::scoped_lock lock(m_mutex);
    for (const Json::Value& record : records)
    {
        std::string text = rpc::to_text(record);
        if (text.size() > max_record_bytes)
        {
            ++dropped;
            continue;
        }
        m_pending_bytes += text.size();
        m_pending.push_back(std::move(text));
    }
    while (m_pending_bytes > max_pending_bytes)
    {
        m_pending_bytes -= m_pending.front().size();
        m_pending.pop_front();
        ++dropped;
    }
    m_pending_bytes_gauge.set(static_cast<std::int64_t>(m_pending_bytes));
    if (dropped == 0)
        return;
    m_dropped.add(dropped);
    m_events.write(observe::log_level::warning, "records_dropped", "",
                   {{"count", dropped},
                    {"message", "records are too large or the platform is down for too long; see "
                                "the log lines of the entries for these requests"}});
}

std::optional<Json::Value> record_writer::find_pending(const std::string& request_id)
{
    const std::scoped_lock lock(m_mutex);
    base::error ignored;
    for (const std::string& text : m_pending)
        if (text.find(request_id) != std::string::npos)
            if (auto record = rpc::parse_json(text, ignored);
                record && (*record)["request_id"] == Json::Value(request_id))
                return record;
    if (m_batch.find(request_id) != std::string::npos)
        if (const auto batch = rpc::parse_json(m_batch, ignored))
            for (const Json::Value& record : (*batch)["records"])
                if (record["request_id"] == Json::Value(request_id))
                    return record;
    return std::nullopt;
}

asio::awaitable<void> record_writer::run()
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (;;)
    {
        timer.expires_after(write_period);
        co_await timer.async_wait(asio::use_awaitable);
        co_await write_batch(std::chrono::steady_clock::now() + write_timeout);
    }
}

asio::awaitable<bool> record_writer::flush(std::chrono::steady_clock::time_point deadline)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (std::chrono::steady_clock::now() < deadline)
    {
        if (co_await write_batch(deadline))
        {
            const std::scoped_lock lock(m_mutex);
            if (m_pending.empty() && m_batch.empty())
                co_return true;
            continue;
        }
        timer.expires_after(retry_delay);
        co_await timer.async_wait(asio::use_awaitable);
    }
    const std::scoped_lock lock(m_mutex);
    co_return m_pending.empty() && m_batch.empty();
}

bool record_writer::prepare_batch()
{
    const std::scoped_lock lock(m_mutex);
    if (m_is_writing)
        return false;
    if (m_batch.empty() && !m_pending.empty())
    {
        m_batch = "{\"records\":[";
        m_batch_record_count = 0;
        while (!m_pending.empty() && m_batch.size() + m_pending.front().size() < max_batch_bytes)
        {
            if (m_batch_record_count++ != 0)
                m_batch += ',';
            m_batch += m_pending.front();
            m_pending_bytes -= m_pending.front().size();
            m_pending.pop_front();
        }
        m_batch += "]}";
    }
    m_is_writing = !m_batch.empty();
    m_pending_bytes_gauge.set(static_cast<std::int64_t>(m_pending_bytes + m_batch.size()));
    return true;
}

void record_writer::log_failure(const std::string& key, const base::error& reason)
{
    m_events.write(observe::log_level::debug, "records_not_written", "",
                   {{"key", key}, {"message", reason.message}});
}

// Returns false when the batch could not be written or another write is in progress.
asio::awaitable<bool> record_writer::write_batch(std::chrono::steady_clock::time_point deadline)
{
    if (!prepare_batch())
        co_return false;
    std::string key;
    std::string value;
    {
        const std::scoped_lock lock(m_mutex);
        if (m_batch.empty())
            co_return true;
        key = m_prefix + std::to_string(m_sequence);
        value = m_batch;
    }
    base::error reason;
    std::uint64_t version = 0;
    const auto status = co_await m_store.write(key, std::move(value), 0, deadline, version, reason);
    const std::scoped_lock lock(m_mutex);
    m_is_writing = false;
    // No other process writes this key, so a conflict means that an earlier write of the batch was
    // applied and its answer was lost.
    if (status != objects::write_status::applied && status != objects::write_status::conflict)
    {
        log_failure(key, reason);
        co_return false;
    }
    m_written.add(m_batch_record_count);
    m_batch.clear();
    ++m_sequence;
    m_pending_bytes_gauge.set(static_cast<std::int64_t>(m_pending_bytes));
    co_return true;
}

} // namespace ospreystair::agent
