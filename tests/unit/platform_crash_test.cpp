// Messages between VMs about requests that crash replicas, and their exchange.

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include "http/server.hpp"
#include "platform/crash_exchange.hpp"
#include "platform/crash_message.hpp"

namespace ospreystair::platform
{
namespace
{

using namespace std::chrono_literals;

class crash_message_test : public testing::Test
{
protected:
    std::optional<crash_message> decode(const std::string& text)
    {
        return crash_message::decode(text, m_now, m_reason);
    }

    base::time_point m_now = base::time_point{} + 5000s;
    base::error m_reason;
};

TEST_F(crash_message_test, message_is_read_as_it_was_written)
{
    crash_message message;
    message.digest = 0xabc;
    message.reports.push_back({{1, 2}, m_now - 30s, {{77, m_now - 3s, m_now - 2s}}});
    const auto decoded = decode(message.encode(m_now));
    ASSERT_TRUE(decoded) << m_reason.message;
    EXPECT_EQ(decoded->digest, 0xabcU);
    ASSERT_EQ(decoded->reports.size(), 1U);
    const routing::crash_report& report = decoded->reports.front();
    EXPECT_EQ(report.request, (base::fingerprint{1, 2}));
    EXPECT_EQ(report.answered_at, m_now - 30s);
    ASSERT_EQ(report.crashes.size(), 1U);
    EXPECT_EQ(report.crashes.front().replica, 77U);
    EXPECT_EQ(report.crashes.front().sent_at, m_now - 3s);
    EXPECT_EQ(report.crashes.front().at, m_now - 2s);
}

// Guards against VMs of a later version whose messages this one cannot read.
TEST_F(crash_message_test, unknown_and_malformed_fields_are_skipped)
{
    const auto decoded = decode(R"({"later": 1, "digest": 7, "reports": [
        5, {"request": "zz"}, {"request": "00000000000000010000000000000002", "later": {},
        "answered_age_ms": -1, "crashes": [1, {"replica": "4d", "age_ms": 1e300},
        {"replica": "4d", "sent_age_ms": 20, "age_ms": 10, "later": []}]}]})");
    ASSERT_TRUE(decoded) << m_reason.message;
    ASSERT_EQ(decoded->reports.size(), 1U);
    EXPECT_FALSE(decoded->reports.front().answered_at);
    EXPECT_EQ(decoded->reports.front().crashes.size(), 1U);
}

TEST_F(crash_message_test, text_that_is_no_message_is_refused_with_the_reason)
{
    for (const char* text : {"", "[]", "{}", "{\"reports\": 1}", "\x01\x02"})
        EXPECT_FALSE(decode(text)) << text;
    EXPECT_EQ(m_reason.kind, base::error_kind::invalid_argument);
}

// Guards against messages that make a VM remember more than its limits.
TEST_F(crash_message_test, number_of_reports_and_crashes_in_a_message_is_limited)
{
    crash_message message;
    for (std::uint64_t index = 0; index < 1'000; ++index)
        message.reports.push_back({{index, index},
                                   std::nullopt,
                                   std::vector(100, routing::replica_crash{1, m_now, m_now})});
    const auto decoded = decode(message.encode(m_now));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->reports.size(), 64U);
    EXPECT_EQ(decoded->reports.front().crashes.size(), routing::crash_ledger::max_crashes);
}

/// A VM that has just started, and the others, on loopback.
class new_vm_test : public testing::Test
{
protected:
    static constexpr std::chrono::milliseconds max_wait = 2 * crash_exchange::exchange_timeout;

    // Ends what is in flight, which would not be freed otherwise.
    ~new_vm_test() override
    {
        m_silence.cancel();
        for (const auto& server : m_servers)
        {
            server->stop_accepting();
            server->abort_connections();
        }
        m_context.run_for(50ms);
    }

    void add_other(http::handler_function answer)
    {
        base::error reason;
        http::server_options options;
        options.address = {http::asio::ip::make_address("127.0.0.1"), 0};
        auto created =
            http::server::create(m_context, std::move(options), std::move(answer), reason);
        ASSERT_TRUE(created) << reason.message;
        fleet_vm vm;
        vm.location.name = fmt::format("vm{}", m_vms.size());
        vm.relay_address = fmt::format("127.0.0.1:{}", (*created)->address().port());
        m_vms.push_back(std::move(vm));
        m_servers.push_back(std::move(*created));
        m_peers.adopt_vms("new", m_vms);
    }

    /// Adds VMs of this version, which share one ledger.
    void add_current(int count)
    {
        for (int index = 0; index < count; ++index)
            add_other([this](const auto& received, const auto&) { return answer(received); });
    }

    /// Adds a VM that knows of a request which crashes replicas.
    void add_informed()
    {
        m_known.record_crash({1, 2}, {77, m_clock.now() - 3s, m_clock.now() - 2s});
        add_current(1);
    }

    /// Adds VMs of an earlier version, which do not know the call.
    void add_older(int count)
    {
        for (int index = 0; index < count; ++index)
            add_other([this](const auto&, const auto&) { return refuse(); });
    }

    http::awaitable<http::response> answer(const http::request& received)
    {
        ++m_answers;
        co_return m_other.answer(received);
    }

    http::awaitable<http::response> refuse()
    {
        co_return http::make_json_response(http::status::not_found, "{}");
    }

    http::awaitable<http::response> stay_silent()
    {
        boost::system::error_code ignored;
        co_await m_silence.async_wait(
            http::asio::redirect_error(http::asio::use_awaitable, ignored));
        co_return http::response{};
    }

    template<class Condition>
    bool run_until(std::chrono::milliseconds timeout, Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + timeout;
        while (!condition() && std::chrono::steady_clock::now() < end)
            m_context.run_one_for(1ms);
        return condition();
    }

    http::asio::io_context m_context;
    http::asio::steady_timer m_silence{m_context, 10s};
    base::sampled_clock m_clock;
    base::seeded_random m_random{1};
    observe::json_log m_log{STDERR_FILENO, "new", "a", {}, observe::log_level::error};
    observe::metrics m_metrics;
    event_reporter m_reporter{m_log, m_metrics};
    std::vector<fleet_vm> m_vms;
    std::vector<std::shared_ptr<http::server>> m_servers;
    peer_links m_peers{m_context};
    peer_links m_no_peers{m_context};
    std::size_t m_answers = 0;
    routing::crash_ledger m_known{1};
    crash_exchange m_other{m_context, m_clock, m_random, m_known, m_no_peers, m_reporter};
    routing::crash_ledger m_own{2};
    crash_exchange m_new{m_context, m_clock, m_random, m_own, m_peers, m_reporter};
};

// Guards against a VM that asks one other at random after its start, and runs a deadly request when
// that one is of an earlier version.
TEST_F(new_vm_test, evidence_is_found_at_the_one_vm_that_has_it)
{
    add_informed();
    add_older(20);
    m_new.start();
    EXPECT_TRUE(
        run_until(crash_exchange::initial_interval - 50ms, [this] { return m_own.size() == 1; }));
}

// Guards against callers that arrive before the evidence.
TEST_F(new_vm_test, vm_is_informed_once_it_has_the_evidence)
{
    add_informed();
    add_older(20);
    m_new.start();
    EXPECT_FALSE(m_new.is_informed());
    ASSERT_TRUE(run_until(max_wait, [this] { return m_new.is_informed(); }));
    EXPECT_EQ(m_own.size(), 1U);
}

// Guards against VMs that ask the whole of a large fleet after each start.
TEST_F(new_vm_test, few_answers_suffice)
{
    add_current(20);
    m_new.start();
    ASSERT_TRUE(run_until(max_wait, [this] { return m_new.is_informed(); }));
    run_until(50ms, [] { return false; });
    EXPECT_EQ(m_answers, crash_exchange::fan_out);
}

// Guards against a VM that never serves callers because nobody answers it.
TEST_F(new_vm_test, vm_waits_for_no_answer_that_cannot_come)
{
    m_new.start();
    EXPECT_TRUE(m_new.is_informed());
}

TEST_F(new_vm_test, vm_does_not_wait_for_vms_of_an_earlier_version)
{
    add_older(20);
    m_new.start();
    EXPECT_TRUE(run_until(max_wait, [this] { return m_new.is_informed(); }));
}

TEST_F(new_vm_test, vm_waits_for_a_silent_one_until_its_call_ends)
{
    add_informed();
    add_other([this](const auto&, const auto&) { return stay_silent(); });
    m_new.start();
    EXPECT_FALSE(
        run_until(crash_exchange::exchange_timeout / 2, [this] { return m_new.is_informed(); }));
    EXPECT_EQ(m_own.size(), 1U);
    EXPECT_TRUE(run_until(max_wait, [this] { return m_new.is_informed(); }));
}

} // namespace
} // namespace ospreystair::platform
