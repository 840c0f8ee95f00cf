// Connections that are short, shared between teams: replays with a simulated clock and replicas.

#include "tests/unit/dispatcher_fixture.hpp"

namespace ospreystair::forwarding
{
namespace
{

class fairness_test : public dispatcher_test
{
protected:
    static constexpr int small_teams = 20;

    fairness_test()
    {
        add_replicas({{"a", 1}});
        m_transport.behaviours["a1"].connections = 2;
        m_transport.behaviours["a1"].latency = 5ms;
        base::error reason;
        route urgent = single(true);
        urgent.name = "urgent";
        urgent.host = "h";
        urgent.path_prefix = "/urgent/";
        urgent.priority = 0;
        route report = urgent;
        report.name = "report";
        report.path_prefix = "/report/";
        report.priority = 2;
        auto table = route_table::create(1, {urgent, report}, {}, {}, reason);
        EXPECT_TRUE(table) << reason.message;
        m_dispatcher.adopt(std::make_shared<const route_table>(std::move(*table)));
    }

    struct counts
    {
        int sent = 0;
        int served = 0;
        double share() const { return sent == 0 ? 0 : static_cast<double>(served) / sent; }
    };

    static std::shared_ptr<const teams::team> make_team(const std::string& name,
                                                        std::optional<int> priority = {})
    {
        teams::team result;
        result.name = name;
        result.priority = priority;
        return std::make_shared<const teams::team>(std::move(result));
    }

    void send(const std::shared_ptr<const teams::team>& team, const std::string& route_name)
    {
        caller_request<message> request;
        request.id = team->name;
        request.message = std::make_shared<const message>();
        request.deadline = 1000ms;
        request.team = team;
        counts& own = m_counts[team->name + " " + route_name];
        ++own.sent;
        m_runs.push_back(m_dispatcher.submit(
            std::move(request), m_dispatcher.table(), *m_dispatcher.table()->find_named(route_name),
            [this, name = team->name, &own](const answer& result)
            {
                own.served += result.kind == answer_kind::relayed ? 1 : 0;
                if (result.kind == answer_kind::relayed)
                    m_served.push_back(name);
            }));
    }

    // By team and route.
    std::map<std::string, counts> m_counts;
    // Teams of the served requests, in their order.
    std::vector<std::string> m_served;
    std::vector<std::shared_ptr<test_dispatcher::run_type>> m_runs;
};

// Guards against a team with ten times its usual requests that takes the room of small teams, which
// ask for less than their shares.
TEST_F(fairness_test, team_with_many_requests_takes_no_room_from_small_ones)
{
    const auto large = make_team("large");
    std::vector<std::shared_ptr<const teams::team>> small;
    for (int index = 0; index < small_teams; ++index)
        small.push_back(make_team("small" + std::to_string(index)));
    // Room for two requests in each round: one for the small teams, which ask for one.
    constexpr int rounds = 400;
    for (int round = 0; round < rounds; ++round)
    {
        for (int index = 0; index < 10; ++index)
            send(large, "report");
        send(small[static_cast<std::size_t>(round % small_teams)], "report");
        run_for(5ms);
    }
    run_for(1000ms);
    for (int index = 0; index < small_teams; ++index)
        EXPECT_GE(m_counts["small" + std::to_string(index) + " report"].share(), 0.99);
    // What the small teams leave goes to the large one.
    EXPECT_GE(m_counts["large report"].served, rounds * 9 / 10);
}

// Guards against urgent requests that wait behind another team's reports.
TEST_F(fairness_test, urgent_requests_go_before_reports_of_all_teams)
{
    for (const auto& priority : {std::optional<int>{}, std::optional<int>{1}})
    {
        const auto reporting = make_team("reporting", priority);
        const auto urgent = make_team("urgent", priority);
        m_served.clear();
        for (int index = 0; index < 8; ++index)
            send(reporting, "report");
        for (int index = 0; index < 4; ++index)
            send(urgent, "urgent");
        run_for(1000ms);
        // Two reports have the connections when the urgent requests arrive.
        ASSERT_GE(m_served.size(), 6U);
        EXPECT_EQ(std::count(m_served.begin(), m_served.begin() + 6, "urgent"), 4);
    }
}

// Guards against a team's priority that does not go before that of the route.
TEST_F(fairness_test, priority_of_the_team_goes_before_that_of_the_route)
{
    const auto first = make_team("first", 0);
    const auto second = make_team("second", 1);
    for (int index = 0; index < 6; ++index)
        send(second, "urgent");
    for (int index = 0; index < 4; ++index)
        send(first, "report");
    run_for(1000ms);
    ASSERT_GE(m_served.size(), 6U);
    EXPECT_EQ(std::count(m_served.begin(), m_served.begin() + 6, "first"), 4);
}

// Guards against a long deadline of one caller that shortens the time for others' answers, so that
// they miss the parts that come last.
TEST_F(fairness_test, long_deadline_of_one_caller_costs_others_no_parts)
{
    add_replicas({{"a", 1}, {"b", 1}});
    m_transport.behaviours["b1"].latency = 60ms;
    adopt(gather({"a", "b"}, 0.5));
    const auto ask = [this](const std::shared_ptr<const teams::team>& team, milliseconds deadline)
    {
        caller_request<message> request;
        request.id = "id";
        request.message = std::make_shared<const message>();
        request.deadline = deadline;
        request.team = team;
        int missing = -1;
        const auto run = m_dispatcher.submit(
            std::move(request), m_dispatcher.table(), m_dispatcher.table()->routes().front(),
            [&missing](const answer& result) { missing = static_cast<int>(result.missing_parts); });
        run_for(1200ms);
        return missing;
    };
    EXPECT_EQ(ask(make_team("patient"), 1000ms), 0);
    // Longer than the route allows, and as long as it allows.
    for (const milliseconds deadline : {3'600'000ms, 1'000ms})
    {
        EXPECT_EQ(ask(nullptr, deadline), 0);
        EXPECT_EQ(ask(nullptr, 1'000ms), 0);
        EXPECT_EQ(ask(make_team("patient"), deadline), 0);
        EXPECT_EQ(ask(make_team("brief"), 500ms), 0);
    }
}

} // namespace
} // namespace ospreystair::forwarding
