// The audit of a chaos run against exchanges that keep or break one promise each.

#include "tests/chaos/gateway_audit.hpp"

#include <gtest/gtest.h>

namespace ospreystair::chaos
{
namespace
{

using namespace std::chrono_literals;

constexpr unsigned ok = 200;
constexpr unsigned unavailable = 503;

class gateway_audit_test : public testing::Test
{
protected:
    gateway_audit_test() { m_audit.add_generation({"a", "b"}, m_start); }

    /// An answer of both shards of the first generation.
    seen_exchange whole(std::chrono::milliseconds sent_after) const
    {
        seen_exchange result;
        result.id = "x";
        result.sent_at = m_start + sent_after;
        result.ended_at = result.sent_at + 10ms;
        result.answer.status = ok;
        result.answer.is_sent = true;
        result.answer.fields["Part-Stamps"] = "a-0.1.x, b-1.7.x";
        result.answer.body = "0123456789abcde10123456789abcde0";
        return result;
    }

    std::size_t violations(const std::string& promise) const
    {
        return m_audit.violations(promise).size();
    }

    const disturbance_log::time_point m_start{1000s};
    disturbance_log m_disturbances;
    gateway_audit m_audit{m_disturbances};
};

// Guards against an audit that reports sound answers.
TEST_F(gateway_audit_test, whole_answer_of_its_configuration_keeps_all_promises)
{
    m_audit.add_exchange(whole(1s));
    EXPECT_EQ(violations("answers are whole and their own"), 0U);
    EXPECT_EQ(violations("parts and missing parts are one configuration's shards"), 0U);
}

// Guards against an audit that misses parts of other requests, foreign records and wrong counts.
TEST_F(gateway_audit_test, foreign_parts_and_records_and_counts_are_reported)
{
    seen_exchange foreign_part = whole(1s);
    foreign_part.answer.fields["Part-Stamps"] = "a-0.1.x, b-1.7.other";
    m_audit.add_exchange(foreign_part);
    seen_exchange foreign_record = whole(1s);
    foreign_record.answer.body = "0123456789abcde20123456789abcde0";
    m_audit.add_exchange(foreign_record);
    EXPECT_EQ(violations("answers are whole and their own"), 2U);
    seen_exchange uncounted = whole(1s);
    uncounted.answer.fields["Part-Stamps"] = "a-0.1.x";
    uncounted.answer.body = "0123456789abcde0";
    m_audit.add_exchange(uncounted);
    EXPECT_EQ(violations("parts and missing parts are one configuration's shards"), 1U);
}

// Guards against an audit that lets an old configuration pass after its time, or back in.
TEST_F(gateway_audit_test, old_generation_is_reported_when_newer_one_is_due_or_was_seen)
{
    m_audit.add_generation({"c", "d"}, m_start + 10s);
    m_audit.add_exchange(whole(12s));
    EXPECT_EQ(violations("configurations are in force in time"), 0U);
    m_audit.add_exchange(whole(14s));
    EXPECT_EQ(violations("configurations are in force in time"), 1U);
    seen_exchange newer = whole(14s);
    newer.answer.fields["Part-Stamps"] = "c-0.1.x, d-1.7.x";
    m_audit.add_exchange(newer);
    m_audit.add_exchange(whole(15s));
    EXPECT_EQ(violations("configurations never revert"), 1U);
}

// Guards against bounds that are held against a VM or a store that was disturbed.
TEST_F(gateway_audit_test, disturbed_parts_are_not_held_to_bounds)
{
    m_audit.add_generation({"c", "d"}, m_start + 10s);
    m_disturbances.begin(store_part, m_start + 11s);
    m_disturbances.end(store_part, m_start + 12s);
    m_audit.add_exchange(whole(14s));
    EXPECT_EQ(violations("configurations are in force in time"), 0U);
}

// Guards against second executions, false refusals and unanswered requests that go unseen.
TEST_F(gateway_audit_test, second_executions_false_refusals_and_silence_are_reported)
{
    seen_exchange once = whole(1s);
    once.kind = request_kind::once;
    once.answer.status = unavailable;
    m_audit.add_exchange(once);
    m_audit.check_executions({{"x", 2}, {"y", 1}});
    EXPECT_EQ(violations("at most once"), 1U);
    EXPECT_EQ(violations("refused requests have not run"), 1U);
    EXPECT_EQ(violations("only callers' requests run"), 1U);
    seen_exchange silent = whole(1s);
    silent.answer.status = 0;
    m_audit.add_exchange(silent);
    EXPECT_EQ(violations("every request is answered"), 1U);
}

// Guards against repeats that no window of the budget shows.
TEST_F(gateway_audit_test, arrivals_beyond_requests_and_budget_are_reported)
{
    m_audit.add_exchange(whole(1s));
    std::vector<disturbance_log::time_point> arrivals(gateway_audit::repeat_slack, m_start + 1s);
    m_audit.check_repeats("a", arrivals);
    EXPECT_EQ(violations("repeats stay within their budget"), 0U);
    arrivals.insert(arrivals.end(), {m_start + 2s, m_start + 2s});
    m_audit.check_repeats("a", arrivals);
    EXPECT_GT(violations("repeats stay within their budget"), 0U);
}

} // namespace
} // namespace ospreystair::chaos
