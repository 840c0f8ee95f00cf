// A server that stops while requests arrive, on one thread, with the order of events given.

#include <memory>
#include <string>

#include <boost/asio/local/connect_pair.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include "http/server.hpp"

namespace ospreystair::http
{
namespace
{

class stopping_server_test : public testing::Test
{
protected:
    using local = asio::local::stream_protocol;

    stopping_server_test()
    {
        server_options options;
        options.address = {asio::ip::make_address("127.0.0.1"), 0};
        base::error reason;
        m_server = *server::create(
            m_context, options,
            [this](const request&, std::shared_ptr<exchange_context>) -> awaitable<response>
            {
                ++m_requests;
                co_return make_json_response(status::ok, "{}");
            },
            reason);
        asio::local::connect_pair(m_event, m_trigger);
        m_event.async_wait(local::socket::wait_read, [this](const boost::system::error_code&)
                           { m_server->stop_accepting(); });
        m_caller.connect(m_server->address());
        // Accepts the connection and waits for a request.
        m_context.poll();
    }

    // One call to the system finds the stop and the request, the stop first.
    void stop_while_request_arrives()
    {
        asio::write(m_trigger, asio::buffer("x", 1));
        asio::write(m_caller, asio::buffer(std::string(
                                  "GET / HTTP/1.1\r\nHost: x\r\nX-Request-Id: a\r\n\r\n")));
        m_context.restart();
        m_context.poll();
    }

    std::string read_answer()
    {
        std::string result(4096, '\0');
        boost::system::error_code code;
        result.resize(m_caller.read_some(asio::buffer(result), code));
        return result;
    }

    asio::io_context m_context;
    asio::io_context m_other_context;
    std::shared_ptr<server> m_server;
    unsigned m_requests = 0;
    local::socket m_event{m_context};
    local::socket m_trigger{m_context};
    tcp::socket m_caller{m_other_context};
};

// Guards against a request that is run although its connection was closed at the same moment, so
// that the caller gets no answer.
TEST_F(stopping_server_test, request_that_has_been_read_is_answered)
{
    stop_while_request_arrives();
    EXPECT_EQ(m_requests, 1U);
    const std::string answer = read_answer();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 OK\r\n")) << answer;
    EXPECT_NE(answer.find("Connection: close\r\n"), std::string::npos) << answer;
}

// Guards against idle connections that stay open when the server stops.
TEST_F(stopping_server_test, idle_connection_is_closed)
{
    asio::write(m_trigger, asio::buffer("x", 1));
    m_context.restart();
    m_context.poll();
    EXPECT_EQ(read_answer(), "");
    EXPECT_EQ(m_requests, 0U);
}

} // namespace
} // namespace ospreystair::http
