// Checks the gateway audit with exchanges that satisfy or violate one invariant each.

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

    /// Returns an exchange answered by both shards of the first generation.
    caller_exchange make_complete_exchange(std::chrono::milliseconds sent_after) const
    {
        caller_exchange result;
        result.id = "x";
        result.sent_at = m_start + sent_after;
        result.ended_at = result.sent_at + 10ms;
        result.answer.status = ok;
        result.answer.is_sent = true;
        result.answer.fields["Part-Stamps"] = "a-0.1.x, b-1.7.x";
        result.answer.body = "00000000000000710000000000000010";
        return result;
    }

    std::size_t violations(const std::string& invariant) const
    {
        return m_audit.violations(invariant).size();
    }

    const disturbance_log::time_point m_start{1000s};
    disturbance_log m_disturbances;
    gateway_audit m_audit{m_disturbances};
};

// Guards against an audit that reports correct answers.
TEST_F(gateway_audit_test, complete_answer_of_its_configuration_violates_nothing)
{
    m_audit.add_exchange(make_complete_exchange(1s));
    EXPECT_EQ(violations("answers are whole and their own"), 0U);
    EXPECT_EQ(violations("parts and missing parts are one configuration's shards"), 0U);
}

// Guards against an audit that misses parts of other requests, foreign records and wrong counts.
TEST_F(gateway_audit_test, foreign_parts_and_records_and_counts_are_reported)
{
    caller_exchange foreign_part = make_complete_exchange(1s);
    foreign_part.answer.fields["Part-Stamps"] = "a-0.1.x, b-1.7.other";
    m_audit.add_exchange(foreign_part);
    caller_exchange foreign_record = make_complete_exchange(1s);
    foreign_record.answer.body = "00000000000000720000000000000010";
    m_audit.add_exchange(foreign_record);
    EXPECT_EQ(violations("answers are whole and their own"), 2U);
    caller_exchange uncounted = make_complete_exchange(1s);
    uncounted.answer.fields["Part-Stamps"] = "a-0.1.x";
    uncounted.answer.body = "0000000000000010";
    m_audit.add_exchange(uncounted);
    EXPECT_EQ(violations("parts and missing parts are one configuration's shards"), 1U);
}

// Guards against an audit that accepts an old configuration after a newer one was due or seen.
TEST_F(gateway_audit_test, old_generation_is_reported_when_newer_one_is_due_or_was_seen)
{
    m_audit.add_generation({"c", "d"}, m_start + 10s);
    m_audit.add_exchange(make_complete_exchange(12s));
    EXPECT_EQ(violations("configurations are in force in time"), 0U);
    m_audit.add_exchange(make_complete_exchange(14s));
    EXPECT_EQ(violations("configurations are in force in time"), 1U);
    caller_exchange newer = make_complete_exchange(14s);
    newer.answer.fields["Part-Stamps"] = "c-0.1.x, d-1.7.x";
    m_audit.add_exchange(newer);
    m_audit.add_exchange(make_complete_exchange(15s));
    EXPECT_EQ(violations("configurations never revert"), 1U);
}

// Guards against time bounds that are applied to a VM or a store that was disturbed.
TEST_F(gateway_audit_test, bounds_are_not_applied_to_disturbed_components)
{
    m_audit.add_generation({"c", "d"}, m_start + 10s);
    m_disturbances.begin(store_component, m_start + 11s);
    m_disturbances.end(store_component, m_start + 12s);
    m_audit.add_exchange(make_complete_exchange(14s));
    EXPECT_EQ(violations("configurations are in force in time"), 0U);
}

// Guards against second executions, false refusals and unanswered requests that are not reported.
TEST_F(gateway_audit_test, second_executions_false_refusals_and_missing_answers_are_reported)
{
    caller_exchange once = make_complete_exchange(1s);
    once.kind = request_kind::once;
    once.answer.status = unavailable;
    m_audit.add_exchange(once);
    m_audit.check_executions({{"x", 2}, {"y", 1}});
    EXPECT_EQ(violations("at most once"), 1U);
    EXPECT_EQ(violations("refused requests have not run"), 1U);
    EXPECT_EQ(violations("only callers' requests run"), 1U);
    caller_exchange unanswered = make_complete_exchange(1s);
    unanswered.answer.status = 0;
    m_audit.add_exchange(unanswered);
    EXPECT_EQ(violations("every request is answered"), 1U);
}

// Guards against an audit that accepts the answer to an earlier attempt, a failure, another
// request's answer or another body as a success.
TEST_F(gateway_audit_test, success_without_sending_of_its_attempt_is_reported)
{
    const auto count_with = [this](const std::function<void(standins::replica_answer&)>& change)
    {
        gateway_audit audit(m_disturbances);
        audit.add_exchange(make_complete_exchange(1s));
        caller_exchange single = make_complete_exchange(1s);
        single.kind = request_kind::single;
        single.answer.fields = {{"Response-Stamp", "b-1.7.x"}};
        single.answer.body = "0000000000000071";
        audit.add_exchange(single);
        std::vector<standins::replica_answer> answers{
            {"a-0", "a-0.1.x", "x", 1, m_start + 1001ms, "", ok, "0000000000000010"},
            {"b-1", "b-1.7.x", "x", 7, m_start + 1001ms, "", ok, "0000000000000071"}};
        change(answers.back());
        audit.check_sources(answers);
        return audit.violations("each success is the answer to a sending of its own attempt")
            .size();
    };
    EXPECT_EQ(count_with([](standins::replica_answer&) {}), 0U);
    EXPECT_EQ(count_with([this](auto& each) { each.arrived_at = m_start + 999ms; }), 2U);
    EXPECT_EQ(count_with([](auto& each) { each.status = unavailable; }), 2U);
    EXPECT_EQ(count_with([](auto& each) { each.request_id = "y"; }), 2U);
    EXPECT_EQ(count_with([](auto& each) { each.body = "0000000000000081"; }), 2U);
    // Once for the receipt and once for the body.
    EXPECT_EQ(count_with([](auto& each) { each.receipt = "b-1.8.x"; }), 4U);
}

// Guards against later failures of a replica that are not listed, and against lists that hold
// answers to the caller's later attempts.
TEST_F(gateway_audit_test, success_before_a_failure_of_its_replica_is_listed)
{
    caller_exchange single = make_complete_exchange(1s);
    single.kind = request_kind::single;
    single.answer.fields = {{"Response-Stamp", "b-1.7.x"}};
    single.answer.body = "0000000000000071";
    const std::vector<standins::replica_answer> answers{
        {"b-1", "b-1.7.x", "x", 7, m_start + 1001ms, "", ok, "0000000000000071"},
        {"b-1", "", "x", 8, m_start + 1020ms, "", unavailable, "failure"}};
    m_audit.add_exchange(single);
    m_audit.check_sources(answers);
    EXPECT_EQ(m_audit.successes_before_failures().size(), 1U);
    gateway_audit repeated(m_disturbances);
    single.is_id_repeated = true;
    repeated.add_exchange(single);
    repeated.check_sources(answers);
    EXPECT_EQ(repeated.successes_before_failures().size(), 0U);
    EXPECT_EQ(violations("each success is the answer to a sending of its own attempt"), 0U);
}

// Guards against repeats beyond the budget that no window reports.
TEST_F(gateway_audit_test, arrivals_beyond_requests_and_budget_are_reported)
{
    m_audit.add_exchange(make_complete_exchange(1s));
    std::vector<disturbance_log::time_point> arrivals(gateway_audit::repeat_slack, m_start + 1s);
    m_audit.check_repeats("a", arrivals);
    EXPECT_EQ(violations("repeats stay within their budget"), 0U);
    arrivals.insert(arrivals.end(), {m_start + 2s, m_start + 2s});
    m_audit.check_repeats("a", arrivals);
    EXPECT_GT(violations("repeats stay within their budget"), 0U);
}

} // namespace
} // namespace ospreystair::chaos
