// Tests of the object store client against the platform stand-in. ctest-label: concurrent

#include <future>
#include <thread>

#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <json/json.h>
#include <rapidcheck/gtest.h>

#include "http/server.hpp"
#include "objects/http_object_store.hpp"
#include "standins/platform/platform_service.hpp"

namespace ospreystair::objects
{

using namespace std::chrono_literals;

// Runs the stand-in in its own thread and the client in the thread of the test.
class http_object_store_test : public testing::Test
{
protected:
    http_object_store_test()
    {
        http::server_options options;
        options.address = http::make_endpoint("127.0.0.1", 0);
        m_server = *http::server::create(
            m_server_context, options,
            [this](const http::request& message, std::shared_ptr<http::exchange_context> exchange)
            { return m_service.answer(message, std::move(exchange)); },
            m_reason);
        m_thread = std::thread([this] { m_server_context.run(); });
        m_store = *http_object_store::create(
            m_context, {{"127.0.0.1", 1}, {"127.0.0.1", m_server->address().port()}}, m_reason);
    }

    ~http_object_store_test() override
    {
        // Connections and their server refer to each other until the connections have ended.
        m_store.reset();
        m_context.restart();
        m_context.run();
        m_server->stop_accepting();
        for (int wait = 0; wait < 2'000 && m_server->connection_count() != 0; ++wait)
            std::this_thread::sleep_for(1ms);
        EXPECT_EQ(m_server->connection_count(), 0U);
        m_server_context.stop();
        m_thread.join();
    }

    template<class Result>
    Result wait_for(http::awaitable<Result> call)
    {
        std::optional<Result> result;
        http::asio::co_spawn(m_context, std::move(call),
                             [&result](std::exception_ptr, Result value)
                             { result.emplace(std::move(value)); });
        m_context.restart();
        while (!result && m_context.run_one() != 0)
        {
        }
        return std::move(*result);
    }

    write_status write(const std::string& key, const std::string& value, std::uint64_t expected,
                       std::chrono::milliseconds time = 2000ms)
    {
        m_reason = {};
        return wait_for(m_store->write(
            key, value, expected, std::chrono::steady_clock::now() + time, m_version, m_reason));
    }

    std::optional<stored_object> read(const std::string& key,
                                      std::chrono::milliseconds time = 2000ms)
    {
        m_reason = {};
        return wait_for(m_store->read(key, std::chrono::steady_clock::now() + time, m_reason));
    }

    std::optional<watch_result> watch(std::chrono::milliseconds wait)
    {
        m_reason = {};
        return wait_for(m_store->watch("k", 1, wait, m_reason));
    }

    // Sends a control body, or reads the counts when the body is empty.
    Json::Value control(const std::string& body)
    {
        http::request message(body.empty() ? http::verb::get : http::verb::post,
                              body.empty() ? "/control/counts" : "/control", 11);
        message.body() = body;
        message.prepare_payload();
        http::exchange_progress progress{};
        const auto reply = wait_for(http::exchange_once(m_context, m_server->address(), message,
                                                        std::chrono::steady_clock::now() + 2s,
                                                        progress, m_reason));
        EXPECT_EQ(reply->result(), http::status::ok) << body;
        Json::Value value;
        Json::Reader().parse(reply->body(), value);
        return value;
    }

    standins::platform_service m_service;
    http::asio::io_context m_server_context{1};
    http::asio::io_context m_context{1};
    base::error m_reason;
    std::shared_ptr<http::server> m_server;
    std::thread m_thread;
    std::unique_ptr<http_object_store> m_store;
    std::uint64_t m_version = 0;
};

// Guards against a client or stand-in whose conditional writes differ from the documented ones.
RC_GTEST_FIXTURE_PROP(http_object_store_test, conditional_changes_follow_a_model, ())
{
    // The model: current version (0: does not exist), last version ever assigned, and value.
    std::uint64_t current_version = 0;
    std::uint64_t last_version = 0;
    std::string value;
    const int steps = *rc::gen::inRange(1, 12);
    for (int step = 0; step < steps; ++step)
    {
        const bool is_match = *rc::gen::arbitrary<bool>();
        const std::uint64_t expected = is_match ? current_version : current_version + 1;
        if (*rc::gen::inRange(0, 3) == 0 && expected != 0)
        {
            const auto status = wait_for(
                m_store->erase("a/b c", expected, std::chrono::steady_clock::now() + 2s, m_reason));
            RC_ASSERT(status == (is_match ? write_status::applied : write_status::conflict));
            current_version = is_match ? 0 : current_version;
        }
        else
        {
            const auto text = *rc::gen::string<std::string>();
            const auto status = write("a/b c", text, expected);
            RC_ASSERT(status == (is_match ? write_status::applied : write_status::conflict));
            if (is_match)
            {
                current_version = ++last_version;
                value = text;
                RC_ASSERT(m_version == current_version);
            }
        }
        const auto object = read("a/b c");
        RC_ASSERT(object.has_value() == (current_version != 0));
        if (object)
            RC_ASSERT(*object == (stored_object{value, current_version}));
    }
}

// Guards against reporting a write as refused although it was applied.
TEST_F(http_object_store_test, write_whose_answer_is_lost_is_unknown)
{
    for (const char* how : {"hang", "error"})
    {
        control(std::string(R"({"lose_answers":1,"lose_prefix":"k","lose_how":")") + how + "\"}");
        EXPECT_EQ(write("other", "1", m_version), write_status::applied);
        EXPECT_EQ(write(std::string("k") + how, "1", 0, 150ms), write_status::unknown);
        EXPECT_EQ(m_reason.kind, base::error_kind::outcome_unknown);
        EXPECT_EQ(read(std::string("k") + how)->value, "1");
    }
}

// Guards against calls that never end, or report a wrong result, while the platform is down.
TEST_F(http_object_store_test, outage_refuses_or_times_out)
{
    control(R"({"outage":"fail"})");
    EXPECT_EQ(write("k", "1", 0), write_status::refused);
    EXPECT_EQ(m_reason.kind, base::error_kind::unreachable);
    control(R"({"outage":"hang"})");
    EXPECT_EQ(write("k", "1", 0, 100ms), write_status::unknown);
    EXPECT_FALSE(read("k", 100ms));
    EXPECT_EQ(m_reason.kind, base::error_kind::timeout);
    control(R"({"outage":"none","latency_ms":50})");
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_FALSE(read("k"));
    EXPECT_EQ(m_reason.kind, base::error_kind::not_found);
    EXPECT_GE(std::chrono::steady_clock::now() - begin, 50ms);
}

// Guards against reporting a write as unknown when the platform cannot be reached at all.
TEST_F(http_object_store_test, write_without_connection_is_refused)
{
    m_store = *http_object_store::create(m_context, {{"127.0.0.1", 1}}, m_reason);
    EXPECT_EQ(write("k", "1", 0), write_status::refused);
    EXPECT_FALSE(http_object_store::create(m_context, {}, m_reason));
}

// Guards against a write that is reported as applied because the platform answered an earlier one
// twice, such as a claim that another VM holds.
TEST_F(http_object_store_test, second_answer_to_one_write_is_not_taken_for_that_to_the_next)
{
    const std::string applied = "HTTP/1.1 200 OK\r\nETag: \"7\"\r\nContent-Length: 0\r\n\r\n";
    const std::string conflict = "HTTP/1.1 412 Precondition Failed\r\nContent-Length: 0\r\n\r\n";
    http::asio::io_context peer_context;
    http::tcp::acceptor acceptor(peer_context, http::make_endpoint("127.0.0.1", 0));
    std::promise<void> is_answered;
    std::promise<void> is_repeated;
    std::thread peer(
        [&]
        {
            boost::system::error_code ignored;
            const auto answer = [&](http::tcp::socket& socket, const std::string& reply)
            {
                http::beast::flat_buffer buffer;
                http::request message;
                http::beast::http::read(socket, buffer, message, ignored);
                http::asio::write(socket, http::asio::buffer(reply), ignored);
            };
            http::tcp::socket first = acceptor.accept();
            answer(first, applied);
            is_answered.get_future().wait();
            http::asio::write(first, http::asio::buffer(applied), ignored);
            is_repeated.set_value();
            http::tcp::socket second = acceptor.accept();
            answer(second, conflict);
        });
    m_store = *http_object_store::create(
        m_context, {{"127.0.0.1", acceptor.local_endpoint().port()}}, m_reason);
    EXPECT_EQ(write("k", "1", 6), write_status::applied);
    is_answered.set_value();
    is_repeated.get_future().wait();
    EXPECT_EQ(write("other", "1", 3), write_status::conflict);
    // Ends the peer's wait for a second connection.
    http::tcp::socket last(m_context);
    last.connect(acceptor.local_endpoint());
    last.close();
    peer.join();
}

// Guards against reads that fail, and writes that are reported as refused, when the platform has
// closed a persistent connection.
TEST_F(http_object_store_test, closed_persistent_connection_fails_no_read_and_refuses_no_write)
{
    EXPECT_EQ(write("k", "1", 0), write_status::applied);
    m_server->abort_connections();
    std::this_thread::sleep_for(20ms);
    EXPECT_EQ(read("k")->value, "1");
    m_server->abort_connections();
    std::this_thread::sleep_for(20ms);
    EXPECT_EQ(write("k", "2", 1), write_status::unknown);
    EXPECT_EQ(write("k", "2", 1), write_status::applied);
}

// Guards against watches that miss a change, or report a change while silent_watches is set.
TEST_F(http_object_store_test, watch_reports_newer_versions_only)
{
    write("k", "1", 0);
    EXPECT_FALSE(watch(50ms)->is_changed);
    control(R"({"silent_watches":true})");
    write("k", "2", 1);
    EXPECT_FALSE(watch(50ms)->is_changed);
    control(R"({"silent_watches":false})");
    EXPECT_EQ(watch(50ms)->object.value, "2");
    EXPECT_EQ(control("")["watches_waiting"].asUInt(), 0U);
}

// Guards against a stand-in that shows a VM list before the configured lag has passed.
TEST_F(http_object_store_test, vm_list_lags_as_set)
{
    const auto list = [this]
    {
        return wait_for(m_store->list_vms(std::chrono::steady_clock::now() + 2s, m_reason));
    };
    control(R"({"vms":[{"vm":"a","data_centre":"d","address":"127.0.0.1:1","state":"live"}]})");
    control(R"({"vm_list_lag_ms":200,"vms":[{"vm":"b","state":"leaving"}]})");
    EXPECT_EQ(list()->front(), (vm_entry{"a", "d", "127.0.0.1:1", false}));
    std::this_thread::sleep_for(250ms);
    EXPECT_TRUE(list()->front().is_leaving);
}

// Guards against wrong call counts and a rate limit that is not enforced.
TEST_F(http_object_store_test, calls_are_counted_and_limited)
{
    write("p/1", "1", 0);
    write("q/1", "1", 0);
    const auto listed =
        wait_for(m_store->list("p/", std::chrono::steady_clock::now() + 2s, m_reason));
    ASSERT_EQ(listed->size(), 1U);
    EXPECT_EQ(listed->front().key, "p/1");
    control(R"({"calls_per_second":1})");
    for (int index = 0; index < 3; ++index)
        read("p/1");
    EXPECT_EQ(m_reason.kind, base::error_kind::overloaded);
    const Json::Value counts = control("");
    EXPECT_EQ(counts["calls"]["write"].asUInt(), 2U);
    EXPECT_EQ(counts["calls"]["read"].asUInt(), 3U);
    EXPECT_EQ(counts["total"].asUInt(), 6U);
    EXPECT_EQ(counts["writes_applied"].asUInt(), 2U);
}

} // namespace ospreystair::objects
