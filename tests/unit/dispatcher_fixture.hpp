// A dispatcher with a simulated clock and simulated replicas that are slow, paused, failing,
// refusing, silent or replaced.

#ifndef OSPREYSTAIR_TESTS_UNIT_DISPATCHER_FIXTURE_HPP
#define OSPREYSTAIR_TESTS_UNIT_DISPATCHER_FIXTURE_HPP

#include <chrono>
#include <functional>
#include <map>
#include <set>

#include <gtest/gtest.h>

#include "forwarding/dispatcher.hpp"

namespace ospreystair::forwarding
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

struct message
{
    std::string text;
};

class fake_transport;

struct counting_observer
{
    template<class Run>
    void on_hedge(const Run&, const std::string&, const replica&, base::duration)
    {
        ++hedges;
    }
    template<class Run, class Attempt>
    void on_attempt_failed(const Run&, const std::string&, const Attempt&, const attempt_result&)
    {
    }
    template<class Attempt>
    void on_replica_crashed(const Attempt&, routing::crash_verdict)
    {
        ++crashes;
    }
    template<class Run>
    void on_held_back(const Run&, const std::string&)
    {
        ++held_back;
    }
    void on_replica_leaving(const replica&) { ++leaving; }
    void on_replica_closed(const replica&, milliseconds) { ++closures; }
    void on_reach_changed(bool, base::duration) {}
    void on_replica_limited(const replica&, std::optional<double> limit)
    {
        limits.push_back(limit);
    }
    template<class Run>
    void on_no_hedge(const Run&, const std::string&, std::string_view reason)
    {
        if (reason.find("budget") != std::string_view::npos)
            ++budget_refusals;
    }

    int hedges = 0;
    int budget_refusals = 0;
    int leaving = 0;
    int closures = 0;
    int held_back = 0;
    int crashes = 0;
    std::vector<std::optional<double>> limits;
};

using test_dispatcher =
    dispatcher<message, base::manual_clock, base::seeded_random, fake_transport, counting_observer>;
using test_attempt = test_dispatcher::attempt_type;

/// How a simulated replica responds to each request.
struct replica_behaviour
{
    base::duration latency = 10ms;
    attempt_outcome outcome = attempt_outcome::succeeded;
    unsigned status = 200;
    bool is_silent = false;
    std::size_t connections = 4;
    /// Share of the requests that are refused at once.
    double refusal_share = 0;
    bool is_leaving = false;
    std::optional<milliseconds> closed_for = {};
    std::optional<load_report> load = {};
    std::optional<double> request_limit = {};
    /// Crashes under each request, and accepts no connection afterwards.
    bool crashes = false;
};

class fake_transport
{
public:
    explicit fake_transport(base::manual_clock& clock) : m_clock(clock) {}

    connection_availability availability_of(const replica& target) const
    {
        const std::string& id = target.registry_entry().id;
        const auto busy = m_busy.find(id);
        const std::size_t used = busy == m_busy.end() ? 0 : busy->second;
        return used < behaviour_of(id).connections ? connection_availability::idle
                                                   : connection_availability::none;
    }

    void send(const std::shared_ptr<test_attempt>& next)
    {
        const std::string id = next->target->registry_entry().id;
        ++m_busy[id];
        sent.push_back(id);
        deadlines.push_back(next->deadline - m_clock.now());
        const replica_behaviour behaviour = behaviour_of(id);
        const bool is_refused = refused_sends > 0;
        refused_sends -= is_refused ? 1 : 0;
        if (behaviour.is_silent && !is_refused)
            return;
        attempt_result result;
        result.outcome = behaviour.outcome;
        result.reply.status = behaviour.status;
        result.is_leaving = behaviour.is_leaving;
        result.closed_for = behaviour.closed_for;
        result.load = behaviour.load;
        result.request_limit = behaviour.request_limit;
        result.reply.receipt = "receipt of " + id;
        result.reply.body = "0123456789abcde" + id.substr(0, 1);
        if (behaviour.crashes)
        {
            result = {};
            result.has_crashed = true;
        }
        base::duration latency = behaviour.latency;
        if (is_refused ||
            static_cast<double>(m_random.below(1'000)) < 1'000 * behaviour.refusal_share)
        {
            result.outcome = attempt_outcome::refused;
            latency = 1ms;
        }
        m_replies.emplace(m_clock.now() + latency, std::pair(next, result));
    }

    void drop(const std::shared_ptr<test_attempt>& given_up)
    {
        --m_busy[given_up->target->registry_entry().id];
        dropped.push_back(given_up->target->registry_entry().id);
    }

    std::optional<base::time_point> next() const
    {
        if (m_replies.empty())
            return std::nullopt;
        return m_replies.begin()->first;
    }

    void deliver(test_dispatcher& receiver)
    {
        while (!m_replies.empty() && m_replies.begin()->first <= m_clock.now())
        {
            const auto [ended, result] = m_replies.begin()->second;
            m_replies.erase(m_replies.begin());
            if (ended->is_ended)
                continue;
            --m_busy[ended->target->registry_entry().id];
            if (result.has_crashed)
                ended->target->record_connect_failure(m_clock.now());
            receiver.on_attempt_end(ended, result);
        }
    }

    std::map<std::string, replica_behaviour> behaviours;
    std::vector<std::string> sent;
    std::vector<base::duration> deadlines;
    std::vector<std::string> dropped;
    /// Number of the next requests that are refused whatever the replica's behaviour is.
    int refused_sends = 0;

private:
    replica_behaviour behaviour_of(const std::string& id) const
    {
        const auto found = behaviours.find(id);
        return found == behaviours.end() ? replica_behaviour{} : found->second;
    }

    base::manual_clock& m_clock;
    base::seeded_random m_random{23};
    std::map<std::string, std::size_t> m_busy;
    std::multimap<base::time_point, std::pair<std::shared_ptr<test_attempt>, attempt_result>>
        m_replies;
};

class dispatcher_test : public testing::Test
{
protected:
    dispatcher_test() { m_clock.advance(1000s); }

    /// Registers `count` replicas of each service, named "<service>1" and so on.
    void add_replicas(const std::map<std::string, int>& services)
    {
        std::vector<registration> listing;
        for (const auto& [service, count] : services)
            for (int index = 1; index <= count; ++index)
            {
                registration entry;
                entry.id = service + std::to_string(index);
                entry.service = service;
                entry.address = "127.0.0.1:1";
                entry.data_centre = "a";
                entry.slots = 2;
                listing.push_back(entry);
            }
        m_directory.apply_listing(listing, m_clock.now());
    }

    void adopt(route rule)
    {
        rule.name = "r";
        rule.host = "h";
        rule.path_prefix = "/";
        base::error reason;
        auto table = route_table::create(1, {std::move(rule)}, {}, {}, reason);
        ASSERT_TRUE(table) << reason.message;
        m_dispatcher.adopt(std::make_shared<const route_table>(std::move(*table)));
    }

    static route single(bool is_idempotent)
    {
        route result;
        result.is_idempotent = is_idempotent;
        result.max_attempts = 2;
        result.timeout = 1000ms;
        result.objective = 120ms;
        result.services = {weighted_service{"a", 1}};
        return result;
    }

    /// Distributes requests evenly over `services`.
    static route split(const std::vector<std::string>& services)
    {
        route result = single(true);
        result.services.clear();
        for (const std::string& service : services)
            result.services.push_back({service, 1});
        return result;
    }

    static route gather(std::vector<std::string> shards, double min_coverage)
    {
        route result = single(true);
        result.services.clear();
        result.shards = std::move(shards);
        result.min_coverage = min_coverage;
        result.max_records = 10;
        return result;
    }

    void submit(base::duration network_time = {}, base::fingerprint fingerprint = {})
    {
        caller_request<message> request;
        request.id = "id";
        request.message = std::make_shared<const message>();
        request.deadline = m_deadline;
        request.network_time = network_time;
        request.fingerprint = fingerprint;
        request.team = m_team;
        const base::time_point start = m_clock.now();
        const std::size_t number = m_answers.size();
        m_answers.emplace_back();
        m_answer.reset();
        const auto table = m_waited_since ? m_waited_since : m_dispatcher.table();
        m_run = m_dispatcher.submit(std::move(request), table, table->routes().front(),
                                    [this, start, number](answer result)
                                    { record(number, start, std::move(result)); });
        m_run->on_reach_lost([this] { ++m_offers; });
    }

    /// Stores the answer to the most recent request in m_answer.
    void record(std::size_t number, base::time_point start, answer result)
    {
        EXPECT_EQ(++m_answers[number], 1U) << "answered twice";
        if (number + 1 != m_answers.size())
            return;
        m_answer = std::move(result);
        m_latency = m_clock.now() - start;
    }

    /// Advances the clock by `duration`, and delivers the replies and runs the timers due until
    /// then.
    void run_for(base::duration duration)
    {
        const base::time_point end = m_clock.now() + duration;
        while (true)
        {
            const auto reply = m_transport.next();
            const auto timer = m_dispatcher.timers().next();
            base::time_point at = end;
            if (reply)
                at = std::min(at, *reply);
            if (timer)
                at = std::min(at, *timer);
            if (at > m_clock.now())
                m_clock.advance(at - m_clock.now());
            m_transport.deliver(m_dispatcher);
            m_dispatcher.timers().run_due(m_clock.now());
            const auto is_due = [&](const std::optional<base::time_point>& due)
            {
                return due && *due <= m_clock.now();
            };
            if (at == end && !is_due(m_transport.next()) && !is_due(m_dispatcher.timers().next()))
                return;
        }
    }

    answer submit_and_wait(base::duration network_time = {})
    {
        submit(network_time);
        run_for(1200ms);
        EXPECT_TRUE(m_answer);
        return m_answer.value_or(answer{});
    }

    /// Sends requests that give the dispatcher a latency baseline and a budget for repeats.
    void warm_up(int requests = 60)
    {
        for (int index = 0; index < requests; ++index)
            submit_and_wait();
        m_transport.sent.clear();
        m_transport.dropped.clear();
    }

    base::manual_clock m_clock;
    base::seeded_random m_random{7};
    fake_transport m_transport{m_clock};
    counting_observer m_observer;
    replica_directory m_directory{2s, [](const auto&) {},
                                  [](const auto&) {
                                  }};
    test_dispatcher m_dispatcher{m_clock,    m_random,    m_transport,
                                 m_observer, m_directory, {{0.2, 20, 10'000ms}, "a"}};
    std::shared_ptr<test_dispatcher::run_type> m_run;
    // The table by which requests were routed before they waited; null for the current one.
    std::shared_ptr<const route_table> m_waited_since;
    // How long callers wait.
    milliseconds m_deadline{1000};
    // The team of all requests.
    std::shared_ptr<const teams::team> m_team;
    // Requests offered to other VMs.
    int m_offers = 0;
    // Number of answers to each request.
    std::vector<unsigned> m_answers;
    std::optional<answer> m_answer;
    base::duration m_latency{};
};

} // namespace ospreystair::forwarding

#endif
