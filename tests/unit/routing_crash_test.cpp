// Verdicts about requests under which replicas crash.

#include <algorithm>
#include <chrono>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "routing/crash_ledger.hpp"

namespace ospreystair::routing
{
namespace
{

using namespace std::chrono_literals;

class crash_ledger_test : public testing::Test
{
protected:
    /// Records that `count` replicas crash at the same time, 10 ms after they got the request.
    void crash(const base::fingerprint& request, unsigned count = 1)
    {
        for (unsigned index = 0; index < count; ++index)
            m_ledger.record_crash(request, {++m_last_replica, m_now, m_now + 10ms});
        m_now += 10ms;
    }

    crash_verdict verdict(const base::fingerprint& request = deadly) const
    {
        return m_ledger.assess(request, m_now);
    }

    void condemn(const base::fingerprint& request)
    {
        crash(request, 2);
        m_now += 1s;
        crash(request);
    }

    static constexpr base::fingerprint deadly{1, 1};
    static constexpr base::fingerprint innocent{2, 2};
    base::time_point m_now = base::time_point{} + 1000s;
    std::uint64_t m_last_replica = 0;
    crash_ledger m_ledger{7};
};

// Guards against an outage of many replicas that is blamed on the requests which they ran.
TEST_F(crash_ledger_test, one_outage_of_many_replicas_makes_a_request_only_suspected)
{
    crash(deadly, 20);
    m_ledger.record_crash(deadly, {100, m_now + 100ms, m_now + 120ms});
    EXPECT_EQ(verdict(), crash_verdict::suspected);
}

TEST_F(crash_ledger_test, second_trial_condemns_a_request_until_the_block_ends)
{
    condemn(deadly);
    EXPECT_EQ(verdict(), crash_verdict::condemned);
    EXPECT_EQ(verdict(innocent), crash_verdict::clear);
    const base::time_point end = m_ledger.blocked_until(deadly);
    EXPECT_GE(end - m_now, crash_ledger::first_block);
    m_now = end;
    EXPECT_EQ(verdict(), crash_verdict::suspected);
}

TEST_F(crash_ledger_test, crash_after_the_block_condemns_for_longer)
{
    condemn(deadly);
    m_now = m_ledger.blocked_until(deadly);
    crash(deadly);
    EXPECT_EQ(verdict(), crash_verdict::condemned);
    EXPECT_GE(m_ledger.blocked_until(deadly) - m_now, 2 * crash_ledger::first_block - 10ms);
}

// Guards against a verdict that is lost in a burst of overlapping crashes.
TEST_F(crash_ledger_test, overlapping_crashes_after_the_verdict_do_not_lift_it)
{
    condemn(deadly);
    for (unsigned index = 0; index < 100; ++index)
        m_ledger.record_crash(deadly, {1'000 + index, m_now - 50ms, m_now + index * 1ms});
    EXPECT_EQ(verdict(), crash_verdict::condemned);
}

TEST_F(crash_ledger_test, answer_of_a_replica_clears_a_request)
{
    condemn(deadly);
    m_ledger.record_answer(deadly, m_now);
    EXPECT_EQ(verdict(), crash_verdict::clear);
    m_now += 1s;
    crash(deadly, 5);
    EXPECT_EQ(verdict(), crash_verdict::suspected);
}

// Guards against a request that is refused because it ran where another one crashed the replica.
TEST_F(crash_ledger_test, crashes_that_a_condemned_request_explains_are_not_held_against_others)
{
    for (int round = 0; round < 3; ++round)
    {
        m_ledger.record_crash(deadly, {++m_last_replica, m_now, m_now + 10ms});
        m_ledger.record_crash(innocent, {m_last_replica, m_now, m_now + 11ms});
        m_now += 1s;
    }
    crash(deadly);
    EXPECT_EQ(verdict(), crash_verdict::condemned);
    EXPECT_EQ(verdict(innocent), crash_verdict::clear);
}

TEST_F(crash_ledger_test, evidence_expires)
{
    condemn(deadly);
    m_now += crash_ledger::evidence_lifetime;
    EXPECT_EQ(verdict(), crash_verdict::clear);
    m_ledger.remove_expired(m_now);
    EXPECT_EQ(m_ledger.size(), 0U);
}

// Guards against callers that use up the memory with ever new requests.
TEST_F(crash_ledger_test, new_requests_displace_neither_condemned_ones_nor_more_than_the_limit)
{
    condemn(deadly);
    const base::time_point condemned_at = m_now;
    for (std::uint64_t index = 10; index < 10'000; ++index)
        crash({index, index});
    EXPECT_LE(m_ledger.size(), crash_ledger::max_requests);
    EXPECT_EQ(m_ledger.assess(deadly, condemned_at), crash_verdict::condemned);
    EXPECT_EQ(m_ledger.take_changes(8).size(), 8U);
}

TEST_F(crash_ledger_test, reports_carry_the_verdict_to_another_vm_once)
{
    condemn(deadly);
    crash_ledger other(8);
    const auto reports = m_ledger.take_changes(8);
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_FALSE(m_ledger.has_changes());
    EXPECT_TRUE(other.merge(reports.front(), m_now));
    EXPECT_EQ(other.assess(deadly, m_now), crash_verdict::condemned);
    EXPECT_EQ(other.digest(), m_ledger.digest());
    EXPECT_FALSE(other.merge(reports.front(), m_now));
    EXPECT_TRUE(other.has_changes());
}

// Guards against a VM that takes another one's evidence for its own empty ledger.
TEST_F(crash_ledger_test, digest_differs_from_that_of_no_evidence_when_replicas_crash_again)
{
    for (const unsigned trial : {1U, 2U})
    {
        for (const std::uint64_t replica : {1U, 2U})
            m_ledger.record_crash(deadly, {replica, m_now, m_now + 10ms});
        EXPECT_NE(m_ledger.digest(), crash_ledger(8).digest()) << "trial " << trial;
        m_now += 2 * crash_ledger::same_crash_margin;
    }
    EXPECT_EQ(verdict(), crash_verdict::condemned);
}

TEST_F(crash_ledger_test, answer_that_another_vm_reports_clears_older_crashes)
{
    condemn(deadly);
    EXPECT_TRUE(m_ledger.merge({deadly, m_now + 1s, {}}, m_now + 2s));
    EXPECT_EQ(m_ledger.assess(deadly, m_now + 2s), crash_verdict::clear);
}

// Guards against a VM without links that makes all others refuse what they answer all the time.
TEST_F(crash_ledger_test, crashes_before_an_answer_that_this_vm_got_are_not_adopted)
{
    crash_ledger other(8);
    condemn(deadly);
    other.record_answer(deadly, m_now + 5ms);
    for (const crash_report& report : m_ledger.take_changes(8))
        EXPECT_FALSE(other.merge(report, m_now + 10ms));
    EXPECT_EQ(other.assess(deadly, m_now + 10ms), crash_verdict::clear);
    // The VM that reported them hears of the answer.
    const auto answers = other.take_changes(8);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_TRUE(m_ledger.merge(answers.front(), m_now + 20ms));
    EXPECT_EQ(m_ledger.assess(deadly, m_now + 20ms), crash_verdict::clear);
}

// Trials that two VMs hold at the same time are one.
TEST_F(crash_ledger_test, crashes_on_several_vms_at_the_same_time_are_one_trial)
{
    crash_ledger other(8);
    crash(deadly, 3);
    other.record_crash(deadly, {50, m_now - 20ms, m_now + 5ms});
    for (const crash_report& report : other.take_changes(8))
        m_ledger.merge(report, m_now + 10ms);
    EXPECT_EQ(m_ledger.assess(deadly, m_now + 10ms), crash_verdict::suspected);
}

// VMs that hear of the same crashes in different orders come to the same verdict.
RC_GTEST_FIXTURE_PROP(crash_ledger_test, order_of_reports_does_not_change_the_verdict, ())
{
    std::vector<crash_report> reports;
    const auto count = *rc::gen::inRange(1, 12);
    for (int index = 0; index < count; ++index)
    {
        const auto sent_at = m_now + std::chrono::milliseconds{*rc::gen::inRange(0, 3'000)};
        const auto at = sent_at + std::chrono::milliseconds{*rc::gen::inRange(1, 300)};
        reports.push_back(
            {deadly, std::nullopt, {{static_cast<std::uint64_t>(index), sent_at, at}}});
    }
    crash_ledger first(1);
    crash_ledger second(2);
    const base::time_point now = m_now + 4s;
    for (const crash_report& report : reports)
        first.merge(report, now);
    std::reverse(reports.begin(), reports.end());
    for (const crash_report& report : reports)
        second.merge(report, now);
    // They exchange what they kept, as VMs do until their digests are equal.
    for (const crash_report& report : first.reports(8))
        second.merge(report, now);
    for (const crash_report& report : second.reports(8))
        first.merge(report, now);
    RC_ASSERT(first.assess(deadly, now) == second.assess(deadly, now));
}

} // namespace
} // namespace ospreystair::routing
