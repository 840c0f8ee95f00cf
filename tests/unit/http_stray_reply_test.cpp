// Replies that answer no request in flight, on a connection that carries requests one after the
// other.

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "http/upstream_connection.hpp"

namespace ospreystair::http
{
namespace
{

using namespace std::chrono_literals;

constexpr auto step_timeout = 5s;

/// A result as the owner of the connection sees it.
struct delivered_result
{
    int sending = 0;
    bool has_reply = false;
    unsigned status = 0;
    std::string body;
    exchange_progress progress = exchange_progress::nothing_sent;
};

/// Body of the reply that the peer makes for one sending of a request.
std::string body_of(int sending)
{
    return fmt::format("made for sending {}", sending);
}

std::string head_of(const std::string& id, int status = 200)
{
    const std::string field = id.empty() ? "" : "X-Request-Id: " + id + "\r\n";
    return fmt::format("HTTP/1.1 {} Status\r\n{}", status, field);
}

std::string make_reply(const std::string& id, int sending, int status = 200)
{
    const std::string body = body_of(sending);
    return head_of(id, status) + fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
}

std::string make_chunked_reply(const std::string& id, int sending)
{
    const std::string body = body_of(sending);
    return head_of(id) + fmt::format("Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n",
                                     body.size(), body);
}

std::string make_reply_without_length(const std::string& id, int sending)
{
    return head_of(id) + "\r\n" + body_of(sending);
}

/// Both ends of connections, all driven by the test's own thread: the connection under test through
/// its context, the peer through blocking calls.
class connection_harness
{
public:
    connection_harness() : m_acceptor(m_peer_context, {asio::ip::make_address("127.0.0.1"), 0})
    {
        open();
    }
    ~connection_harness()
    {
        m_connection->close();
        settle();
    }
    connection_harness(const connection_harness&) = delete;
    connection_harness& operator=(const connection_harness&) = delete;

    upstream_connection& connection() { return *m_connection; }
    const std::vector<delivered_result>& results() const { return m_results; }
    const std::vector<dropped_reply>& dropped() const { return m_dropped; }

    /// Replaces the connection by a new one, which is open afterwards.
    void open(bool is_id_consistent = true)
    {
        start_to_open(is_id_consistent);
        run_until([this] { return m_connection->is_open(); });
    }

    void start_to_open(bool is_id_consistent = true)
    {
        if (m_connection)
            m_connection->close();
        upstream_connection::options options;
        options.address = m_acceptor.local_endpoint();
        options.id_field = "X-Request-Id";
        options.is_id_consistent = is_id_consistent;
        options.on_dropped = [this](const dropped_reply& reply)
        {
            m_dropped.push_back(reply);
        };
        m_connection = upstream_connection::open(
            m_context, options, [](connect_outcome) {}, [](const std::string&) {});
        m_peer = m_acceptor.accept();
        m_peer.set_option(tcp::no_delay(true));
        m_received.clear();
    }

    /// Sends a request and returns the number of this sending.
    int send(const std::string& id, const std::string& body = {},
             std::function<void()> on_result = nullptr)
    {
        const int sending = ++m_last_sending;
        upstream_request message;
        message.shared_head = std::make_shared<const std::string>("POST / HTTP/1.1\r\n");
        message.attempt_head = fmt::format("Content-Length: {}\r\n\r\n", body.size());
        message.body = std::make_shared<const std::string>(body);
        message.id = id;
        m_connection->send(std::move(message),
                           [this, sending, on_result](const upstream_result& result)
                           {
                               add_result(sending, result);
                               if (on_result)
                                   on_result();
                           });
        return sending;
    }

    /// Lets the peer read the head of a request. The body stays unread.
    void read_request()
    {
        boost::system::error_code code;
        const std::size_t size =
            asio::read_until(m_peer, asio::dynamic_buffer(m_received), "\r\n\r\n", code);
        ASSERT_FALSE(code) << code.message();
        m_received.erase(0, size);
    }

    /// Lets the peer send bytes, and the connection read them.
    void write(std::string_view text)
    {
        boost::system::error_code ignored;
        asio::write(m_peer, asio::buffer(text), ignored);
        settle();
    }

    void end_of_stream()
    {
        boost::system::error_code ignored;
        m_peer.shutdown(tcp::socket::shutdown_send, ignored);
        settle();
    }

    /// Sends a request and answers it.
    void exchange(const std::string& id)
    {
        const int sending = send(id);
        read_request();
        write(make_reply(id, sending));
        run_until([this, sending] { return has_result(sending); });
    }

    /// Handles what the connection has received; loopback delivers at once.
    void settle()
    {
        m_context.restart();
        while (m_context.poll() > 0)
            m_context.restart();
    }

    void run_until(const std::function<bool()>& is_reached)
    {
        const auto end = std::chrono::steady_clock::now() + step_timeout;
        while (!is_reached() && std::chrono::steady_clock::now() < end)
        {
            m_context.restart();
            m_context.run_one_for(10ms);
        }
        ASSERT_TRUE(is_reached()) << "nothing happens on the connection";
    }

    bool has_result(int sending) const
    {
        return !m_results.empty() && m_results.back().sending >= sending;
    }

    /// Waits for the result of a sending and returns it.
    delivered_result result_of(int sending)
    {
        run_until([this, sending] { return has_result(sending); });
        for (const delivered_result& each : m_results)
            if (each.sending == sending)
                return each;
        return {};
    }

    void expect_answered(int sending)
    {
        const delivered_result result = result_of(sending);
        EXPECT_TRUE(result.has_reply);
        EXPECT_EQ(result.body, body_of(sending));
        EXPECT_EQ(result.progress, exchange_progress::answered);
    }

    /// Such a request counts as one that may have run.
    void expect_ended_without_reply(int sending)
    {
        const delivered_result result = result_of(sending);
        EXPECT_FALSE(result.has_reply) << "delivered: " << result.status << ", " << result.body;
        EXPECT_EQ(result.progress, exchange_progress::sent);
        EXPECT_FALSE(m_connection->is_free());
    }

private:
    void add_result(int sending, const upstream_result& result)
    {
        delivered_result item;
        item.sending = sending;
        item.progress = result.progress;
        item.has_reply = result.reply != nullptr;
        if (result.reply)
        {
            item.status = result.reply->status();
            item.body = result.reply->take_body();
        }
        m_results.push_back(item);
    }

    asio::io_context m_context;
    asio::io_context m_peer_context;
    tcp::acceptor m_acceptor;
    tcp::socket m_peer{m_peer_context};
    std::string m_received;
    std::shared_ptr<upstream_connection> m_connection;
    std::vector<delivered_result> m_results;
    std::vector<dropped_reply> m_dropped;
    int m_last_sending = 0;
};

class stray_reply_test : public testing::Test, public connection_harness
{
};

class late_copy_test : public testing::TestWithParam<int>, public connection_harness
{
};

// Guards against a late copy of the first answer that ends the second sending of a request, after
// so many others that the connection no longer knows the id.
TEST_P(late_copy_test, copy_after_other_requests_does_not_end_second_sending)
{
    exchange("first");
    for (int index = 0; index < GetParam(); ++index)
        exchange(fmt::format("other-{}", index));
    if (!connection().is_free() || connection().has_carried("first"))
        return;
    const int second = send("first");
    read_request();
    write(make_reply("first", 1));
    write(make_reply("first", second));
    expect_answered(second);
    ADD_FAILURE() << "the connection carries the id a second time";
}

INSTANTIATE_TEST_SUITE_P(counts, late_copy_test, testing::Values(0, 1, 15, 16, 17, 40, 300, 511));

// Guards against an answer of an unknown request that is delivered for the one in flight.
TEST_F(stray_reply_test, reply_without_id_ends_exchange_without_reply)
{
    exchange("first");
    const int sending = send("a");
    read_request();
    write(make_reply("", 77, 500) + make_reply("a", sending));
    expect_ended_without_reply(sending);
}

// Guards against a reply without an id that began before the request was sent.
TEST_F(stray_reply_test, reply_without_id_cut_by_request_ends_exchange_without_reply)
{
    exchange("a");
    const std::string stray = make_reply("", 77);
    write(stray.substr(0, stray.size() / 2));
    const int second = send("b");
    read_request();
    write(stray.substr(stray.size() / 2) + make_reply("b", second));
    expect_ended_without_reply(second);
}

// Guards against a question between VMs that gets no answer: neither side names an id.
TEST_F(stray_reply_test, reply_without_id_is_delivered_where_ids_are_not_consistent)
{
    open(false);
    for (const std::string id : {"", "a"})
    {
        const int sending = send(id);
        read_request();
        write(make_reply("", sending));
        expect_answered(sending);
        EXPECT_TRUE(connection().is_free());
    }
}

// Guards against requests that a replica answers in vain, since it echoes no ids at all.
TEST_F(stray_reply_test, replies_of_a_peer_that_never_echoes_ids_are_delivered)
{
    for (const std::string id : {"a", "b", "c"})
    {
        const int sending = send(id);
        read_request();
        write(make_reply("", sending));
        expect_answered(sending);
    }
}

// Guards against a request without an id that is never answered.
TEST_F(stray_reply_test, reply_without_id_is_delivered_for_request_without_id)
{
    exchange("first");
    const int sending = send("");
    read_request();
    write(make_reply("", sending));
    expect_answered(sending);
}

// Guards against a reply without an id that is kept for the next request.
TEST_F(stray_reply_test, reply_without_id_between_requests_is_dropped)
{
    exchange("a");
    write(make_reply("", 77, 500));
    const int second = send("b");
    read_request();
    write(make_reply("b", second));
    expect_answered(second);
    EXPECT_EQ(dropped().size(), 1U);
}

// Guards against a success with the status of a second answer that was cut off, and the fields and
// the body of the failure behind it.
TEST_F(stray_reply_test, copy_that_ends_anywhere_leaves_no_mixed_reply)
{
    const std::string own = "Response-Stamp: r.1\r\nServer-Load: 1,0,2\r\n";
    for (const bool is_id_first : {true, false})
    {
        const std::string id = "X-Request-Id: a\r\n";
        const std::string copy = "HTTP/1.1 200 OK\r\n" + (is_id_first ? id + own : own + id) +
                                 "Content-Length: 5\r\n\r\nfirst";
        for (std::size_t end = 1; end < copy.size(); ++end)
        {
            open();
            exchange("a");
            const int second = send("b");
            read_request();
            write(copy.substr(0, end) + make_reply("b", second, 500));
            end_of_stream();
            const delivered_result result = result_of(second);
            EXPECT_TRUE(!result.has_reply || result.status == 500)
                << "delivered after " << end << " bytes: " << result.status << ", " << result.body;
        }
    }
}

// Guards against a request that is sent behind the first part of a stray reply, whose rest its own
// reply would become.
TEST_F(stray_reply_test, part_of_a_stray_reply_shows_until_its_end)
{
    const std::string copy = make_reply("a", 1);
    for (std::size_t cut = 1; cut < copy.size(); ++cut)
    {
        open();
        exchange("a");
        EXPECT_FALSE(connection().has_unfinished_reply());
        write(copy.substr(0, cut));
        EXPECT_TRUE(connection().has_unfinished_reply()) << cut;
        write(copy.substr(cut));
        EXPECT_FALSE(connection().has_unfinished_reply()) << cut;
    }
}

// Guards against a connection that is not used for the next request, although it is clean.
TEST_F(stray_reply_test, answered_connection_is_clean_within_the_result_handler)
{
    bool is_unfinished = true;
    const int sending = send(
        "a", {}, [this, &is_unfinished] { is_unfinished = connection().has_unfinished_reply(); });
    read_request();
    write(make_reply("a", sending));
    expect_answered(sending);
    EXPECT_FALSE(is_unfinished);
}

// Guards against replies that are refused for fields which name a protocol.
TEST_F(stray_reply_test, reply_with_protocol_in_a_field_is_delivered)
{
    const int sending = send("a");
    read_request();
    write(head_of("a") + "Via: HTTP/1.1 proxy, HTTP/1.0 2\r\nUpgrade: HTTP/2.0\r\n" +
          fmt::format("Content-Length: {}\r\n\r\n{}", body_of(sending).size(), body_of(sending)));
    expect_answered(sending);
}

// Guards against a request whose replies are all refused, since its caller chose an id that reads
// like a status line and replicas echo it.
TEST_F(stray_reply_test, reply_that_echoes_an_id_like_a_status_line_is_delivered)
{
    const int sending = send("HTTP/1.1 200 a");
    read_request();
    write(make_reply("HTTP/1.1 200 a", sending));
    expect_answered(sending);
    EXPECT_TRUE(connection().is_free());
}

// Guards against a reply whose first half is read while nothing is in flight.
TEST_F(stray_reply_test, copy_cut_by_next_request_is_dropped)
{
    const std::string copy = make_reply("a", 1);
    for (std::size_t cut = 1; cut < copy.size(); ++cut)
    {
        open();
        exchange("a");
        write(copy.substr(0, cut));
        const int second = send("b");
        read_request();
        write(copy.substr(cut));
        write(make_reply("b", second));
        expect_answered(second);
    }
}

// Guards against a copy that hides the reply behind it in one segment.
TEST_F(stray_reply_test, copy_and_next_reply_in_one_segment_are_told_apart)
{
    exchange("a");
    const int second = send("b");
    read_request();
    write(make_reply("a", 1) + make_reply("b", second) + make_reply("b", second));
    expect_answered(second);
    EXPECT_EQ(results().size(), 2U);
    EXPECT_TRUE(connection().is_free());
}

// Guards against bytes behind a copy that change how the next reply is read.
TEST_F(stray_reply_test, bytes_that_are_no_reply_end_exchange_without_reply)
{
    const std::array<std::string, 5> kinds{"x", "xyz", "HTTP/1.1 ", "0\r\n\r\n",
                                           std::string(2, '\0')};
    for (const std::string& bytes : kinds)
    {
        SCOPED_TRACE(bytes);
        open();
        exchange("a");
        const int second = send("b");
        read_request();
        write(make_reply("a", 1) + bytes + make_reply("b", second));
        expect_ended_without_reply(second);
    }
}

// Guards against the same while nothing is in flight: the next request meets the rest.
TEST_F(stray_reply_test, bytes_that_are_no_reply_before_request_end_connection_or_exchange)
{
    exchange("a");
    write(make_reply("a", 1) + "xyz");
    if (!connection().is_free())
        return;
    const int second = send("b");
    read_request();
    write(make_reply("b", second));
    expect_ended_without_reply(second);
}

// Guards against a copy with other framing than its original.
TEST_F(stray_reply_test, chunked_copy_is_dropped)
{
    exchange("a");
    const int second = send("b");
    read_request();
    write(make_chunked_reply("a", 1) + make_chunked_reply("b", second));
    expect_answered(second);
}

// Guards against a copy that is cut between two chunks by the next request.
TEST_F(stray_reply_test, chunked_copy_cut_by_next_request_is_dropped)
{
    const std::string copy = make_chunked_reply("a", 1);
    for (std::size_t cut = 1; cut < copy.size(); ++cut)
    {
        open();
        exchange("a");
        write(copy.substr(0, cut));
        const int second = send("b");
        read_request();
        write(copy.substr(cut) + make_chunked_reply("b", second));
        expect_answered(second);
    }
}

// Guards against a copy whose body takes in the reply behind it and is delivered with it.
TEST_F(stray_reply_test, copy_without_length_ends_exchange_without_reply)
{
    exchange("a");
    const int second = send("b");
    read_request();
    write(make_reply_without_length("a", 1) + make_reply("b", second));
    end_of_stream();
    expect_ended_without_reply(second);
}

// Guards against a body that has the request's own second answer behind it, since the reply has no
// length and ends with its connection.
TEST_F(stray_reply_test, second_answer_is_not_delivered_within_reply_without_length)
{
    exchange("a");
    const int second = send("b");
    read_request();
    write(make_reply_without_length("b", second) + make_reply_without_length("b", second));
    end_of_stream();
    const delivered_result result = result_of(second);
    EXPECT_TRUE(!result.has_reply || result.body == body_of(second))
        << "delivered: " << result.body;
}

// Guards against an interim reply that is taken for the final one, or that makes the next reply
// count for the request.
TEST_F(stray_reply_test, interim_replies_before_copy_and_reply_are_dropped)
{
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string interim_with_id = "HTTP/1.1 103 Early Hints\r\nX-Request-Id: b\r\n\r\n";
    exchange("a");
    const int second = send("b");
    read_request();
    write(interim + make_reply("a", 1) + interim_with_id + make_reply("b", second));
    expect_answered(second);
}

// Guards against a connection that is used again though its request is half sent.
TEST_F(stray_reply_test, early_reply_with_own_id_is_delivered_and_closes_connection)
{
    const int sending = send("a", std::string(32U << 20U, 'x'));
    read_request();
    write(make_reply("a", sending, 413));
    expect_answered(sending);
    EXPECT_FALSE(connection().is_free());
}

// Guards against a copy that ends a request before that is sent whole.
TEST_F(stray_reply_test, early_reply_with_foreign_id_is_dropped)
{
    exchange("a");
    const int second = send("b", std::string(32U << 20U, 'x'));
    read_request();
    write(make_reply("a", 1));
    EXPECT_FALSE(has_result(second));
    write(make_reply("b", second));
    expect_answered(second);
    EXPECT_FALSE(connection().is_free());
}

// Guards against a half-read reply that reaches a later request, or the caller that has left.
TEST_F(stray_reply_test, reply_of_dropped_request_reaches_nobody)
{
    const int first = send("a");
    read_request();
    const std::string reply = make_reply("a", first);
    write(reply.substr(0, reply.size() / 2));
    connection().close();
    EXPECT_FALSE(connection().is_free());
    write(reply.substr(reply.size() / 2));
    EXPECT_TRUE(results().empty());
    open();
    const int second = send("a");
    read_request();
    write(make_reply("a", second));
    expect_answered(second);
    EXPECT_EQ(results().size(), 1U);
}

// Guards against a request that waits for its connection and gets the result of another.
TEST_F(stray_reply_test, request_on_connecting_connection_gets_own_reply)
{
    start_to_open();
    const int first = send("a");
    EXPECT_FALSE(connection().is_open());
    run_until([this] { return connection().is_open(); });
    read_request();
    write(make_reply("z", 77) + make_reply("a", first));
    expect_answered(first);
}

// Guards against a second connection that is made while the result of the first is handled and that
// takes over its reply.
TEST_F(stray_reply_test, request_sent_on_new_connection_from_result_handler_gets_own_reply)
{
    int second = 0;
    const int first = send("a", {},
                           [&]
                           {
                               start_to_open();
                               second = send("a");
                           });
    read_request();
    write(make_reply("a", first) + make_reply("a", first));
    expect_answered(first);
    run_until([this] { return connection().is_open(); });
    read_request();
    write(make_reply("a", second));
    expect_answered(second);
    EXPECT_EQ(results().size(), 2U);
}

// Guards against a copy behind the reply that ends the request that the result handler sends.
TEST_F(stray_reply_test, request_sent_from_result_handler_is_not_ended_by_copy)
{
    int second = 0;
    const int first = send("a", {}, [&] { second = send("b"); });
    read_request();
    write(make_reply("a", first) + make_reply("a", first));
    expect_answered(first);
    EXPECT_FALSE(has_result(second));
    read_request();
    write(make_reply("b", second));
    expect_answered(second);
}

// Guards against any order of requests, replies and strays in which a result holds the reply to
// another sending.
RC_GTEST_PROP(stray_reply_property_test, delivered_reply_is_made_for_its_sending, ())
{
    connection_harness harness;
    // Replies that the peer has made on the current connection, by the request's id.
    std::vector<std::pair<std::string, std::string>> made;
    std::string unsent;
    const auto write_in_parts = [&harness, &unsent](std::size_t kept)
    {
        while (unsent.size() > kept)
        {
            const auto size = *rc::gen::inRange<std::size_t>(1, unsent.size() - kept + 1);
            harness.write(std::string_view(unsent).substr(0, size));
            unsent.erase(0, size);
        }
    };
    const auto add_strays = [&unsent, &made](const std::string& id)
    {
        for (int count = *rc::gen::inRange(0, 4); count > 0; --count)
        {
            const int kind = *rc::gen::inRange(0, 4);
            if (kind == 0)
                unsent += "HTTP/1.1 102 Processing\r\n\r\n";
            else if (kind == 1)
                unsent += make_reply("foreign", 0, 500);
            else if (kind == 2 && !made.empty())
                unsent += made[*rc::gen::inRange<std::size_t>(0, made.size())].second;
            else
                for (const auto& [made_for, reply] : made)
                    unsent += made_for == id ? reply : "";
        }
    };
    const int sendings = *rc::gen::inRange(1, 150);
    for (int index = 0; index < sendings; ++index)
    {
        // Some requests are earlier ones once more.
        const bool is_repeated = index > 0 && *rc::gen::inRange(0, 12) == 0;
        const std::string id =
            fmt::format("id-{}", is_repeated ? *rc::gen::inRange(0, index) : index);
        if (!harness.connection().is_free() || harness.connection().has_carried(id))
        {
            harness.open();
            made.clear();
            unsent.clear();
        }
        const int sending = harness.send(id);
        harness.read_request();
        add_strays(id);
        const bool is_chunked = *rc::gen::arbitrary<bool>();
        made.emplace_back(id, is_chunked
                                  ? make_chunked_reply(id, sending)
                                  : make_reply(id, sending, *rc::gen::element(200, 404, 500)));
        unsent += made.back().second;
        write_in_parts(0);
        const delivered_result result = harness.result_of(sending);
        RC_ASSERT(result.has_reply);
        RC_ASSERT(result.body == body_of(sending));
        // Some strays come while nothing is in flight, the last one cut at any byte.
        add_strays(id);
        if (!unsent.empty())
            write_in_parts(*rc::gen::inRange<std::size_t>(0, unsent.size()));
    }
    RC_ASSERT(harness.results().size() == static_cast<std::size_t>(sendings));
}

} // namespace
} // namespace ospreystair::http
