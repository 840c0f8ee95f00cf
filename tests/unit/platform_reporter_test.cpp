// The log lines by which an answer can be traced to one sending of its request.

#include <array>
#include <chrono>
#include <string>

#include <gtest/gtest.h>
#include <unistd.h>

#include "platform/event_reporter.hpp"

namespace ospreystair::platform
{
namespace
{

using namespace std::chrono_literals;

class event_reporter_test : public testing::Test
{
protected:
    ~event_reporter_test() override
    {
        for (const int descriptor : m_descriptors)
            ::close(descriptor);
    }
    void SetUp() override { ASSERT_NE(m_descriptors[0], m_descriptors[1]); }

    // Returns the reading and the writing end, which are the same when there is no pipe.
    static std::array<int, 2> open_pipe()
    {
        std::array<int, 2> result{};
        return ::pipe(result.data()) == 0 ? result : std::array<int, 2>{};
    }

    static forwarding::answer make_relayed(std::uint32_t sends)
    {
        forwarding::answer result;
        result.kind = forwarding::answer_kind::relayed;
        result.reply.source = {"r-7", sends, 31};
        result.reply.receipt = "r-7.1";
        result.sends = sends;
        result.repeats = sends - 1;
        return result;
    }

    void report(const forwarding::answer& result)
    {
        forwarded_message message;
        message.request_id = "id-1";
        forwarding::route rule;
        rule.objective = 100ms;
        m_reporter.on_answer(message, rule, 1, result, 200, {});
    }

    // Returns what was logged since the last call.
    std::string logged()
    {
        m_log.flush();
        std::array<char, 16384> buffer{};
        // Without this byte the read would wait for an empty log.
        EXPECT_EQ(::write(m_descriptors[1], "\n", 1), 1);
        const ssize_t size = ::read(m_descriptors[0], buffer.data(), buffer.size());
        return {buffer.data(), size > 0 ? static_cast<std::size_t>(size) : 0};
    }

    const std::array<int, 2> m_descriptors = open_pipe();
    observe::metrics m_metrics;
    observe::json_log m_log{m_descriptors[1], "vm-1", "a", {}, observe::log_level::info};
    event_reporter m_reporter{m_log, m_metrics};
};

// Guards against a success that cannot be traced to the sending which it answers.
TEST_F(event_reporter_test, relayed_answer_after_a_repeat_names_its_sending)
{
    report(make_relayed(1));
    logged();
    report(make_relayed(1));
    EXPECT_EQ(logged().find("\"answer\""), std::string::npos) << "sampled";
    report(make_relayed(2));
    EXPECT_NE(logged().find("r-7 sending 2 connection 31 receipt r-7.1"), std::string::npos);
}

// Guards against lines that grow with the number of parts.
TEST_F(event_reporter_test, gathered_answer_names_a_bounded_number_of_repeated_parts)
{
    forwarding::answer result;
    result.kind = forwarding::answer_kind::gathered;
    result.repeats = 10;
    for (std::uint32_t part = 0; part < 10; ++part)
        result.repeated_parts.push_back({{"r", part, part}, "s." + std::to_string(part)});
    report(result);
    const std::string text = logged();
    EXPECT_NE(text.find("receipt s.7, 2 more"), std::string::npos) << text;
    EXPECT_EQ(text.find("receipt s.8"), std::string::npos) << text;
}

// Guards against a log without the answers and failed attempts of a VM whose replicas answer twice.
TEST_F(event_reporter_test, dropped_replies_leave_room_for_other_lines)
{
    forwarding::registration entry;
    entry.id = "r-7";
    entry.service = "s";
    const forwarding::replica target(entry, {});
    for (int index = 0; index < 1'000; ++index)
    {
        m_reporter.on_reply_dropped(target, 31, {200, "id-0", "id-1"});
        m_log.flush();
        if (index % 20 == 0)
            logged();
    }
    report(make_relayed(2));
    EXPECT_NE(logged().find("r-7 sending 2 connection 31 receipt r-7.1"), std::string::npos);
}

} // namespace
} // namespace ospreystair::platform
