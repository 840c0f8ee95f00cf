// Connections and replies of a replica stand-in.

#include "standins/users_platform/replica_standin.hpp"

#include <charconv>
#include <stdexcept>
#include <utility>

#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include "base/hash.hpp"

namespace ospreystair::standins
{

namespace
{

using std::chrono::milliseconds;

constexpr unsigned first_redirect_status = 300;
constexpr milliseconds second_answer_delay{3};

bool crashes_on(const http::request& message, const replica_behaviour& behaviour)
{
    const std::string& text = behaviour.crash_text;
    return !text.empty() && (std::string(message.target()).find(text) != std::string::npos ||
                             message.body().find(text) != std::string::npos);
}

} // namespace

struct replica_standin::session
{
    explicit session(http::tcp::socket accepted) : socket(std::move(accepted))
    {
        boost::system::error_code ignored;
        sender = socket.remote_endpoint(ignored).address().to_string();
    }

    http::tcp::socket socket;
    std::string sender;
    boost::beast::flat_buffer buffer;
    // The last answer, to be sent once more.
    std::string last_answer;
    // Counts the answers kept in `last_answer`.
    std::uint64_t copy_number = 0;
    // The request in progress: its number among all arrivals at the replica, and its time.
    std::uint64_t arrival = 0;
    std::chrono::steady_clock::time_point arrived_at;
};

replica_standin::replica_standin(http::asio::io_context& context, std::string id)
    : m_context(context), m_acceptor(context), m_id(std::move(id)),
      m_random(base::stable_hash(m_id))
{
}

std::optional<std::shared_ptr<replica_standin>>
replica_standin::create(http::asio::io_context& context, replica_identity identity,
                        base::error& reason)
{
    std::shared_ptr<replica_standin> result(new replica_standin(context, std::move(identity.id)));
    if (!result->listen(identity.address, reason))
        return std::nullopt;
    http::asio::co_spawn(
        context, [result] { return result->accept(); }, http::asio::detached);
    return result;
}

bool replica_standin::listen(const http::tcp::endpoint& address, base::error& reason)
{
    boost::system::error_code code;
    m_acceptor.open(address.protocol(), code);
    if (!code)
        m_acceptor.set_option(http::tcp::acceptor::reuse_address(true), code);
    if (!code)
        m_acceptor.bind(address, code);
    if (!code)
        m_acceptor.listen(http::asio::socket_base::max_listen_connections, code);
    if (code)
    {
        base::fail(
            reason, base::error_kind::address_in_use,
            fmt::format("replica {} cannot listen: {}; choose another port", m_id, code.message()));
        return false;
    }
    m_address = m_acceptor.local_endpoint();
    return true;
}

void replica_standin::on_listening(std::function<void(bool is_listening)> action)
{
    m_on_listening = std::move(action);
}

std::string replica_standin::address_text() const
{
    return fmt::format("{}:{}", m_address.address().to_string(), m_address.port());
}

void replica_standin::set_behaviour(replica_behaviour behaviour)
{
    const std::scoped_lock lock(m_mutex);
    m_behaviour = std::move(behaviour);
}

void replica_standin::change_id(std::string id)
{
    const std::scoped_lock lock(m_mutex);
    m_id = std::move(id);
}

void replica_standin::stop()
{
    http::asio::post(m_context, [self = shared_from_this()] { self->close_all(); });
}

void replica_standin::close_all()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    const std::scoped_lock lock(m_mutex);
    for (const auto& client_session : m_sessions)
    {
        client_session->socket.set_option(http::asio::socket_base::linger(true, 0), ignored);
        client_session->socket.close(ignored);
    }
}

void replica_standin::crash(milliseconds restart_delay)
{
    http::asio::post(m_context,
                     [self = shared_from_this(), restart_delay]
                     {
                         // One that is down already stays down for no longer.
                         if (!self->m_acceptor.is_open())
                             return;
                         {
                             const std::scoped_lock lock(self->m_mutex);
                             ++self->m_crashes;
                         }
                         if (self->m_on_listening)
                             self->m_on_listening(false);
                         self->close_all();
                         http::asio::co_spawn(
                             self->m_context,
                             [self, restart_delay] { return self->restart(restart_delay); },
                             http::asio::detached);
                     });
}

http::awaitable<void> replica_standin::restart(milliseconds delay)
{
    const auto self = shared_from_this();
    boost::system::error_code ignored;
    http::asio::steady_timer timer(m_context, delay);
    co_await timer.async_wait(http::asio::redirect_error(http::asio::use_awaitable, ignored));
    base::error reason;
    if (!listen(m_address, reason))
        throw std::runtime_error(reason.message);
    if (m_on_listening)
        m_on_listening(true);
    http::asio::co_spawn(
        m_context, [self] { return self->accept(); }, http::asio::detached);
}

std::vector<request_crash> replica_standin::request_crashes() const
{
    const std::scoped_lock lock(m_mutex);
    return m_request_crashes;
}

std::uint64_t replica_standin::crashes() const
{
    const std::scoped_lock lock(m_mutex);
    return m_crashes;
}

std::map<std::string, unsigned> replica_standin::executions() const
{
    const std::scoped_lock lock(m_mutex);
    return m_executions;
}

std::vector<unsigned> replica_standin::statuses_of(const std::string& request_id) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_statuses.find(request_id);
    return found == m_statuses.end() ? std::vector<unsigned>{} : found->second;
}

std::vector<replica_answer> replica_standin::answers() const
{
    const std::scoped_lock lock(m_mutex);
    return m_answers;
}

std::uint64_t replica_standin::second_copies() const
{
    const std::scoped_lock lock(m_mutex);
    return m_second_copies;
}

std::uint64_t replica_standin::arrivals() const
{
    const std::scoped_lock lock(m_mutex);
    return m_arrivals;
}

std::uint64_t replica_standin::abandoned() const
{
    const std::scoped_lock lock(m_mutex);
    return m_abandoned;
}

std::size_t replica_standin::open_connections() const
{
    const std::scoped_lock lock(m_mutex);
    return m_sessions.size();
}

std::vector<milliseconds> replica_standin::deadlines() const
{
    const std::scoped_lock lock(m_mutex);
    return m_deadlines;
}

std::vector<std::chrono::steady_clock::time_point> replica_standin::arrival_times() const
{
    const std::scoped_lock lock(m_mutex);
    std::vector<std::chrono::steady_clock::time_point> result;
    for (const request_arrival& arrival : m_request_arrivals)
        result.push_back(arrival.time);
    return result;
}

std::vector<request_arrival> replica_standin::request_arrivals() const
{
    const std::scoped_lock lock(m_mutex);
    return m_request_arrivals;
}

http::awaitable<void> replica_standin::accept()
{
    const auto self = shared_from_this();
    while (true)
    {
        boost::system::error_code code;
        http::tcp::socket socket = co_await m_acceptor.async_accept(
            http::asio::redirect_error(http::asio::use_awaitable, code));
        if (code)
            co_return;
        auto client_session = std::make_shared<session>(std::move(socket));
        {
            const std::scoped_lock lock(m_mutex);
            m_sessions.insert(client_session);
        }
        http::asio::co_spawn(
            m_context, [self, client_session] { return self->serve(client_session); },
            [self, client_session](std::exception_ptr)
            {
                const std::scoped_lock lock(self->m_mutex);
                self->m_sessions.erase(client_session);
            });
    }
}

http::awaitable<void> replica_standin::serve(std::shared_ptr<session> client_session)
{
    boost::system::error_code ignored;
    client_session->socket.set_option(http::tcp::no_delay(true), ignored);
    while (co_await serve_one(client_session))
    {
    }
    client_session->socket.close(ignored);
}

std::map<std::string, std::chrono::steady_clock::time_point> replica_standin::work_ends() const
{
    const std::scoped_lock lock(m_mutex);
    return m_work_ends;
}

void replica_standin::choose_faults(replica_behaviour& behaviour)
{
    constexpr std::uint64_t percent = 100;
    constexpr unsigned internal_error = 500;
    const stutter_settings& stutter = behaviour.stutter;
    const std::uint64_t choice = m_random.below(percent);
    if (choice < stutter.refused_percent)
        behaviour.refuses = true;
    else if (choice < stutter.refused_percent + stutter.failed_percent)
        behaviour.status = internal_error;
    behaviour.latency += milliseconds{static_cast<std::int64_t>(
        m_random.below(static_cast<std::uint64_t>(stutter.max_further_latency.count())))};
    const bool is_success = !behaviour.refuses && behaviour.status < first_redirect_status;
    if ((is_success || stutter.repeats_failures) &&
        m_random.below(percent) < stutter.repeated_percent)
        behaviour.repeats_answers_late = true;
}

replica_behaviour replica_standin::record_arrival(session& client_session,
                                                  const http::request& message)
{
    const std::scoped_lock lock(m_mutex);
    client_session.arrival = ++m_arrivals;
    client_session.arrived_at = std::chrono::steady_clock::now();
    const auto text = message["Deadline-Ms"];
    std::int64_t deadline = 0;
    std::from_chars(text.data(), text.data() + text.size(), deadline);
    m_deadlines.emplace_back(deadline);
    replica_behaviour behaviour = m_behaviour;
    if (!m_behaviour.next_statuses.empty())
    {
        constexpr unsigned refusal_status = 503;
        behaviour.status = m_behaviour.next_statuses.front();
        behaviour.refuses = behaviour.status == refusal_status;
        m_behaviour.next_statuses.pop_front();
    }
    choose_faults(behaviour);
    const auto expected = message["Target-Instance"];
    if (!expected.empty() && expected != m_id)
    {
        behaviour = {};
        behaviour.status = 421;
    }
    else if (!behaviour.refuses)
        ++m_executions[std::string(message["Request-Id"])];
    std::string fields;
    for (const auto& item : message)
        fields += std::string(item.name_string()) + ": " + std::string(item.value()) + "\n";
    m_request_arrivals.push_back(
        {client_session.arrived_at, std::string(message["Request-Id"]), client_session.sender,
         behaviour.refuses && !behaviour.retry_after.empty(), std::move(fields), message.body()});
    return behaviour;
}

std::string replica_standin::make_reply_text(const session& client_session,
                                             const http::request& message,
                                             const replica_behaviour& behaviour)
{
    const std::scoped_lock lock(m_mutex);
    constexpr unsigned misdirected = 421;
    const unsigned status = behaviour.refuses ? 503 : behaviour.status;
    m_statuses[std::string(message["Request-Id"])].push_back(status);
    std::string text =
        fmt::format("HTTP/1.1 {:03} Status\r\nRequest-Id: {}\r\nServer-Load: 1,0,2\r\n", status,
                    std::string(message["Request-Id"]));
    if (behaviour.refuses && !behaviour.retry_after.empty())
        text += fmt::format("Retry-After: {}\r\n", behaviour.retry_after);
    if (behaviour.is_leaving)
        text += "Server-Leaving: 1\r\n";
    if (!behaviour.request_limit.empty())
        text += fmt::format("Server-Limit: {}\r\n", behaviour.request_limit);
    std::string receipt;
    if (behaviour.refuses || status == misdirected)
        text += "Not-Executed: 1\r\n";
    else
        receipt = fmt::format("{}.{}.{}", m_id, ++m_receipts, std::string(message["Request-Id"]));
    if (!receipt.empty())
        text += fmt::format("Response-Stamp: {}\r\n", receipt);
    if (behaviour.closes || behaviour.is_unframed)
        text += "Connection: close\r\n";
    std::string body = status < first_redirect_status ? behaviour.body : "failure";
    if (behaviour.numbers_bodies && status < first_redirect_status)
        body = fmt::format("{:0{}}{}", m_receipts, body.size() - 1, body.back());
    m_answers.push_back({m_id, receipt, std::string(message["Request-Id"]), client_session.arrival,
                         client_session.arrived_at, client_session.sender, status, body});
    if (!behaviour.is_unframed)
        text += fmt::format("Content-Length: {}\r\n", body.size());
    return text + "\r\n" + body;
}

http::awaitable<bool> replica_standin::serve_one(std::shared_ptr<session> client_session)
{
    boost::system::error_code code;
    boost::beast::http::request_parser<boost::beast::http::string_body> parser;
    co_await boost::beast::http::async_read(
        client_session->socket, client_session->buffer, parser,
        http::asio::redirect_error(http::asio::use_awaitable, code));
    if (code)
        co_return false;
    const http::request message = parser.release();
    const bool can_continue = co_await handle_request(client_session, message);
    record_work_end(message);
    co_return can_continue;
}

void replica_standin::record_work_end(const http::request& message)
{
    const std::scoped_lock lock(m_mutex);
    m_work_ends[std::string(message["Request-Id"])] = std::chrono::steady_clock::now();
}

http::awaitable<bool> replica_standin::handle_request(std::shared_ptr<session> client_session,
                                                      const http::request& message)
{
    boost::system::error_code code;
    const replica_behaviour behaviour = record_arrival(*client_session, message);
    if (behaviour.latency.count() > 0)
    {
        http::asio::steady_timer timer(m_context, behaviour.latency);
        co_await timer.async_wait(http::asio::redirect_error(http::asio::use_awaitable, code));
    }
    char byte = 0;
    client_session->socket.non_blocking(true, code);
    const std::size_t peeked = client_session->socket.receive(
        boost::asio::buffer(&byte, 1), http::tcp::socket::message_peek, code);
    if (peeked == 0 && code != boost::asio::error::would_block)
    {
        const std::scoped_lock lock(m_mutex);
        ++m_abandoned;
        co_return false;
    }
    if (behaviour.loses_answers)
        co_return false;
    if (behaviour.never_answers)
    {
        // Waits until the other side closes the connection.
        co_await client_session->socket.async_wait(
            http::tcp::socket::wait_read,
            http::asio::redirect_error(http::asio::use_awaitable, code));
        const std::scoped_lock lock(m_mutex);
        ++m_abandoned;
        co_return false;
    }
    if (crashes_on(message, behaviour))
    {
        {
            const std::scoped_lock lock(m_mutex);
            m_request_crashes.push_back(
                {std::chrono::steady_clock::now(), std::string(message["Request-Id"])});
        }
        crash(behaviour.restart_delay);
        // The crash resets the connection.
        co_await client_session->socket.async_wait(
            http::tcp::socket::wait_read,
            http::asio::redirect_error(http::asio::use_awaitable, code));
        co_return false;
    }
    if (behaviour.has_endless_head || behaviour.has_endless_body)
    {
        co_await send_endless_reply(client_session, behaviour.has_endless_body);
        co_return false;
    }
    std::string text = make_reply_text(*client_session, message, behaviour);
    const std::string late = std::exchange(client_session->last_answer, {});
    if (behaviour.repeats_answers_late)
        schedule_copy(client_session, text, behaviour);
    if (!late.empty())
    {
        if (!co_await send(client_session, late))
            co_return false;
        const std::scoped_lock lock(m_mutex);
        ++m_second_copies;
    }
    if (behaviour.truncates)
        text.resize(text.size() - behaviour.body.size() / 2);
    if (behaviour.appends_garbage)
        text += "\x01\x02noise";
    if (!co_await send(client_session, text) || behaviour.truncates || behaviour.is_unframed ||
        behaviour.closes)
        co_return false;
    if (behaviour.repeats_answers)
    {
        http::asio::steady_timer timer(m_context, second_answer_delay);
        co_await timer.async_wait(http::asio::redirect_error(http::asio::use_awaitable, code));
        co_return co_await send(client_session,
                                make_reply_text(*client_session, message, behaviour));
    }
    co_return true;
}

void replica_standin::schedule_copy(const std::shared_ptr<session>& client_session,
                                    const std::string& text, const replica_behaviour& behaviour)
{
    constexpr std::uint64_t percent = 100;
    const auto max_delay = static_cast<std::uint64_t>(behaviour.stutter.max_copy_delay.count());
    client_session->last_answer = text;
    ++client_session->copy_number;
    milliseconds delay{0};
    {
        const std::scoped_lock lock(m_mutex);
        if (max_delay > 0)
            delay = milliseconds{1 + static_cast<std::int64_t>(m_random.below(max_delay))};
        if (m_random.below(percent) < behaviour.stutter.cut_percent)
            client_session->last_answer.resize(1 + m_random.below(text.size() - 1));
    }
    if (max_delay == 0)
        return;
    http::asio::co_spawn(
        m_context,
        [self = shared_from_this(), client_session, delay]
        { return self->send_copy(client_session, delay); },
        http::asio::detached);
}

http::awaitable<void> replica_standin::send_copy(std::shared_ptr<session> client_session,
                                                 milliseconds delay)
{
    const auto self = shared_from_this();
    const std::uint64_t number = client_session->copy_number;
    boost::system::error_code ignored;
    http::asio::steady_timer timer(m_context, delay);
    co_await timer.async_wait(http::asio::redirect_error(http::asio::use_awaitable, ignored));
    if (client_session->copy_number != number)
        co_return;
    // In one piece, so that it does not mix with an answer that is being sent.
    const std::string text = std::exchange(client_session->last_answer, {});
    if (text.empty() || !client_session->socket.is_open())
        co_return;
    client_session->socket.write_some(boost::asio::buffer(text), ignored);
    const std::scoped_lock lock(m_mutex);
    ++m_second_copies;
}

http::awaitable<void> replica_standin::send_endless_reply(std::shared_ptr<session> client_session,
                                                          bool has_endless_body)
{
    // Slower than a fast network, so that the stand-ins of a test keep time for other requests.
    constexpr milliseconds pause{1};
    const std::string noise(16U << 10U, 'x');
    std::string text =
        has_endless_body ? "HTTP/1.1 200 OK\r\n\r\n" : "HTTP/1.1 200 OK\r\nX-Noise: ";
    while (co_await send(client_session, std::exchange(text, noise)))
    {
        boost::system::error_code ignored;
        http::asio::steady_timer timer(m_context, pause);
        co_await timer.async_wait(http::asio::redirect_error(http::asio::use_awaitable, ignored));
    }
}

http::awaitable<bool> replica_standin::send(std::shared_ptr<session> client_session,
                                            std::string text)
{
    boost::system::error_code code;
    co_await boost::asio::async_write(client_session->socket, boost::asio::buffer(text),
                                      http::asio::redirect_error(http::asio::use_awaitable, code));
    co_return !code;
}

} // namespace ospreystair::standins
