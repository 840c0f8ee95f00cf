// Queries that arrive past their objective, because they waited for another VM or were sent before.

#include <gtest/gtest.h>

#include "tests/unit/dispatcher_fixture.hpp"

namespace ospreystair::forwarding
{
namespace
{

/// Four shards, each with two replicas that answer after 10 ms. Two parts are enough. Callers wait
/// for one second at first, with an objective of 120 ms.
class late_query_test : public dispatcher_test
{
protected:
    late_query_test()
    {
        add_replicas({{"a", 2}, {"b", 2}, {"c", 2}, {"d", 2}});
        adopt(gather({"a", "b", "c", "d"}, 0.5));
        warm_up();
        m_observer.hedges = 0;
        m_deadline = 600ms;
    }

    void change_shard(const std::string& shard,
                      const std::function<void(replica_behaviour&)>& change)
    {
        for (const char* index : {"1", "2"})
            change(m_transport.behaviours[shard + index]);
    }
};

// Guards against an answer without the parts that take a little longer than usual: the caller gets
// a part of the records and no earlier answer than the objective allows.
TEST_F(late_query_test, parts_that_take_longer_than_usual_are_included)
{
    for (const char* shard : {"c", "d"})
        change_shard(shard, [](replica_behaviour& behaviour) { behaviour.latency = 40ms; });
    const answer result = submit_and_wait();
    EXPECT_EQ(result.kind, answer_kind::gathered);
    EXPECT_EQ(result.missing_parts, 0U);
}

// Guards against requests to more replicas than the route allows: another VM may have sent the
// query to some before.
TEST_F(late_query_test, slow_parts_are_not_sent_to_further_replicas)
{
    for (const char* shard : {"c", "d"})
        change_shard(shard, [](replica_behaviour& behaviour) { behaviour.latency = 40ms; });
    submit_and_wait();
    EXPECT_EQ(m_transport.sent.size(), 4U);
    EXPECT_EQ(m_observer.hedges, 0);
}

// Guards against a late query that waits until its deadline for a shard without a reply.
TEST_F(late_query_test, silent_shard_is_left_out_within_the_objective)
{
    change_shard("d", [](replica_behaviour& behaviour) { behaviour.is_silent = true; });
    const answer result = submit_and_wait();
    EXPECT_EQ(result.kind, answer_kind::gathered);
    EXPECT_EQ(result.missing_parts, 1U);
    EXPECT_LE(m_latency, 120ms);
}

// Guards against an answer that reaches the caller after it has left.
TEST_F(late_query_test, half_of_the_time_is_left_when_the_deadline_is_near)
{
    m_deadline = 100ms;
    change_shard("d", [](replica_behaviour& behaviour) { behaviour.is_silent = true; });
    const answer result = submit_and_wait();
    EXPECT_EQ(result.kind, answer_kind::gathered);
    EXPECT_EQ(result.missing_parts, 1U);
    EXPECT_LE(m_latency, 50ms);
}

} // namespace
} // namespace ospreystair::forwarding
