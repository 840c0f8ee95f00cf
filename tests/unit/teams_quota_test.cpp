// Quotas that many VMs keep together, without a network.

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "base/random.hpp"
#include "teams/keeper_choice.hpp"
#include "teams/quota_client.hpp"
#include "teams/quota_keeper.hpp"

namespace ospreystair::teams
{
namespace
{

using namespace std::chrono_literals;

const quota_bounds bounds{5'000ms, 0.1, 20};
const std::string team = "team";

/// VMs that exchange questions at once when they reach each other, and after a timeout otherwise.
class quota_fleet_test : public testing::Test
{
protected:
    static constexpr auto step = 10ms;
    static constexpr auto report_delay = 100ms;
    static constexpr auto timeout = 150ms;

    struct fake_vm
    {
        explicit fake_vm(base::time_point now)
            : client(bounds, now), keeper(bounds, now), standby(bounds, now, keeper_role::standby)
        {
        }

        quota_client client;
        quota_keeper keeper;
        quota_keeper standby;
        int side = 0;
        bool is_down = false;
        unsigned waiting = 0;
        base::time_point report_at = base::time_point::max();
        // Set until a question to a keeper that is out of reach times out.
        std::optional<quota_question> lost;
        base::time_point lost_until{};
    };

    void start(std::size_t vm_count)
    {
        m_vms.clear();
        m_sent.clear();
        m_owed = m_refused = 0;
        std::vector<std::string> names;
        for (std::size_t vm = 0; vm < vm_count; ++vm)
            names.push_back("vm" + std::to_string(vm));
        m_choice.adopt(names);
        for (std::size_t vm = 0; vm < vm_count; ++vm)
        {
            m_vms.push_back(nullptr);
            restart(vm);
        }
    }

    void restart(std::size_t vm)
    {
        const int side = m_vms[vm] ? m_vms[vm]->side : 0;
        m_vms[vm] = std::make_unique<fake_vm>(m_now);
        m_vms[vm]->side = side;
        m_vms[vm]->client.set_position(
            routing::find_fleet_position(m_choice.vms()[vm], m_choice.vms(), base::time_point{}));
    }

    std::size_t keeper_index(unsigned rank = 0) const
    {
        const auto& names = m_choice.vms();
        return static_cast<std::size_t>(
            std::find(names.begin(), names.end(), m_choice.find(team, rank)) - names.begin());
    }

    void count(quota_decision decision)
    {
        if (decision == quota_decision::refused)
            ++m_refused;
        else
            m_sent.push_back(m_now);
    }

    void end_alone(fake_vm& vm)
    {
        for (; vm.waiting > 0; --vm.waiting)
            count(vm.client.decide_alone(team, m_quota, m_now));
    }

    void arrive(fake_vm& vm)
    {
        ++m_owed;
        if (vm.is_down)
            return;
        const auto decision = vm.client.decide(team, m_quota, m_now);
        if (decision == quota_decision::asked)
            ++vm.waiting;
        else
            count(decision);
        vm.report_at = std::min(vm.report_at, m_now + report_delay);
        exchange(vm);
    }

    void exchange(fake_vm& vm)
    {
        if (vm.is_down)
            return;
        if (vm.lost && m_now >= vm.lost_until)
        {
            const auto question = *std::exchange(vm.lost, std::nullopt);
            if (!vm.client.on_failure(question, m_now))
                end_alone(vm);
        }
        if (vm.lost || !vm.client.has_question(team) || (vm.waiting == 0 && m_now < vm.report_at))
            return;
        vm.report_at = base::time_point::max();
        const quota_question question = vm.client.take_question(team, m_now);
        const fake_vm& first = *m_vms[keeper_index()];
        if (vm.client.take_probe(team, m_now) && !first.is_down && first.side == vm.side)
            vm.client.on_answer({team}, {0, 0ms, 0ms, true}, m_now);
        if (keeper_index(question.rank) == m_vms.size())
        {
            if (!vm.client.on_failure(question, m_now))
                end_alone(vm);
            return;
        }
        fake_vm& keeper = *m_vms[keeper_index(question.rank)];
        if (keeper.is_down || keeper.side != vm.side)
        {
            vm.lost = question;
            vm.lost_until = m_now + timeout;
            return;
        }
        const quota_answer answer =
            (question.rank > 0 ? keeper.standby : keeper.keeper).answer(question, m_quota, m_now);
        vm.client.on_answer(question, answer, m_now);
        m_sent.insert(m_sent.end(), answer.granted, m_now);
        m_refused += question.wanted - answer.granted;
        vm.waiting = 0;
        for (const std::string& name : keeper.keeper.take_announcements())
            for (const auto& other : m_vms)
                if (!other->is_down && other->side == keeper.side)
                    other->client.on_metered(name, m_now);
    }

    /// Sends `rate` requests a second; half of them arrive at one VM.
    void play(base::duration time, double rate)
    {
        const base::time_point end = m_now + time;
        while (m_now < end)
        {
            m_now += step;
            m_due += rate * std::chrono::duration<double>(step).count();
            // Arrivals are uneven: on average, one in each time that is due.
            while (m_due > 0 && m_random.below(2) == 0)
            {
                m_due -= 1;
                arrive(*m_vms[m_random.below(2) == 0 ? m_vms.size() / 2
                                                     : m_random.below(m_vms.size())]);
            }
            for (const auto& vm : m_vms)
                exchange(*vm);
        }
    }

    double most_in_window() const
    {
        std::size_t result = 0;
        std::deque<base::time_point> window;
        for (const base::time_point at : m_sent)
        {
            window.push_back(at);
            while (window.front() <= at - bounds.window)
                window.pop_front();
            result = std::max(result, window.size());
        }
        return static_cast<double>(result);
    }

    double limit() const { return (m_quota.requests_per_second * 5 + m_quota.burst) * 1.1 + 20; }

    base::seeded_random m_random{7};
    base::time_point m_now = base::time_point{} + 100s;
    request_quota m_quota{8, 10};
    keeper_choice m_choice;
    std::vector<std::unique_ptr<fake_vm>> m_vms;
    std::vector<base::time_point> m_sent;
    double m_due = 0;
    std::size_t m_owed = 0;
    std::size_t m_refused = 0;
};

// Guards against refusals of a team within its quota whose requests arrive unevenly.
TEST_F(quota_fleet_test, team_within_its_quota_is_not_refused)
{
    start(60);
    // A new keeper grants less.
    play(5s, 5);
    const std::size_t refused = m_refused;
    play(120s, 5);
    EXPECT_EQ(m_refused, refused) << "of " << m_owed;
}

// Guards against VMs that together send a multiple of the quota, and against a quota that a hot
// team cannot use.
TEST_F(quota_fleet_test, hot_team_is_held_to_its_quota_and_gets_it)
{
    for (const std::size_t vm_count : {1U, 3U, 60U, 410U})
    {
        SCOPED_TRACE(vm_count);
        start(vm_count);
        play(20s, 5);
        const std::size_t before = m_sent.size();
        play(20s, 50);
        EXPECT_LE(most_in_window(), limit());
        EXPECT_GE(m_sent.size() - before, 8U * 19);
        play(20s, 5);
        const std::size_t refused = m_refused;
        play(20s, 5);
        EXPECT_EQ(m_refused, refused);
    }
}

// Guards against a burst that is granted once and then never again: what a team sends within its
// quota and burst in each window is within its quota.
TEST_F(quota_fleet_test, hot_team_gets_its_burst_in_each_window)
{
    start(60);
    play(20s, 5);
    play(bounds.window, 50);
    for (int window = 0; window < 4; ++window)
    {
        const std::size_t before = m_sent.size();
        play(bounds.window, 50);
        EXPECT_GE(static_cast<double>(m_sent.size() - before),
                  m_quota.requests_per_second * 5 + m_quota.burst);
    }
    EXPECT_LE(most_in_window(), limit());
}

// Guards against a keeper's death or a cut that gives each side the whole quota.
TEST_F(quota_fleet_test, lost_keeper_and_cuts_stay_within_the_bound)
{
    start(60);
    play(20s, 5);
    m_vms[keeper_index()]->is_down = true;
    play(10s, 50);
    restart(keeper_index());
    play(10s, 50);
    for (std::size_t vm = 0; vm < m_vms.size(); vm += 2)
        m_vms[vm]->side = 1;
    play(10s, 50);
    for (const auto& vm : m_vms)
        vm->side = 0;
    play(10s, 50);
    EXPECT_LE(most_in_window(), limit());
}

// Guards against a small team that is refused for as long as its keeper is down.
TEST_F(quota_fleet_test, small_team_is_served_by_a_standby_keeper_while_its_keeper_is_down)
{
    m_quota = {1.6, 4};
    start(60);
    play(20s, 1);
    m_vms[keeper_index()]->is_down = true;
    m_owed = m_refused = 0;
    play(60s, 0.8);
    EXPECT_LE(m_refused * 4, m_owed) << m_refused << " of " << m_owed;
}

// Guards against a burst that is granted anew after a loss of power.
TEST_F(quota_fleet_test, loss_of_power_grants_no_second_burst)
{
    start(60);
    play(20s, 50);
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm)
        restart(vm);
    play(20s, 50);
    EXPECT_LE(most_in_window(), limit());
}

// Guards against a bucket that keeps the burst of a higher quota.
TEST_F(quota_fleet_test, lower_quota_binds_after_a_window)
{
    m_quota = {40, 100};
    start(60);
    play(20s, 30);
    m_quota = {4, 5};
    play(bounds.window, 60);
    m_sent.clear();
    play(20s, 60);
    EXPECT_LE(most_in_window(), limit());
}

// Guards against teams that come and go and are never forgotten, and against a team that has to
// earn its burst again after a quiet time.
TEST_F(quota_fleet_test, idle_teams_are_forgotten_and_return_with_their_burst)
{
    quota_keeper keeper(bounds, m_now);
    quota_client client(bounds, m_now);
    for (int index = 0; index < 1'000; ++index)
    {
        const quota_question question{"team" + std::to_string(index), 0, 1};
        client.on_metered(question.team, m_now);
        keeper.answer(question, m_quota, m_now);
    }
    for (int window = 0; window < 20; ++window)
    {
        m_now += bounds.window;
        keeper.remove_idle(m_now);
        client.remove_idle(m_now);
    }
    EXPECT_EQ(keeper.team_count(), 0U);
    EXPECT_EQ(client.team_count(), 0U);
    const quota_answer answer = keeper.answer({"team1", 0, 10}, m_quota, m_now);
    EXPECT_EQ(answer.granted, 10U);
}

// Guards against refused callers that return together.
TEST_F(quota_fleet_test, refused_callers_return_one_after_the_other)
{
    quota_keeper keeper(bounds, m_now);
    const quota_answer first = keeper.answer({team, 0, 3}, m_quota, m_now);
    const quota_answer second = keeper.answer({team, 0, 1}, m_quota, m_now);
    EXPECT_EQ(first.granted, 0U);
    // A keeper that has just started grants 6.4 requests a second. Later, a team that uses its
    // whole quota sends 56.25 in each 5.3 s.
    EXPECT_EQ(first.retry_after, 157ms);
    EXPECT_EQ(first.retry_step, 95ms);
    EXPECT_EQ(second.retry_after, 439ms);
}

// Guards against a permit that is lost with a request that no replica got.
TEST_F(quota_fleet_test, permit_that_is_given_back_is_reported)
{
    quota_client client(bounds, m_now - 1min);
    ASSERT_EQ(client.decide(team, m_quota, m_now), quota_decision::admitted);
    client.give_back(team);
    EXPECT_FALSE(client.has_question(team));
    client.on_metered(team, m_now);
    ASSERT_EQ(client.decide(team, m_quota, m_now), quota_decision::asked);
    client.on_answer(client.take_question(team, m_now), {1, 0ms, 0ms, true}, m_now);
    client.give_back(team);
    EXPECT_EQ(client.take_question(team, m_now).used, -1);
}

// Guards against a list of VMs whose change moves all teams.
TEST(keeper_choice_test, vm_that_leaves_moves_only_its_teams)
{
    keeper_choice before;
    keeper_choice after;
    before.adopt({"a", "b", "c", "d"});
    after.adopt({"a", "b", "c"});
    std::map<std::string, int> kept;
    for (int index = 0; index < 400; ++index)
    {
        const std::string name = "team" + std::to_string(index);
        ++kept[std::string(before.find(name))];
        const bool has_left = before.find(name) == "d";
        EXPECT_TRUE(has_left || before.find(name) == after.find(name)) << name;
    }
    for (const auto& [vm, teams] : kept)
        EXPECT_GT(teams, 60) << vm;
    EXPECT_EQ(kept.size(), 4U);
}

// Guards against any order of cuts, deaths and restarts in which VMs together exceed the bound.
RC_GTEST_FIXTURE_PROP(quota_fleet_test, any_schedule_stays_within_the_bound, ())
{
    m_quota = {static_cast<double>(*rc::gen::inRange(1, 30)),
               static_cast<double>(*rc::gen::inRange(0, 60))};
    start(*rc::gen::inRange<std::size_t>(1, 24));
    const auto changes = *rc::gen::container<std::vector<int>>(6, rc::gen::inRange(0, 1'000));
    for (const int change : changes)
    {
        const std::size_t vm = static_cast<std::size_t>(change) % m_vms.size();
        switch (change % 5)
        {
        case 0:
            restart(vm);
            break;
        case 1:
            m_vms[keeper_index()]->is_down = !m_vms[keeper_index()]->is_down;
            break;
        case 2:
            for (std::size_t each = 0; each <= vm; ++each)
                m_vms[each]->side = change % 2;
            break;
        case 3:
            restart(keeper_index());
            break;
        default:
            for (const auto& each : m_vms)
                each->side = 0;
        }
        play(std::chrono::milliseconds{500 + 5 * change},
             m_quota.requests_per_second * (change % 3 == 0 ? 0.6 : 6));
    }
    RC_ASSERT(most_in_window() <= limit());
}

} // namespace
} // namespace ospreystair::teams
