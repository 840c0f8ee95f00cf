// Connection loop of a replica and processing of a request.

#include "standins/upstream/replica.hpp"

#include <array>
#include <sstream>
#include <utility>
#include <vector>

#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "base/number.hpp"
#include "http/client_connection.hpp"
#include "http/server.hpp"
#include "rpc/rpc_server.hpp"

namespace ospreystair::standin_upstream
{

namespace asio = http::asio;
using std::chrono::steady_clock;

namespace
{

// Echoed request bodies are truncated to this length, so that answers stay small.
constexpr std::size_t max_echo_bytes = 256;

std::string header(const http::request& message, const char* name)
{
    const auto value = message[name];
    return {value.data(), value.size()};
}

} // namespace

/// A connection and the request that it currently carries.
struct replica::exchange
{
    explicit exchange(http::tcp::socket connection)
        : socket(std::move(connection)), timer(socket.get_executor())
    {
    }

    http::tcp::socket socket;
    asio::steady_timer timer;
    http::request message;
    std::uint64_t id = 0;
    // Number of the request on this connection; the disconnect watch of an earlier request is
    // ignored.
    std::uint64_t request_number = 0;
    // The last reply, if it is to be sent again.
    std::optional<http::response> repeated_reply;
    // Set when the request gets a slot or a freeze ends.
    bool may_proceed = false;
    bool is_peer_disconnected = false;
    bool is_working = false;
};

/// The reply to a request, and how much of it is sent.
struct replica::answer
{
    enum class delivery_mode
    {
        complete,
        truncated,
        none
    };

    http::response reply;
    delivery_mode delivery = delivery_mode::complete;
};

replica::replica(asio::io_context& context, const replica_settings& settings, std::uint64_t seed,
                 std::size_t record_limit)
    : m_name(settings.name), m_record_limit(record_limit), m_context(context), m_acceptor(context),
      m_behaviour(settings, steady_clock::now()), m_slots(settings.slots, settings.queue),
      m_counts(record_limit), m_random(seed)
{
}

std::optional<std::shared_ptr<replica>>
replica::create(asio::io_context& context, const replica_settings& settings, std::uint64_t seed,
                std::size_t record_limit, base::error& reason)
{
    std::shared_ptr<replica> result(new replica(context, settings, seed, record_limit));
    if (!result->listen(settings, reason))
        return std::nullopt;
    asio::co_spawn(
        context, [result] { return result->accept_connections(); }, asio::detached);
    return result;
}

bool replica::listen(const replica_settings& settings, base::error& reason)
{
    const http::tcp::endpoint address =
        http::make_endpoint(settings.address.host, settings.address.port);
    boost::system::error_code code;
    m_acceptor.open(address.protocol(), code);
    if (!code)
        m_acceptor.set_option(http::tcp::acceptor::reuse_address(true), code);
    if (!code)
        m_acceptor.bind(address, code);
    if (!code)
        m_acceptor.listen(asio::socket_base::max_listen_connections, code);
    if (code)
    {
        const bool is_in_use = code == asio::error::address_in_use;
        base::fail(reason,
                   is_in_use ? base::error_kind::address_in_use
                             : base::error_kind::invalid_settings,
                   fmt::format("replica {} cannot listen on {}: {}; stop the process that owns the "
                               "address or choose another in --replicas",
                               m_name, settings.address.to_text(), code.message()));
        return false;
    }
    return true;
}

http::awaitable<void> replica::accept_connections()
{
    const auto self = shared_from_this();
    constexpr std::chrono::milliseconds accept_backoff{10};
    for (;;)
    {
        boost::system::error_code code;
        http::tcp::socket socket =
            co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, code));
        if (code == asio::error::operation_aborted)
            co_return;
        if (code)
        {
            // For example out of file descriptors: waits instead of retrying in a busy loop.
            asio::steady_timer timer(m_context, accept_backoff);
            co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
            continue;
        }
        ++m_counts.connections_opened;
        if (m_connection_count >= m_behaviour.connections)
        {
            ++m_counts.connection_violations;
            socket.close(code);
            continue;
        }
        ++m_connection_count;
        m_counts.highest_connections =
            std::max<std::uint64_t>(m_counts.highest_connections, m_connection_count);
        asio::co_spawn(
            m_context,
            [self, socket = std::move(socket)]() mutable { return self->serve(std::move(socket)); },
            [self](std::exception_ptr) { --self->m_connection_count; });
    }
}

http::awaitable<void> replica::serve(http::tcp::socket socket)
{
    const auto self = shared_from_this();
    boost::system::error_code code;
    socket.set_option(http::tcp::no_delay(true), code);
    const auto current_exchange = std::make_shared<exchange>(std::move(socket));
    if (m_behaviour.connect_ms > 0)
    {
        current_exchange->timer.expires_after(behaviour::to_microseconds(m_behaviour.connect_ms));
        co_await current_exchange->timer.async_wait(
            asio::redirect_error(asio::use_awaitable, code));
    }
    http::beast::flat_buffer buffer;
    while (co_await serve_one(current_exchange, buffer))
        ;
    current_exchange->socket.shutdown(http::tcp::socket::shutdown_both, code);
    current_exchange->socket.close(code);
}

http::awaitable<bool> replica::serve_one(const std::shared_ptr<exchange>& current_exchange,
                                         http::beast::flat_buffer& buffer)
{
    boost::system::error_code code;
    current_exchange->message = {};
    co_await http::beast::http::async_read(current_exchange->socket, buffer,
                                           current_exchange->message,
                                           asio::redirect_error(asio::use_awaitable, code));
    if (code)
        co_return false;
    if (const auto copy = std::exchange(current_exchange->repeated_reply, std::nullopt))
        co_await http::beast::http::async_write(current_exchange->socket, *copy,
                                                asio::redirect_error(asio::use_awaitable, code));
    current_exchange->id = ++m_last_id;
    ++current_exchange->request_number;
    current_exchange->may_proceed = false;
    current_exchange->is_working = true;
    watch_peer(current_exchange);
    answer result = co_await respond(current_exchange);
    current_exchange->is_working = false;
    current_exchange->socket.cancel(code);
    if (current_exchange->is_peer_disconnected && !m_behaviour.ignores_cancellation)
        co_return false;
    co_return co_await send_reply(*current_exchange, std::move(result));
}

http::awaitable<replica::answer> replica::respond(std::shared_ptr<exchange> current_exchange)
{
    const auto target = current_exchange->message.target();
    if (target == "/v1/search")
        co_return co_await process_request(current_exchange, request_kind::search);
    if (target == "/v1/command")
        co_return co_await process_request(current_exchange, request_kind::command);
    if (target == "/load")
        co_return answer{http::make_json_response(http::status::ok, make_load_report())};
    if (target == "/health")
    {
        const bool is_healthy = m_behaviour.reported_health.value_or(!m_behaviour.is_frozen);
        co_return answer{http::make_json_response(
            is_healthy ? http::status::ok : http::status::service_unavailable,
            is_healthy ? R"({"status":"ok"})" : R"({"status":"failing"})")};
    }
    co_return answer{http::make_text_response(http::status::not_found, "no such path\n")};
}

http::awaitable<replica::answer>
replica::process_request(std::shared_ptr<exchange> current_exchange, request_kind kind)
{
    count_arrival();
    const http::request& message = current_exchange->message;
    if (auto refusal = check_request(message, kind))
    {
        if (refusal->reply.result() == http::status::conflict)
            ++m_counts.version_not_held;
        if (refusal->reply.result() == http::status::misdirected_request)
            ++m_counts.shard_not_here;
        co_return std::move(*refusal);
    }
    const auto matching_fault = m_behaviour.next_fault(kind, m_random);
    if (matching_fault)
        ++m_counts.faults;
    if (m_behaviour.is_frozen || (matching_fault && matching_fault->kind == fault_kind::freeze))
        co_await wait_until_unfrozen(current_exchange);
    if ((matching_fault && matching_fault->kind == fault_kind::shed) ||
        behaviour::happens(m_behaviour.shed_probability, m_random))
    {
        ++m_counts.refused;
        co_return answer{make_refusal("the replica sheds load")};
    }
    answer result;
    if (!co_await wait_for_slot(current_exchange, result))
        co_return result;

    const base::time_point now = steady_clock::now();
    co_await wait_until(current_exchange, now + m_behaviour.next_service_time(now, m_random));
    release_slot();
    if (current_exchange->is_peer_disconnected && !m_behaviour.ignores_cancellation)
    {
        ++m_counts.cancelled;
        co_return result;
    }
    result.reply = make_answer(message, kind, matching_fault);
    if (matching_fault && matching_fault->kind == fault_kind::late)
        co_await wait_until(current_exchange, steady_clock::now() + matching_fault->delay);
    if (matching_fault && matching_fault->kind == fault_kind::truncate)
        result.delivery = answer::delivery_mode::truncated;
    if (matching_fault && matching_fault->kind == fault_kind::lose_reply)
        result.delivery = answer::delivery_mode::none;
    co_return result;
}

void replica::count_arrival()
{
    ++m_counts.requests;
    if (const auto start = m_behaviour.drain_start())
    {
        ++m_counts.requests_while_draining;
        m_counts.last_request_after_drain_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - *start)
                .count();
        if (m_last_counted_drain != start)
            m_counts.first_request_after_drain_ms = m_counts.last_request_after_drain_ms;
        m_last_counted_drain = start;
    }
}

std::optional<replica::answer> replica::check_request(const http::request& message,
                                                      request_kind kind) const
{
    const std::string shard = header(message, "X-Shard");
    if (message.method() != http::verb::post || shard.empty())
        return answer{http::make_text_response(http::status::bad_request,
                                               "POST with the header X-Shard is required\n")};
    if (m_behaviour.refuses_new_requests(steady_clock::now()))
        return answer{make_refusal("the replica is leaving")};
    bool holds_shard = m_behaviour.holds_shard_in_any_version(shard);
    if (kind == request_kind::command && header(message, "Idempotency-Key").empty())
        return answer{http::make_text_response(http::status::bad_request,
                                               "the header Idempotency-Key is required\n")};
    if (kind == request_kind::search)
    {
        const auto version = base::parse_number<std::uint64_t>(header(message, "X-Index-Version"));
        if (!version)
            return answer{http::make_text_response(http::status::bad_request,
                                                   "the header X-Index-Version is required\n")};
        if (!m_behaviour.holds_version(*version))
        {
            answer refusal{http::make_json_response(http::status::conflict,
                                                    R"({"error":{"kind":"version_not_held"}})")};
            refusal.reply.set("X-Index-Versions", m_behaviour.versions_text());
            return refusal;
        }
        holds_shard = m_behaviour.holds_shard(*version, shard);
    }
    if (!holds_shard)
        return answer{http::make_json_response(http::status::misdirected_request,
                                               R"({"error":{"kind":"shard_not_here"}})")};
    return std::nullopt;
}

http::awaitable<bool> replica::wait_for_slot(std::shared_ptr<exchange> current_exchange,
                                             answer& refusal)
{
    const admission decision = m_slots.admit(current_exchange->id);
    m_counts.highest_in_flight =
        std::max<std::uint64_t>(m_counts.highest_in_flight, m_slots.running() + m_slots.waiting());
    if (decision == admission::start)
        co_return true;
    if (decision == admission::refuse)
    {
        ++m_counts.slot_violations;
        ++m_counts.refused;
        refusal.reply = make_refusal("all slots are busy and the queue is full");
        co_return false;
    }
    ++m_counts.queued;
    m_waiting_exchanges.emplace(current_exchange->id, current_exchange);
    const auto deadline_ms =
        base::parse_number<std::uint64_t>(header(current_exchange->message, "X-Deadline-Ms"));
    const bool ends_on_disconnect = !m_behaviour.ignores_cancellation;
    const base::time_point until =
        deadline_ms ? steady_clock::now() + std::chrono::milliseconds{*deadline_ms}
                    : base::time_point::max();
    while (!current_exchange->may_proceed &&
           !(ends_on_disconnect && current_exchange->is_peer_disconnected) &&
           steady_clock::now() < until)
    {
        boost::system::error_code code;
        current_exchange->timer.expires_at(until);
        co_await current_exchange->timer.async_wait(
            asio::redirect_error(asio::use_awaitable, code));
    }
    m_waiting_exchanges.erase(current_exchange->id);
    if (current_exchange->may_proceed)
        co_return true;
    m_slots.remove_waiting(current_exchange->id);
    ++(ends_on_disconnect && current_exchange->is_peer_disconnected ? m_counts.cancelled
                                                                    : m_counts.expired);
    refusal.reply =
        http::make_json_response(http::status::gateway_timeout, R"({"error":{"kind":"timeout"}})");
    refusal.reply.set("X-Not-Run", "true");
    co_return false;
}

http::awaitable<void> replica::wait_until_unfrozen(std::shared_ptr<exchange> current_exchange)
{
    m_waiting_exchanges.emplace(current_exchange->id, current_exchange);
    while (!current_exchange->may_proceed &&
           !(current_exchange->is_peer_disconnected && !m_behaviour.ignores_cancellation))
    {
        boost::system::error_code code;
        current_exchange->timer.expires_at(base::time_point::max());
        co_await current_exchange->timer.async_wait(
            asio::redirect_error(asio::use_awaitable, code));
    }
    m_waiting_exchanges.erase(current_exchange->id);
    current_exchange->may_proceed = false;
}

http::awaitable<void> replica::wait_until(std::shared_ptr<exchange> current_exchange,
                                          base::time_point until)
{
    while (steady_clock::now() < until &&
           !(current_exchange->is_peer_disconnected && !m_behaviour.ignores_cancellation))
    {
        boost::system::error_code code;
        current_exchange->timer.expires_at(until);
        co_await current_exchange->timer.async_wait(
            asio::redirect_error(asio::use_awaitable, code));
    }
}

http::awaitable<bool> replica::send_reply(exchange& current_exchange, answer result)
{
    if (result.delivery == answer::delivery_mode::none)
        co_return false;
    boost::system::error_code code;
    http::response& reply = result.reply;
    for (const char* name : {"X-Request-Id", "X-Sub-Request", "X-Shard"})
        if (const std::string value = header(current_exchange.message, name); !value.empty())
            reply.set(name, value);
    if (m_behaviour.is_draining())
        reply.set("X-Draining", "true");
    if (m_behaviour.request_limit)
        reply.set("X-Request-Limit", fmt::format("{}", *m_behaviour.request_limit));
    reply.version(current_exchange.message.version());
    reply.keep_alive(current_exchange.message.keep_alive());
    reply.prepare_payload();
    if (result.delivery == answer::delivery_mode::truncated)
    {
        std::ostringstream text;
        text << reply;
        const std::string all = text.str();
        co_await asio::async_write(current_exchange.socket,
                                   asio::buffer(all.data(), all.size() - reply.body().size() / 2),
                                   asio::redirect_error(asio::use_awaitable, code));
        co_return false;
    }
    co_await http::beast::http::async_write(current_exchange.socket, reply,
                                            asio::redirect_error(asio::use_awaitable, code));
    if (m_behaviour.repeats_replies)
        current_exchange.repeated_reply = reply;
    co_return !code && reply.keep_alive();
}

void replica::watch_peer(const std::shared_ptr<exchange>& current_exchange)
{
    const std::uint64_t request_number = current_exchange->request_number;
    current_exchange->socket.async_wait(
        http::tcp::socket::wait_read,
        [self = shared_from_this(), current_exchange,
         request_number](const boost::system::error_code& code)
        {
            if (code || !current_exchange->is_working ||
                current_exchange->request_number != request_number)
                return;
            char byte = 0;
            boost::system::error_code peek_code;
            current_exchange->socket.non_blocking(true, peek_code);
            const std::size_t size = current_exchange->socket.receive(
                asio::buffer(&byte, 1), http::tcp::socket::message_peek, peek_code);
            if (peek_code == asio::error::would_block)
                self->watch_peer(current_exchange);
            else if (size == 0)
            {
                current_exchange->is_peer_disconnected = true;
                current_exchange->timer.cancel();
            }
        });
}

void replica::wake(std::uint64_t id)
{
    const auto position = m_waiting_exchanges.find(id);
    if (position == m_waiting_exchanges.end())
        return;
    position->second->may_proceed = true;
    position->second->timer.cancel();
}

void replica::release_slot()
{
    if (const auto next = m_slots.release())
        wake(*next);
}

std::optional<bool> replica::apply(const Json::Value& change, base::error& reason)
{
    const auto result = m_behaviour.apply(change, steady_clock::now(), reason);
    if (!result)
        return std::nullopt;
    m_slots.resize(m_behaviour.slots, m_behaviour.queue);
    while (const auto next = m_slots.start_next())
        wake(*next);
    // "frozen": false also ends the freeze of single requests. Requests in the slot queue keep
    // waiting.
    if (change.isMember("frozen") && !m_behaviour.is_frozen)
    {
        std::vector<std::uint64_t> frozen;
        for (const auto& [id, item] : m_waiting_exchanges)
            if (!m_slots.is_waiting(id))
                frozen.push_back(id);
        for (const std::uint64_t id : frozen)
            wake(id);
    }
    return true;
}

http::response replica::make_answer(const http::request& message, request_kind kind,
                                    const std::optional<fault>& matching_fault)
{
    const std::string request_id = header(message, "X-Request-Id");
    const std::string shard = header(message, "X-Shard");
    std::uint64_t version =
        base::parse_number<std::uint64_t>(header(message, "X-Index-Version")).value_or(0);
    if (matching_fault && matching_fault->kind == fault_kind::wrong_version)
        version = matching_fault->version;
    if (kind == request_kind::command)
        m_counts.add_execution(header(message, "Idempotency-Key"), request_id);
    else
        m_counts.add_answer(request_id, version);
    if (matching_fault && matching_fault->kind == fault_kind::internal_error)
        return http::make_json_response(http::status::internal_server_error,
                                        R"({"error":{"kind":"internal"}})");

    std::string body;
    const std::string identity = fmt::format(
        R"("shard":{},"replica":{},"request_id":{})", Json::valueToQuotedString(shard.c_str()),
        Json::valueToQuotedString(m_name.c_str()), Json::valueToQuotedString(request_id.c_str()));
    const std::string echo =
        Json::valueToQuotedString(message.body().substr(0, max_echo_bytes).c_str());
    if (matching_fault && matching_fault->kind == fault_kind::empty)
        body = R"({"error":{"kind":"internal","message":"the shard failed"}})";
    else if (matching_fault && matching_fault->kind == fault_kind::error_body)
        body = fmt::format(R"({{{},"error":{{"kind":"internal","message":"the shard failed"}}}})",
                           identity);
    else if (kind == request_kind::command)
        body = fmt::format(R"({{{},"ran":true,"echo":{}}})", identity, echo);
    else
        body = fmt::format(R"({{{},"index_version":{},"echo":{}}})", identity, version, echo);

    http::response reply = http::make_json_response(http::status::ok, std::move(body));
    if (kind == request_kind::search)
        reply.set("X-Index-Version", std::to_string(version));
    return reply;
}

http::response replica::make_refusal(std::string_view message) const
{
    http::response reply = http::make_json_response(
        http::status::service_unavailable,
        fmt::format(R"({{"error":{{"kind":"overloaded","message":"{}; come back later"}}}})",
                    message));
    reply.set(http::field::retry_after, std::to_string(m_behaviour.retry_after_s));
    reply.set("X-Not-Run", "true");
    return reply;
}

std::string replica::make_load_report() const
{
    if (m_behaviour.reported_load)
        return rpc::to_text(*m_behaviour.reported_load);
    return fmt::format(R"({{"in_flight":{},"queued":{},"slots":{},"draining":{}}})",
                       m_slots.running(), m_slots.waiting(), m_behaviour.slots,
                       m_behaviour.is_draining());
}

} // namespace ospreystair::standin_upstream
