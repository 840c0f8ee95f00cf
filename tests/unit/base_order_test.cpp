// Turns of flows that wait for the same room.

#include <string>

#include <gtest/gtest.h>

#include "base/fair_order.hpp"

namespace ospreystair::base
{
namespace
{

using order = fair_order<std::string>;

// Guards against a flow that gets more turns because it asks for more.
TEST(fair_order_test, turns_alternate_by_what_flows_were_served)
{
    order turns;
    turns.join("a");
    turns.join("b");
    std::string served;
    for (int index = 0; index < 6; ++index)
    {
        const std::string flow = *turns.next();
        turns.record_served(flow, flow == "a" ? 1 : 2);
        served += flow;
    }
    EXPECT_EQ(served, "abaaba");
}

// Guards against turns that a flow gains by leaving the queue, or by having been away.
TEST(fair_order_test, flow_gains_no_turn_by_leaving)
{
    order turns;
    turns.join("a");
    turns.join("b");
    turns.record_served("a", 1);
    turns.leave("a");
    turns.join("a");
    EXPECT_EQ(turns.next(), "b");
    for (int index = 0; index < 5; ++index)
        turns.record_served("b", 1);
    turns.leave("a");
    turns.join("a");
    turns.record_served("a", 1);
    EXPECT_EQ(turns.next([](const std::string& flow) { return flow != "a"; }), "b");
    turns.leave("a");
    turns.leave("b");
    EXPECT_EQ(turns.next(), std::nullopt);
}

// Guards against a lost turn of a flow that could not use it.
TEST(fair_order_test, refund_gives_the_turn_back)
{
    order turns;
    turns.join("a");
    turns.join("b");
    turns.record_served("a", 1);
    EXPECT_EQ(turns.next(), "b");
    turns.refund("a", 1);
    EXPECT_EQ(turns.next(), "a");
}

} // namespace
} // namespace ospreystair::base
