// When the missing parts of a query over many shards count as late by themselves.

#include <gtest/gtest.h>

#include "forwarding/straggler_rule.hpp"

namespace ospreystair::forwarding
{
namespace
{

using namespace std::chrono_literals;

class straggler_rule_test : public testing::Test
{
protected:
    static constexpr std::size_t parts = 90;
    const base::time_point m_start{1000s};
    // A VM with a link of 21 Mbit/s, as traced: replies from 22 ms on, the last of the stream at
    // 68 ms.
    straggler_rule m_rule{m_start, {44ms, 80ms}, 120ms};
};

// Guards against repeats at 90 ms, half of the usual time after the stream, whose replies missed
// the objective.
TEST_F(straggler_rule_test, quarter_of_parts_is_due_soon_after_the_stream)
{
    m_rule.record_end(m_start + 68ms);
    EXPECT_LE(m_rule.due(22, parts), m_start + 76ms);
    EXPECT_GT(m_rule.due(22, parts), m_start + 72ms);
}

// Guards against replies of slow replicas that keep the others from being repeated.
TEST_F(straggler_rule_test, last_parts_are_due_after_twice_the_usual_time_though_replies_trickle)
{
    m_rule.record_end(m_start + 87ms);
    EXPECT_LE(m_rule.due(5, parts), m_start + 88ms);
}

// Guards against a second sending of the whole query when the VM itself is late.
TEST_F(straggler_rule_test, silence_before_half_has_come_must_last_as_long_as_an_overdue_reply)
{
    EXPECT_GE(m_rule.due(parts, parts), m_start + 80ms);
    m_rule.record_end(m_start + 30ms);
    EXPECT_GE(m_rule.due(46, parts), m_start + 110ms);
}

// Guards against a request to a few shards that waits for a stream.
TEST_F(straggler_rule_test, only_missing_part_of_few_is_due_at_once)
{
    EXPECT_LE(m_rule.due(1, 1), m_start);
    EXPECT_LE(m_rule.due(1, 4), m_start);
}

} // namespace
} // namespace ospreystair::forwarding
