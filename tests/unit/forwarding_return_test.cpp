// Replicas that return from a crash, a release or the loss of their data centre, as a dispatcher
// sends them work again.

#include <algorithm>
#include <chrono>

#include <gtest/gtest.h>

#include "tests/unit/dispatcher_fixture.hpp"

namespace ospreystair::forwarding
{
namespace
{

class replica_return_test : public dispatcher_test
{
protected:
    void SetUp() override
    {
        adopt(single(true));
        add_replicas({{"a", replica_count}});
        warm_up();
    }

    std::shared_ptr<replica> find(const std::string& id) { return m_directory.replicas().at(id); }

    void lose(const std::string& id) { find(id)->record_connect_failure(m_clock.now()); }
    void regain(const std::string& id) { find(id)->record_connected(m_clock.now()); }

    /// Registers a replica as just started, cold for `left`.
    void start_again(const std::string& id, milliseconds left)
    {
        registration entry = find(id)->registry_entry();
        entry.started_at += 1ms;
        entry.warm_up_left = left;
        m_directory.apply_entry(entry, m_clock.now());
        m_dispatcher.on_replica_added(*find(id));
    }

    /// Sends a request every 25 ms and returns the share that went to `ids`.
    double share_of(const std::set<std::string>& ids, base::duration duration)
    {
        m_transport.sent.clear();
        for (const base::time_point end = m_clock.now() + duration; m_clock.now() < end;)
        {
            submit();
            run_for(25ms);
        }
        const auto count = std::count_if(m_transport.sent.begin(), m_transport.sent.end(),
                                         [&](const std::string& id) { return ids.contains(id); });
        return static_cast<double>(count) / static_cast<double>(m_transport.sent.size());
    }

    /// Returns the share that goes to `ids` in the moments after they are reachable again, over
    /// many returns.
    double share_at_first(const std::set<std::string>& ids)
    {
        constexpr int returns = 40;
        double sum = 0;
        for (int index = 0; index < returns; ++index)
        {
            for (const std::string& id : ids)
                lose(id);
            share_of({}, 1s);
            for (const std::string& id : ids)
                regain(id);
            sum += share_of(ids, 50ms);
        }
        return sum / returns;
    }

    static constexpr int replica_count = 3;
    static constexpr double usual_share = 1.0 / replica_count;
};

// Guards against a full share at once after a crash that the registry did not notice.
TEST_F(replica_return_test, replica_back_from_a_crash_starts_low_and_is_soon_back_to_its_share)
{
    EXPECT_LT(share_at_first({"a1"}), 0.6 * usual_share);
    share_of({}, 2s);
    EXPECT_GT(share_of({"a1"}, 2s), 0.6 * usual_share);
}

// Guards against a flood of a data centre's replicas that are reachable again all at once.
TEST_F(replica_return_test, data_centre_that_is_regained_starts_low)
{
    EXPECT_LT(share_at_first({"a1", "a2"}), 0.75 * 2 * usual_share);
    share_of({}, 2s);
    EXPECT_GT(share_of({"a1", "a2"}, 2s), 0.6 * 2 * usual_share);
}

// Guards against a data centre that comes back cold and is idle although it answers in time.
TEST_F(replica_return_test, data_centre_that_returns_cold_and_answers_in_time_is_not_left_idle)
{
    for (const std::string id : {"a1", "a2"})
        start_again(id, 10s);
    EXPECT_GT(share_of({"a1", "a2"}, 2s), 0.3 * 2 * usual_share);
}

// Guards against a replica of a release that stays idle for its whole warm-up although it answers
// in time.
TEST_F(replica_return_test, cold_replica_that_answers_in_time_is_not_left_idle)
{
    start_again("a1", 10s);
    EXPECT_GT(share_of({"a1"}, 2s), 0.3 * usual_share);
    EXPECT_GT(share_of({"a1"}, 2s), 0.6 * usual_share);
}

// Guards against a flood of the replicas that return together while the others have room.
TEST_F(replica_return_test, data_centre_that_returns_cold_and_full_gets_little_work)
{
    for (const std::string id : {"a1", "a2"})
    {
        start_again(id, 10s);
        m_transport.behaviours[id].latency = 40ms;
        load_report full;
        full.running = 2;
        full.waiting = 3;
        full.slots = 2;
        m_transport.behaviours[id].load = full;
    }
    EXPECT_LT(share_of({"a1", "a2"}, 4s), usual_share);
    m_transport.behaviours.clear();
    share_of({}, 8s);
    EXPECT_GT(share_of({"a1", "a2"}, 4s), 0.6 * 2 * usual_share);
}

// Guards against a service without answers because all its replicas are at reduced pace.
TEST_F(replica_return_test, service_whose_replicas_are_all_cold_is_served)
{
    for (const std::string id : {"a1", "a2", "a3"})
        start_again(id, 10s);
    for (int index = 0; index < 20; ++index)
        EXPECT_EQ(submit_and_wait().kind, answer_kind::relayed);
}

// Guards against more requests to a cold replica than its service allows.
TEST_F(replica_return_test, cold_replica_gets_no_more_than_its_limit_until_it_is_warm)
{
    route rule = single(true);
    rule.name = "r";
    rule.host = "h";
    rule.path_prefix = "/";
    service_limits limits;
    limits.name = "a";
    limits.warm_up_requests_per_second = 2;
    base::error reason;
    auto table = route_table::create(1, {rule}, {limits}, {}, reason);
    ASSERT_TRUE(table) << reason.message;
    m_dispatcher.adopt(std::make_shared<const route_table>(std::move(*table)));
    m_dispatcher.set_warm_up_limits({1.5, 1});
    // Cold without a new start, as the replica itself says.
    for (const std::string id : {"a1", "a2", "a3"})
        find(id)->record_warm_up(4s, m_clock.now());
    for (int second = 0; second < 3; ++second)
    {
        share_of({}, 1s);
        for (const std::string id : {"a1", "a2", "a3"})
            EXPECT_LE(std::count(m_transport.sent.begin(), m_transport.sent.end(), id), 4);
    }
    EXPECT_EQ(m_answer->kind, answer_kind::not_run);
    share_of({}, 2s);
    EXPECT_EQ(submit_and_wait().kind, answer_kind::relayed);
}

} // namespace
} // namespace ospreystair::forwarding
