// Peers that send bytes without end, in a head or a body, until the other side closes.

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "http/client_connection.hpp"
#include "http/upstream_connection.hpp"

namespace ospreystair::http
{
namespace
{

using namespace std::chrono_literals;

/// What a peer sends first, and then again and again.
struct endless_reply
{
    std::string first;
    std::string repeated;
};

const std::map<std::string, endless_reply>& endless_replies()
{
    static const std::string block(1024, 'a');
    static const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    static const std::map<std::string, endless_reply> result{
        {"noise", {"", block}},
        {"status_line", {"HTTP/1.1 200 ", block}},
        {"field", {"HTTP/1.1 200 OK\r\nX-Long: ", block}},
        {"fields", {"HTTP/1.1 200 OK\r\n", "X-Field: " + block + "\r\n"}},
        {"interim_replies", {"", "HTTP/1.1 100 Continue\r\n\r\n"}},
        {"body", {"HTTP/1.1 200 OK\r\n\r\n", block}},
        {"chunks", {chunked, "400\r\n" + block + "\r\n"}},
        {"chunk_extension", {chunked + "400;x=", block}},
        {"trailer", {chunked + "0\r\n", "X-Field: " + block + "\r\n"}}};
    return result;
}

/// A server whose connections send an endless reply after a request.
class endless_peer
{
public:
    // What is read before a connection is closed is bounded: the largest reply, and the buffers of
    // the sockets.
    static constexpr std::size_t max_sent_bytes = 16U << 20U;

    explicit endless_peer(const endless_reply& reply, std::size_t connections = 1)
        : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        for (std::size_t index = 0; index < connections; ++index)
            m_threads.emplace_back([this, reply] { serve(reply); });
    }
    ~endless_peer() { join(); }

    tcp::endpoint address() const { return m_acceptor.local_endpoint(); }
    std::size_t sent_bytes()
    {
        join();
        return m_sent_bytes.load();
    }

private:
    void serve(const endless_reply& reply)
    {
        tcp::socket socket = m_acceptor.accept();
        std::array<char, 4096> buffer{};
        boost::system::error_code code;
        socket.read_some(asio::buffer(buffer), code);
        m_sent_bytes += asio::write(socket, asio::buffer(reply.first), code);
        std::string many;
        for (int index = 0; index < 16; ++index)
            many += reply.repeated;
        while (!code && m_sent_bytes < 4 * max_sent_bytes)
            m_sent_bytes += asio::write(socket, asio::buffer(many), code);
    }

    void join()
    {
        for (std::thread& each : m_threads)
            if (each.joinable())
                each.join();
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::atomic<std::size_t> m_sent_bytes{0};
    std::vector<std::thread> m_threads;
};

class endless_reply_test : public testing::TestWithParam<std::string>
{
protected:
    const endless_reply& reply() const { return endless_replies().at(GetParam()); }
};

// Guards against memory that grows with what a replica sends, and against a request that waits for
// the end of it.
TEST_P(endless_reply_test, upstream_connection_closes_after_bounded_bytes)
{
    endless_peer peer(reply());
    asio::io_context context;
    upstream_connection::options options;
    options.address = peer.address();
    options.id_field = "X-Request-Id";
    std::size_t results = 0;
    bool has_reply = false;
    const auto connection = upstream_connection::open(
        context, options, [](connect_outcome) {}, [](const std::string&) {});
    upstream_request message;
    message.shared_head = std::make_shared<const std::string>("GET / HTTP/1.1\r\n");
    message.attempt_head = "Host: a\r\n\r\n";
    message.id = "1";
    connection->send(std::move(message),
                     [&](const upstream_result& result)
                     {
                         ++results;
                         has_reply = result.reply != nullptr;
                     });
    context.run_for(20s);
    EXPECT_EQ(results, 1U);
    EXPECT_FALSE(has_reply);
    EXPECT_FALSE(connection->is_open());
    connection->close();
    EXPECT_LE(peer.sent_bytes(), endless_peer::max_sent_bytes);
}

// Guards against the same through the connections of the product's entry and of the store.
TEST_P(endless_reply_test, client_connection_closes_after_bounded_bytes)
{
    endless_peer peer(reply());
    asio::io_context context;
    base::error reason;
    bool is_open = true;
    asio::co_spawn(
        context,
        [&]() -> awaitable<void>
        {
            const auto deadline = std::chrono::steady_clock::now() + 20s;
            auto connection =
                co_await client_connection::connect(context, peer.address(), deadline, reason);
            EXPECT_TRUE(connection);
            auto message = std::make_shared<request>(verb::get, "/", 11);
            exchange_progress progress{};
            co_await (*connection)->exchange(message, deadline, progress, reason);
            is_open = (*connection)->is_open();
            (*connection)->close();
        },
        asio::detached);
    context.run_for(20s);
    EXPECT_FALSE(is_open);
    EXPECT_LE(peer.sent_bytes(), endless_peer::max_sent_bytes);
}

std::vector<std::string> kind_names()
{
    std::vector<std::string> result;
    for (const auto& [name, ignored] : endless_replies())
        result.push_back(name);
    return result;
}

INSTANTIATE_TEST_SUITE_P(kinds, endless_reply_test, testing::ValuesIn(kind_names()),
                         [](const auto& instance) { return instance.param; });

// Guards against memory that is exhausted by the replies of many replicas, each within its own
// limit.
TEST(reply_memory_test, endless_replies_of_many_replicas_together_stay_within_the_budget)
{
    constexpr std::size_t connection_count = 24;
    constexpr std::size_t budget = 8U << 20U;
    endless_peer peer(endless_replies().at("body"), connection_count);
    asio::io_context context;
    const auto memory = std::make_shared<byte_budget>(budget);
    std::size_t highest = 0;
    std::size_t failures = 0;
    std::vector<std::shared_ptr<upstream_connection>> connections;
    for (std::size_t index = 0; index < connection_count; ++index)
    {
        upstream_connection::options options;
        options.address = peer.address();
        options.id_field = "X-Request-Id";
        options.memory = memory;
        connections.push_back(upstream_connection::open(
            context, options, [](connect_outcome) {}, [](const std::string&) {}));
        upstream_request message;
        message.shared_head = std::make_shared<const std::string>("GET / HTTP/1.1\r\n");
        message.attempt_head = "Host: a\r\n\r\n";
        message.id = "1";
        connections.back()->send(std::move(message), [&](const upstream_result&) { ++failures; });
    }
    const auto end = std::chrono::steady_clock::now() + 20s;
    while (failures < connection_count && std::chrono::steady_clock::now() < end)
    {
        context.run_one_for(100ms);
        highest = std::max(highest, memory->used());
    }
    EXPECT_EQ(failures, connection_count);
    EXPECT_GT(highest, 0U);
    EXPECT_LE(highest, budget + connection_count * byte_budget::small_bytes);
    EXPECT_EQ(memory->used(), 0U);
}

} // namespace
} // namespace ospreystair::http
