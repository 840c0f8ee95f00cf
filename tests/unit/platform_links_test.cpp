// Kept connections between VMs.

#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include "platform/peer_links.hpp"

namespace ospreystair::platform
{
namespace
{

using namespace std::chrono_literals;

/// The links of a VM to another one, which answers one request.
class kept_link_test : public testing::Test
{
protected:
    kept_link_test()
    {
        fleet_vm other;
        other.location.name = "other";
        const auto port = m_acceptor.local_endpoint().port();
        other.relay_address = fmt::format("127.0.0.1:{}", port);
        m_links.adopt_vms("own", {other});
    }

    /// Exchanges one request and keeps the connection that carried it.
    std::shared_ptr<http::upstream_connection> exchange(const std::string& id)
    {
        auto link = m_links.acquire("other", id);
        std::thread other(
            [this]
            {
                m_other = m_acceptor.accept();
                std::string request;
                http::asio::read_until(m_other, http::asio::dynamic_buffer(request), "\r\n\r\n");
                const std::string reply = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                http::asio::write(m_other, http::asio::buffer(reply));
            });
        http::upstream_request message;
        message.shared_head = std::make_shared<const std::string>("GET / HTTP/1.1\r\n");
        message.attempt_head = "\r\n";
        message.id = id;
        bool is_answered = false;
        link->send(std::move(message), [&is_answered](const http::upstream_result& result)
                   { is_answered = result.reply != nullptr; });
        for (int step = 0; step < 500 && !is_answered; ++step)
            m_context.run_one_for(10ms);
        other.join();
        EXPECT_TRUE(is_answered);
        m_links.release("other", link);
        return link;
    }

    http::asio::io_context m_context;
    http::tcp::acceptor m_acceptor{m_context, {http::asio::ip::make_address("127.0.0.1"), 0}};
    http::tcp::socket m_other{m_context};
    peer_links m_links{m_context};
};

// Guards against connections to other VMs that are opened for each request.
TEST_F(kept_link_test, kept_link_is_acquired_for_another_request)
{
    const auto link = exchange("a");
    EXPECT_EQ(m_links.acquire("other", "b"), link);
}

// Guards against an answer to an earlier handover that is taken for that to the next one of the
// same id.
TEST_F(kept_link_test, kept_link_is_not_acquired_for_an_id_that_it_has_carried)
{
    const auto link = exchange("a");
    EXPECT_NE(m_links.acquire("other", "a"), link);
    EXPECT_EQ(m_links.acquire("other", "b"), link);
}

} // namespace
} // namespace ospreystair::platform
