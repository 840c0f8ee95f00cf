// Replies whose status line or header fields break the grammar of HTTP.

#include <chrono>
#include <map>
#include <string>
#include <thread>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "http/client_connection.hpp"
#include "http/upstream_connection.hpp"

namespace ospreystair::http
{
namespace
{

using namespace std::chrono_literals;

std::string make_reply(const std::string& status, const std::string& line)
{
    return "HTTP/1.1 " + status + " OK\r\nX-Request-Id: 1\r\n" + line +
           "Content-Length: 4\r\n\r\nbody";
}

const std::map<std::string, std::string>& odd_replies()
{
    using namespace std::string_literals;
    static const std::map<std::string, std::string> result{
        {"status_000", make_reply("000", "")},
        {"status_001", make_reply("001", "")},
        {"status_099", make_reply("099", "")},
        {"status_600", make_reply("600", "")},
        {"status_999", make_reply("999", "")},
        {"status_of_two_digits", make_reply("20", "")},
        {"status_of_four_digits", make_reply("2000", "")},
        {"blank_in_name", make_reply("200", "X Odd: 1\r\n")},
        {"blank_behind_name", make_reply("200", "X-Odd : 1\r\n")},
        {"blank_in_front_of_first_name",
         "HTTP/1.1 200 OK\r\n X-Odd: 1\r\nContent-Length: 0\r\n\r\n"},
        {"blank_behind_length", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody"},
        {"tab_in_name", make_reply("200", "X\tOdd: 1\r\n")},
        {"control_byte_in_name", make_reply("200", "X\x01Odd: 1\r\n")},
        {"nul_in_name", make_reply("200", "X\0Odd: 1\r\n"s)},
        {"delete_in_name", make_reply("200", "X\x7fOdd: 1\r\n")},
        {"high_byte_in_name", make_reply("200", "X\xc3Odd: 1\r\n")},
        {"no_name", make_reply("200", ": 1\r\n")},
        {"no_colon", make_reply("200", "X-Odd\r\n")},
        {"control_byte_in_value", make_reply("200", "X-Odd: \x01\r\n")},
        {"bare_return_in_value", make_reply("200", "X-Odd: 1\r2\r\n")},
        {"two_lengths", make_reply("200", "Content-Length: 5\r\n")},
        {"length_with_sign", "HTTP/1.1 200 OK\r\nContent-Length: +4\r\n\r\nbody"},
        {"length_and_chunks", make_reply("200", "Transfer-Encoding: chunked\r\n")}};
    return result;
}

/// A server that answers the first request with given bytes and keeps the connection open until the
/// other side closes it.
class odd_peer
{
public:
    explicit odd_peer(const std::string& bytes)
        : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0}),
          m_thread([this, bytes] { serve(bytes); })
    {
    }
    ~odd_peer() { m_thread.join(); }

    tcp::endpoint address() const { return m_acceptor.local_endpoint(); }

private:
    void serve(const std::string& bytes)
    {
        boost::system::error_code code;
        tcp::socket socket = m_acceptor.accept();
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", code);
        asio::write(socket, asio::buffer(bytes), code);
        std::string rest;
        asio::read_until(socket, asio::dynamic_buffer(rest), "\r\n\r\n", code);
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::thread m_thread;
};

class odd_head_test : public testing::TestWithParam<std::string>
{
protected:
    odd_peer m_peer{odd_replies().at(GetParam())};
};

// Guards against a reply that is no HTTP and that a caller gets as an answer, and against a request
// that waits for another reply until its time is over.
TEST_P(odd_head_test, upstream_connection_fails_at_once)
{
    asio::io_context context;
    upstream_connection::options options;
    options.address = m_peer.address();
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
    context.run_for(3s);
    EXPECT_EQ(results, 1U);
    EXPECT_FALSE(has_reply);
    EXPECT_FALSE(connection->is_open());
    connection->close();
}

// Guards against the same through the connections of the product's entry and of the store.
TEST_P(odd_head_test, client_connection_fails_at_once)
{
    asio::io_context context;
    base::error reason;
    bool has_reply = false;
    bool is_open = true;
    asio::co_spawn(
        context,
        [&]() -> awaitable<void>
        {
            const auto deadline = std::chrono::steady_clock::now() + 3s;
            auto connection =
                co_await client_connection::connect(context, m_peer.address(), deadline, reason);
            EXPECT_TRUE(connection);
            auto message = std::make_shared<request>(verb::get, "/", 11);
            exchange_progress progress{};
            const auto reply =
                co_await (*connection)->exchange(message, deadline, progress, reason);
            has_reply = reply.has_value();
            is_open = (*connection)->is_open();
            (*connection)->close();
        },
        asio::detached);
    context.run_for(5s);
    EXPECT_FALSE(has_reply);
    EXPECT_FALSE(is_open);
    EXPECT_EQ(reason.kind, base::error_kind::protocol) << reason.message;
}

std::vector<std::string> reply_names()
{
    std::vector<std::string> result;
    for (const auto& [name, ignored] : odd_replies())
        result.push_back(name);
    return result;
}

INSTANTIATE_TEST_SUITE_P(replies, odd_head_test, testing::ValuesIn(reply_names()),
                         [](const auto& instance) { return instance.param; });

} // namespace
} // namespace ospreystair::http
