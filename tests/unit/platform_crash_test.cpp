// Messages between VMs about requests that crash replicas.

#include <chrono>
#include <string>

#include <gtest/gtest.h>

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

} // namespace
} // namespace ospreystair::platform
