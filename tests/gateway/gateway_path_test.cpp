// Requests through a real gateway process on the users' platform: routes, gathered and single
// requests, invalid input and corrupted replies.

#include <gtest/gtest.h>

#include "tests/gateway/platform_fleet.hpp"
#include "tests/integration/test_client.hpp"

namespace ospreystair::testing_support
{
namespace
{

using namespace std::chrono_literals;

class gateway_path_test : public testing::Test
{
protected:
    caller_answer send_request(const std::string& path, const std::string& id = "")
    {
        caller_message message;
        message.path = path;
        message.id = id;
        return m_fleet.send(0, message);
    }

    platform_fleet m_fleet{{}};
};

/// A gateway with one replica of each service.
class gateway_late_copy_test : public testing::Test
{
protected:
    platform_fleet m_fleet{{.replicas = 1}};
};

// Guards against a gathered answer without one receipt from each shard.
TEST_F(gateway_path_test, gathered_query_returns_greatest_records_and_all_receipts)
{
    const caller_answer answer = send_request("/all/q");
    ASSERT_EQ(answer.status, 200U) << answer.reason;
    EXPECT_EQ(answer.receipts().size(), 4U);
    EXPECT_EQ(answer.missing_parts(), 0);
    EXPECT_EQ(answer.body.size(), 4 * 16U);
}

// Guards against a reply that the gateway changes.
TEST_F(gateway_path_test, single_request_returns_replica_reply_unchanged)
{
    const caller_answer answer = send_request("/one/q", "mine");
    ASSERT_EQ(answer.status, 200U) << answer.reason;
    EXPECT_EQ(answer.fields.at("Request-Id"), "mine");
    EXPECT_TRUE(answer.fields.at("Response-Stamp").starts_with("single-"));
    EXPECT_EQ(m_fleet.executions("mine"), 1U);
}

// Guards against invalid input that affects other callers or gets an unspecific error status.
TEST_F(gateway_path_test, bad_requests_get_clear_refusals)
{
    caller_message malformed_deadline;
    malformed_deadline.path = "/one/q";
    malformed_deadline.fields["Deadline-Ms"] = "soon";
    EXPECT_EQ(m_fleet.send(0, malformed_deadline).status, 400U);
    EXPECT_EQ(send_request("/none/q").status, 404U);
    caller_message large_body;
    large_body.path = "/one/q";
    large_body.method = "POST";
    large_body.body = std::string(300'000, 'x');
    EXPECT_EQ(m_fleet.send(0, large_body).status, 413U);
    caller_message large_header;
    large_header.path = "/one/q";
    large_header.fields["Padding"] = std::string(20'000, 'x');
    EXPECT_EQ(m_fleet.send(0, large_header).status, 431U);
    EXPECT_EQ(send_request("/one/q").status, 200U);
}

// Guards against wrong bytes in an answer: a corrupted reply leads to an attempt on another replica
// or to a missing part, never to a success that no replica returned.
TEST_F(gateway_path_test, corrupted_replies_never_reach_callers)
{
    using behaviour = standins::replica_behaviour;
    const std::vector<std::function<void(behaviour&)>> faults = {
        [](behaviour& each) { each.truncates = true; },
        [](behaviour& each) { each.repeats_answers = true; },
        [](behaviour& each) { each.appends_garbage = true; },
        [](behaviour& each) { each.is_unframed = true; },
        [](behaviour& each) { each.loses_answers = true; },
        [](behaviour& each)
        {
            each.status = 500;
        }};
    for (const auto& inject_fault : faults)
    {
        for (std::size_t shard = 0; shard < 4; ++shard)
            m_fleet.change_replica("shard" + std::to_string(shard) + "-0", inject_fault);
        for (int round = 0; round < 30; ++round)
        {
            const caller_answer answer = send_request("/all/q");
            ASSERT_EQ(answer.status, 200U) << answer.body;
            ASSERT_EQ(answer.receipts().size() + static_cast<std::size_t>(answer.missing_parts()),
                      4U);
            ASSERT_EQ(answer.body.size(), 16 * answer.receipts().size());
        }
        m_fleet.change_all_replicas([](behaviour& each)
                                    { each = {.latency = 2ms, .body = each.body}; });
    }
}

// Guards against a second execution of a non-idempotent request, and against a reply which falsely
// states that it was not executed.
TEST_F(gateway_path_test, non_idempotent_request_with_lost_answer_runs_once)
{
    m_fleet.change_all_replicas([](auto& each) { each.loses_answers = true; });
    caller_message message;
    message.path = "/once/q";
    message.method = "POST";
    message.body = "booking";
    message.id = "once";
    const caller_answer answer = m_fleet.send(0, message);
    EXPECT_EQ(answer.status, 502U);
    EXPECT_EQ(m_fleet.executions("once"), 1U);
}

// Guards against orders that run twice, or that are refused and have run: a second copy of a
// refusal was taken for the answer to the same order, which had been sent again on its connection.
TEST_F(gateway_late_copy_test, late_copy_of_a_refusal_does_not_answer_the_next_sending)
{
    caller_message message;
    message.path = "/once/q";
    message.method = "POST";
    message.body = "booking";
    for (int round = 0; round < 20; ++round)
    {
        m_fleet.change_replica("single-0",
                               [](auto& each)
                               {
                                   each.latency = 20ms;
                                   each.next_statuses = {503};
                                   each.repeats_answers_late = true;
                               });
        message.id = "order-" + std::to_string(round);
        const caller_answer answer = m_fleet.send(0, message);
        EXPECT_EQ(answer.status, 200U) << answer.reason;
        std::this_thread::sleep_for(50ms);
        EXPECT_EQ(m_fleet.executions(message.id), 1U) << message.id;
    }
}

// Guards against a success where the replica's answer was a failure: the answer to one sending was
// taken for that to the next, which ended otherwise.
TEST_F(gateway_late_copy_test, success_is_the_answer_to_the_last_sending)
{
    caller_message message;
    message.path = "/one/q";
    for (int round = 0; round < 20; ++round)
    {
        m_fleet.change_replica("single-0",
                               [](auto& each)
                               {
                                   each.latency = 20ms;
                                   each.next_statuses = {503, 200, 500};
                                   each.repeats_answers_late = true;
                               });
        message.id = "read-" + std::to_string(round);
        const caller_answer answer = m_fleet.send(0, message);
        EXPECT_EQ(answer.status, 200U) << answer.reason;
        std::this_thread::sleep_for(50ms);
        EXPECT_EQ(m_fleet.replica("single-0").statuses_of(message.id),
                  (std::vector<unsigned>{503, 200}))
            << message.id;
    }
}

// Guards against a 503 without Retry-After for a request that no replica has run.
TEST_F(gateway_path_test, request_refused_by_all_replicas_gets_retry_after)
{
    m_fleet.change_all_replicas([](auto& each) { each.refuses = true; });
    caller_message message;
    message.path = "/once/q";
    message.id = "refused";
    const caller_answer answer = m_fleet.send(0, message);
    EXPECT_EQ(answer.status, 503U);
    EXPECT_EQ(m_fleet.executions("refused"), 0U);
    const double seconds = std::stod(answer.fields.at("Retry-After"));
    EXPECT_GT(seconds, 0.0);
    EXPECT_LT(seconds, 0.334);
}

// Guards against answers that wait for replicas which no longer answer.
TEST_F(gateway_path_test, silent_replica_of_each_shard_leaves_answers_complete)
{
    for (int round = 0; round < 20; ++round)
        send_request("/all/q");
    for (std::size_t shard = 0; shard < 4; ++shard)
        m_fleet.change_replica("shard" + std::to_string(shard) + "-0",
                               [](auto& each) { each.never_answers = true; });
    for (int round = 0; round < 20; ++round)
    {
        const caller_answer answer = send_request("/all/q");
        EXPECT_EQ(answer.status, 200U);
        EXPECT_EQ(answer.missing_parts(), 0);
        EXPECT_LT(answer.elapsed, 200ms);
    }
}

// Guards against memory that grows with the endless replies of replicas, and against queries that
// wait for their end.
TEST_F(gateway_path_test, endless_replies_cost_bounded_memory_and_leave_answers_complete)
{
    for (int round = 0; round < 20; ++round)
        send_request("/all/q");
    for (std::size_t shard = 0; shard < 4; ++shard)
        m_fleet.change_replica("shard" + std::to_string(shard) + "-0",
                               [shard](auto& each)
                               {
                                   each.has_endless_head = shard % 2 == 0;
                                   each.has_endless_body = shard % 2 == 1;
                               });
    for (int round = 0; round < 40; ++round)
    {
        const caller_answer answer = send_request("/all/q");
        EXPECT_EQ(answer.status, 200U);
        EXPECT_EQ(answer.missing_parts(), 0);
    }
    // The smallest VMs of the platform have 112 MB.
    constexpr std::size_t max_bytes = 64U << 20U;
    EXPECT_LT(m_fleet.peak_memory_bytes(0), max_bytes);
}

// Guards against a deadline sent to replicas that is later than the caller's.
TEST_F(gateway_path_test, replicas_get_no_more_time_than_the_caller_has)
{
    caller_message message;
    message.path = "/one/q";
    message.deadline = 300ms;
    m_fleet.send(0, message);
    for (const auto& [id, target] : m_fleet.replicas())
        for (const auto deadline : target->deadlines())
            EXPECT_LE(deadline, 300ms);
}

// Guards against requests that another replica runs after it took over an address.
TEST_F(gateway_path_test, replica_with_changed_id_runs_nothing)
{
    m_fleet.replica("single-0").change_id("other");
    for (int round = 0; round < 10; ++round)
    {
        const std::string id = "moved-" + std::to_string(round);
        EXPECT_EQ(send_request("/one/q", id).status, 200U);
        EXPECT_EQ(m_fleet.executions(id), 1U);
    }
    EXPECT_TRUE(m_fleet.replica("single-0").executions().empty());
}

// Guards against warnings about disconnected callers, which an operator cannot act on, and against
// attempts that continue after their caller has disconnected.
TEST_F(gateway_path_test, disconnected_caller_cancels_attempts_without_a_warning)
{
    m_fleet.change_all_replicas([](standins::replica_behaviour& behaviour)
                                { behaviour.never_answers = true; });
    caller_message message;
    message.path = "/all/q";
    message.id = "leaver";
    message.close_delay = 50ms - message.deadline;
    EXPECT_EQ(m_fleet.send(0, message).status, 0U);
    const auto find_line = [this]
    {
        const std::string log = m_fleet.log(0);
        const std::size_t end = log.find("abandoned");
        return end == std::string::npos
                   ? std::string()
                   : log.substr(log.rfind('\n', end) + 1, end - log.rfind('\n', end));
    };
    ASSERT_TRUE(wait_until(2s, [&] { return !find_line().empty(); }));
    EXPECT_NE(find_line().find("\"level\":\"info\""), std::string::npos) << find_line();
    EXPECT_NE(find_line().find("leaver"), std::string::npos) << find_line();
    std::uint64_t abandoned = 0;
    EXPECT_TRUE(wait_until(500ms,
                           [&]
                           {
                               abandoned = 0;
                               for (const auto& [id, target] : m_fleet.replicas())
                                   abandoned += target->abandoned();
                               return abandoned == m_fleet.arrivals("shard");
                           }))
        << abandoned << " of " << m_fleet.arrivals("shard");
}

// Guards against metrics that a scraper cannot parse, and against answers that are not counted.
TEST_F(gateway_path_test, metrics_count_answers)
{
    send_request("/all/q");
    send_request("/one/q");
    const std::string text = m_fleet.metrics(0);
    EXPECT_NE(text.find("ospreystair_answers_total{kind=\"gathered\"} 1"), std::string::npos)
        << text;
    EXPECT_NE(text.find("ospreystair_answers_total{kind=\"relayed\"} 1"), std::string::npos);
    EXPECT_NE(text.find("# TYPE ospreystair_request_seconds histogram"), std::string::npos);
}

} // namespace
} // namespace ospreystair::testing_support
