// Tests of the HTTP server and client with malformed and hostile input. ctest-label: concurrent

#include <atomic>
#include <future>
#include <thread>

#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "http/client_connection.hpp"
#include "http/server.hpp"

namespace ospreystair::http
{

using namespace std::chrono_literals;

namespace
{

constexpr auto max_wait = 20s;

// A blocking socket that sends arbitrary bytes, also ones that a correct client never sends.
class raw_client
{
public:
    explicit raw_client(const tcp::endpoint& address) : m_socket(m_context)
    {
        m_socket.connect(address);
    }

    // Returns whether all bytes were written.
    bool send(const std::string& bytes)
    {
        boost::system::error_code code;
        asio::write(m_socket, asio::buffer(bytes), code);
        return !code;
    }

    void shut_down_sending()
    {
        boost::system::error_code ignored;
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
    }

    // Reads until the other side closes the connection.
    std::string read_all()
    {
        std::string result;
        std::array<char, 4096> buffer{};
        boost::system::error_code code;
        while (!code)
            result.append(buffer.data(), m_socket.read_some(asio::buffer(buffer), code));
        return result;
    }

private:
    asio::io_context m_context;
    tcp::socket m_socket;
};

std::string make_post_request(const std::string& body, const std::string& extra_headers = "")
{
    return fmt::format("POST /echo HTTP/1.1\r\nHost: x\r\n{}Content-Length: {}\r\n\r\n{}",
                       extra_headers, body.size(), body);
}

std::size_t count_occurrences(const std::string& text, const std::string& part)
{
    std::size_t count = 0;
    for (auto position = text.find(part); position != std::string::npos;
         position = text.find(part, position + part.size()))
        ++count;
    return count;
}

// Threads that run an io_context for the life of the object.
class context_threads
{
public:
    context_threads()
    {
        for (int number = 0; number < 2; ++number)
            m_threads.emplace_back([this] { m_context.run(); });
    }
    ~context_threads() { join(); }
    // Waits until no work remains; the owner stops its servers first.
    void join()
    {
        m_work.reset();
        for (std::thread& item : m_threads)
            if (item.joinable())
                item.join();
    }
    asio::io_context& context() { return m_context; }

private:
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work{m_context.get_executor()};
    std::vector<std::thread> m_threads;
};

// A server that answers with the body of the request and counts the requests that reach its
// handler, and a well-behaved client that checks whether it still serves others.
class echo_server
{
public:
    static constexpr std::size_t max_body_bytes = 64 << 10;
    static constexpr std::uint32_t max_header_bytes = 4 << 10;

    explicit echo_server(std::chrono::milliseconds receive_timeout = 60s,
                         std::size_t max_connections = 64)
    {
        server_options options;
        options.address = make_endpoint("127.0.0.1", 0);
        options.limits.max_body_bytes = max_body_bytes;
        options.limits.max_header_bytes = max_header_bytes;
        options.limits.idle_timeout = receive_timeout;
        options.limits.receive_timeout = receive_timeout;
        options.max_connections = max_connections;
        base::error reason;
        const auto echo = [this](const request& message,
                                 std::shared_ptr<exchange_context> exchange) -> awaitable<response>
        {
            handled_count.fetch_add(1);
            network_time.store(exchange->network_time());
            co_return make_text_response(status::ok, message.body());
        };
        m_server = server::create(m_threads.context(), options, echo, reason).value_or(nullptr);
        EXPECT_TRUE(m_server) << reason.message;
    }

    // Closes all connections before the context, which their coroutines use, is destroyed.
    ~echo_server()
    {
        m_server->stop_accepting();
        m_server->abort_connections();
        m_threads.join();
    }
    echo_server(const echo_server&) = delete;
    echo_server& operator=(const echo_server&) = delete;

    tcp::endpoint address() const { return m_server->address(); }
    server& http_server() { return *m_server; }

    // Whether a valid request on a new connection is answered.
    bool answers_valid_request()
    {
        const std::string text = fmt::format("unharmed {}", ++m_request_number);
        raw_client client(address());
        return client.send(make_post_request(text, "Connection: close\r\n")) &&
               client.read_all().find(text) != std::string::npos;
    }

    // Waits until the server has `count` connections; returns whether it does.
    bool wait_for_connections(std::size_t count)
    {
        const auto end = std::chrono::steady_clock::now() + max_wait;
        while (m_server->connection_count() != count && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(1ms);
        return m_server->connection_count() == count;
    }

    std::atomic<int> handled_count{0};
    // Network time of the latest request.
    std::atomic<std::chrono::microseconds> network_time{};

private:
    int m_request_number = 0;
    // Joined by ~echo_server, and destroyed after the server, whose sockets belong to the context.
    context_threads m_threads;
    std::shared_ptr<server> m_server;
};

} // namespace

// Guards against a network time of zero, which would leave the network out of the time of an
// answer.
TEST(server_test, exchange_context_has_network_time)
{
    echo_server server;
    EXPECT_TRUE(server.answers_valid_request());
    EXPECT_GT(server.network_time.load(), 0us);
    EXPECT_LT(server.network_time.load(), 1s);
}

// Guards against a crash, a leak or a call of the handler on bytes that are not HTTP.
RC_GTEST_PROP(server_test, random_bytes_are_refused_and_other_connections_are_served, ())
{
    static echo_server server;
    const auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    const int handled_before = server.handled_count.load();
    {
        raw_client client(server.address());
        client.send(bytes + "\r\n\r\n");
        client.shut_down_sending();
        const std::string reply = client.read_all();
        RC_ASSERT(reply.empty() || reply.rfind("HTTP/1.1 400", 0) == 0 ||
                  reply.rfind("HTTP/1.1 431", 0) == 0);
    }
    RC_ASSERT(server.handled_count.load() == handled_before);
    RC_ASSERT(server.answers_valid_request());
    RC_ASSERT(server.wait_for_connections(0));
}

// Guards against a truncated request that is run as if it were complete.
RC_GTEST_PROP(server_test, truncated_request_never_reaches_the_handler, ())
{
    static echo_server server;
    const std::string complete =
        make_post_request("a body of some length", "X-Deadline-Ms: 100\r\n");
    const auto length = *rc::gen::inRange<std::size_t>(0, complete.size());
    const int handled_before = server.handled_count.load();
    {
        raw_client client(server.address());
        client.send(complete.substr(0, length));
        client.shut_down_sending();
        const std::string reply = client.read_all();
        RC_ASSERT(reply.empty() || reply.rfind("HTTP/1.1 400", 0) == 0);
    }
    RC_ASSERT(server.handled_count.load() == handled_before);
    RC_ASSERT(server.wait_for_connections(0));
    RC_ASSERT(server.http_server().request_count() == 0U);
}

// Guards against request headers of unlimited size.
TEST(server_test, headers_beyond_the_limit_are_refused_with_431)
{
    echo_server server;
    raw_client client(server.address());
    client.send("POST /echo HTTP/1.1\r\nHost: x\r\nX-Long: " +
                std::string(2 * echo_server::max_header_bytes, 'a') + "\r\n\r\n");
    EXPECT_EQ(client.read_all().rfind("HTTP/1.1 431", 0), 0U);
    EXPECT_EQ(server.handled_count.load(), 0);
    EXPECT_TRUE(server.answers_valid_request());
}

// Guards against request bodies of unlimited size, with Content-Length and chunked.
TEST(server_test, bodies_beyond_the_limit_are_refused_with_413)
{
    echo_server server;
    for (const bool is_chunked : {false, true})
    {
        raw_client client(server.address());
        const std::size_t size = 2 * echo_server::max_body_bytes;
        client.send(
            is_chunked ? fmt::format("POST /echo HTTP/1.1\r\nHost: x\r\n"
                                     "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}",
                                     size, std::string(size / 4, 'a'))
                       : fmt::format("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n",
                                     size));
        EXPECT_EQ(client.read_all().rfind("HTTP/1.1 413", 0), 0U) << is_chunked;
    }
    EXPECT_EQ(server.handled_count.load(), 0);
    EXPECT_TRUE(server.answers_valid_request());
}

// Guards against a refusal that is lost when the server closes the connection while the caller
// still sends: closing with unread bytes resets the connection.
TEST(server_test, caller_that_sends_an_oversized_body_completely_still_reads_its_refusal)
{
    echo_server server;
    raw_client client(server.address());
    client.send(make_post_request(std::string(16 * echo_server::max_body_bytes, 'a')));
    EXPECT_EQ(client.read_all().rfind("HTTP/1.1 413", 0), 0U);
    EXPECT_EQ(server.handled_count.load(), 0);
}

// Guards against senders that occupy a connection indefinitely by sending one byte at a time.
TEST(server_test, sender_slower_than_the_receive_timeout_is_disconnected)
{
    echo_server server(200ms);
    raw_client slow(server.address());
    const auto end = std::chrono::steady_clock::now() + max_wait;
    while (slow.send("P") && std::chrono::steady_clock::now() < end)
    {
        EXPECT_TRUE(server.answers_valid_request());
        std::this_thread::sleep_for(20ms);
    }
    EXPECT_LT(std::chrono::steady_clock::now(), end);
    EXPECT_TRUE(server.wait_for_connections(0));
}

// Guards against answers that are lost, duplicated or reordered when several requests arrive at
// once.
TEST(server_test, pipelined_requests_are_answered_in_order)
{
    echo_server server;
    constexpr int count = 200;
    std::string bytes;
    for (int number = 0; number < count; ++number)
        bytes += make_post_request(fmt::format("<{}>", number),
                                   number + 1 == count ? "Connection: close\r\n" : "");
    raw_client client(server.address());
    std::thread writer([&] { client.send(bytes); });
    const std::string replies = client.read_all();
    writer.join();
    EXPECT_EQ(count_occurrences(replies, "HTTP/1.1 200"), std::size_t{count});
    std::size_t position = 0;
    for (int number = 0; number < count; ++number)
    {
        position = replies.find(fmt::format("<{}>", number), position);
        ASSERT_NE(position, std::string::npos) << number;
    }
    EXPECT_EQ(server.handled_count.load(), count);
}

// Guards against request smuggling: bytes after a malformed request that are run as a request.
TEST(server_test, request_after_a_malformed_one_is_not_run)
{
    echo_server server;
    raw_client client(server.address());
    client.send("nonsense\r\n\r\n" + make_post_request("smuggled"));
    const std::string reply = client.read_all();
    EXPECT_EQ(reply.rfind("HTTP/1.1 400", 0), 0U) << reply;
    EXPECT_EQ(count_occurrences(reply, "HTTP/1.1 400"), 1U) << reply;
    EXPECT_EQ(count_occurrences(reply, "Content-Length"), 1U) << reply;
    EXPECT_EQ(count_occurrences(reply, "smuggled"), 0U) << reply;
    EXPECT_EQ(server.handled_count.load(), 0);
}

// Guards against request smuggling by two contradicting statements of a request's length.
TEST(server_test, request_with_content_length_and_chunked_encoding_is_not_run)
{
    echo_server server;
    raw_client client(server.address());
    client.send("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n"
                "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n" +
                make_post_request("smuggled", "Connection: close\r\n"));
    client.shut_down_sending();
    EXPECT_EQ(client.read_all().rfind("HTTP/1.1 400", 0), 0U);
    EXPECT_EQ(server.handled_count.load(), 0);
}

// Guards against an unlimited number of connections, and against closed connections that still
// count towards the limit.
TEST(server_test, connections_beyond_the_limit_are_closed_and_slots_are_freed)
{
    constexpr std::size_t limit = 8;
    echo_server server(60s, limit);
    {
        std::vector<std::unique_ptr<raw_client>> clients;
        for (std::size_t number = 0; number < limit; ++number)
            clients.push_back(std::make_unique<raw_client>(server.address()));
        EXPECT_TRUE(server.wait_for_connections(limit));
        raw_client surplus(server.address());
        EXPECT_EQ(surplus.read_all(), "");
        EXPECT_TRUE(server.wait_for_connections(limit));
    }
    EXPECT_TRUE(server.wait_for_connections(0));
    EXPECT_TRUE(server.answers_valid_request());
}

// Exchanges one request with a peer that replies with the given bytes.
class client_connection_test : public testing::Test
{
protected:
    struct exchange_outcome
    {
        std::optional<response> reply;
        base::error reason;
        bool is_open = true;
        std::chrono::steady_clock::duration elapsed{};
    };

    // If `closes_connection`, the peer closes the connection after its bytes; otherwise it keeps it
    // open without sending more.
    exchange_outcome exchange(const std::string& bytes, bool closes_connection,
                              std::chrono::milliseconds timeout = 10s)
    {
        asio::io_context peer_context;
        tcp::acceptor acceptor(peer_context, make_endpoint("127.0.0.1", 0));
        std::promise<void> exchange_finished;
        std::thread peer(
            [&]
            {
                tcp::socket socket = acceptor.accept();
                std::array<char, 4096> buffer{};
                boost::system::error_code ignored;
                socket.read_some(asio::buffer(buffer), ignored);
                asio::write(socket, asio::buffer(bytes), ignored);
                if (!closes_connection)
                    exchange_finished.get_future().wait();
            });
        exchange_outcome result;
        asio::io_context context;
        const tcp::endpoint address = acceptor.local_endpoint();
        const auto run_exchange = [&]() -> awaitable<void>
        {
            const auto start = std::chrono::steady_clock::now();
            const auto deadline = start + timeout;
            auto connection =
                co_await client_connection::connect(context, address, deadline, result.reason);
            if (!connection)
                co_return;
            auto message = std::make_shared<request>(verb::get, "/", 11);
            exchange_progress progress{};
            result.reply =
                co_await (*connection)->exchange(message, deadline, progress, result.reason);
            result.is_open = (*connection)->is_open();
            result.elapsed = std::chrono::steady_clock::now() - start;
            (*connection)->close();
        };
        asio::co_spawn(context, run_exchange, asio::detached);
        context.run();
        exchange_finished.set_value();
        peer.join();
        return result;
    }
};

// Guards against a crash or an untyped failure on bytes that are not HTTP.
RC_GTEST_FIXTURE_PROP(client_connection_test, random_bytes_fail_with_a_typed_error, ())
{
    const auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    const exchange_outcome result = exchange(bytes, true);
    RC_ASSERT(!result.reply);
    RC_ASSERT(!result.is_open);
    RC_ASSERT(result.reason.kind == base::error_kind::protocol ||
              result.reason.kind == base::error_kind::unreachable);
    RC_ASSERT(!result.reason.message.empty());
}

// Guards against a truncated reply that is taken for a complete one.
RC_GTEST_FIXTURE_PROP(client_connection_test, truncated_reply_is_not_accepted, ())
{
    const std::string complete = "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"echo\":\"x\"}";
    const auto length = *rc::gen::inRange<std::size_t>(0, complete.size());
    const exchange_outcome result = exchange(complete.substr(0, length), true);
    RC_ASSERT(!result.reply);
    RC_ASSERT(!result.is_open);
}

// Guards against replies of unlimited size.
TEST_F(client_connection_test, reply_beyond_the_limit_fails_with_protocol)
{
    const exchange_outcome result =
        exchange(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n",
                             2 * client_connection::max_reply_bytes),
                 false);
    EXPECT_FALSE(result.reply);
    EXPECT_EQ(result.reason.kind, base::error_kind::protocol) << result.reason.message;
    EXPECT_FALSE(result.is_open);
}

// Guards against reply headers of unlimited size.
TEST_F(client_connection_test, reply_headers_beyond_the_limit_fail_with_protocol)
{
    const exchange_outcome result =
        exchange("HTTP/1.1 200 OK\r\nX-Long: " + std::string(1 << 20, 'a'), false);
    EXPECT_FALSE(result.reply);
    EXPECT_EQ(result.reason.kind, base::error_kind::protocol) << result.reason.message;
}

// Guards against waiting without limit for a peer that stops in the middle of its reply.
TEST_F(client_connection_test, reply_that_stops_in_the_middle_fails_with_timeout)
{
    const exchange_outcome result =
        exchange("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nabc", false, 200ms);
    EXPECT_FALSE(result.reply);
    EXPECT_EQ(result.reason.kind, base::error_kind::timeout) << result.reason.message;
    EXPECT_FALSE(result.is_open);
    EXPECT_LT(result.elapsed, max_wait);
}

// Guards against a reply with the status of one that was cut off in front of it.
TEST_F(client_connection_test, reply_that_continues_a_cut_one_fails_with_protocol)
{
    const std::string failure = "HTTP/1.1 500 Error\r\nContent-Length: 2\r\n\r\nno";
    for (const std::string cut : {"HTTP/1.1 200 O", "HTTP/1.1 200 OK\r\nServer: a"})
    {
        const exchange_outcome result = exchange(cut + failure, false);
        EXPECT_FALSE(result.reply) << cut;
        EXPECT_EQ(result.reason.kind, base::error_kind::protocol) << result.reason.message;
        EXPECT_FALSE(result.is_open);
    }
}

// Guards against a second reply that the next request on the connection would take for its own
// reply.
TEST_F(client_connection_test, bytes_after_the_reply_close_the_connection)
{
    const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    const exchange_outcome result = exchange(reply + reply, false);
    ASSERT_TRUE(result.reply);
    EXPECT_EQ(result.reply->body(), "ok");
    EXPECT_FALSE(result.is_open);
}

// Guards against an interim reply that is taken for the final one, which the next request on the
// connection then takes for its own reply.
TEST_F(client_connection_test, final_reply_behind_an_interim_one_does_not_answer_the_next_request)
{
    const auto make_reply = [](const std::string& body)
    {
        return fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
    };
    asio::io_context peer_context;
    tcp::acceptor acceptor(peer_context, make_endpoint("127.0.0.1", 0));
    std::thread peer(
        [&]
        {
            tcp::socket socket = acceptor.accept();
            std::array<char, 4096> buffer{};
            boost::system::error_code ignored;
            socket.read_some(asio::buffer(buffer), ignored);
            asio::write(socket, asio::buffer(std::string("HTTP/1.1 103 Early Hints\r\n\r\n")),
                        ignored);
            std::this_thread::sleep_for(50ms);
            asio::write(socket, asio::buffer(make_reply("first")), ignored);
            socket.read_some(asio::buffer(buffer), ignored);
            asio::write(socket, asio::buffer(make_reply("second")), ignored);
            socket.read_some(asio::buffer(buffer), ignored);
        });
    std::vector<std::string> bodies;
    asio::io_context context;
    const auto run_exchanges = [&]() -> awaitable<void>
    {
        const auto deadline = std::chrono::steady_clock::now() + 5s;
        base::error reason;
        auto connection = co_await client_connection::connect(context, acceptor.local_endpoint(),
                                                              deadline, reason);
        if (!connection)
            co_return;
        for (int index = 0; index < 2; ++index)
        {
            auto message = std::make_shared<request>(verb::get, "/", 11);
            exchange_progress progress{};
            const auto reply =
                co_await (*connection)->exchange(message, deadline, progress, reason);
            bodies.push_back(reply ? fmt::format("{} {}", reply->result_int(), reply->body())
                                   : "none");
            asio::steady_timer timer(context, 100ms);
            co_await timer.async_wait(asio::use_awaitable);
        }
        (*connection)->close();
    };
    asio::co_spawn(context, run_exchanges, asio::detached);
    context.run();
    peer.join();
    const std::vector<std::string> expected{"200 first", "200 second"};
    EXPECT_EQ(bodies, expected);
}

} // namespace ospreystair::http
