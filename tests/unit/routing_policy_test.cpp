// Tests of token budgets, latency estimates, hedges, retries and deadlines. ctest-label: concurrent

#include <atomic>
#include <thread>
#include <type_traits>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "routing/hedge_policy.hpp"
#include "routing/retry_policy.hpp"

namespace ospreystair::routing
{

using namespace std::chrono_literals;
using base::error_kind;
using clock = base::manual_clock;

class policy_test : public testing::Test
{
protected:
    idempotent_request
    make_request(configuration::preference prefer = configuration::preference::latency)
    {
        configuration::service service;
        service.prefer = prefer;
        return *idempotent_request::create(service, m_reason);
    }

    // 200 sub-requests earn 10 tokens at 5%, 20 at 10%.
    template<class Policy>
    static void record_requests(Policy& policy, int requests = 200)
    {
        for (int count = 0; count < requests; ++count)
            policy.record_request();
    }

    void record_latencies(hedge_policy<clock>& policy)
    {
        for (int sample = 1; sample <= 100; ++sample)
            policy.record_latency(sample * 1ms);
        m_clock.advance(50ms);
    }

    hedge_context make_context(base::duration total = 1s) const
    {
        return {.deadline = {m_clock.now(), total, 0ms}, .sent_at = m_clock.now()};
    }

    clock m_clock;
    base::error m_reason;
};

// Guards against a hedge or retry of a command: no idempotent_request can be created for one.
TEST_F(policy_test, command_service_yields_no_idempotent_request)
{
    configuration::service service;
    service.kind = configuration::service_kind::command;
    EXPECT_FALSE(idempotent_request::create(service, m_reason));
    EXPECT_EQ(m_reason.kind, error_kind::invalid_argument);
    static_assert(!std::is_default_constructible_v<idempotent_request>);
    static_assert(!std::is_constructible_v<idempotent_request, configuration::preference>);
}

// Guards against extra load above the percentage, the burst and the minimum refill, in any order of
// requests and spending.
RC_GTEST_FIXTURE_PROP(policy_test, spent_tokens_stay_within_the_budget, ())
{
    token_budget<clock> budget(m_clock, {.percent = 5, .burst = 10});
    const auto start = m_clock.now();
    double requests = 0;
    double spent = 0;
    for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 40)))
    {
        for (int count = 0; count < step * step; ++count, ++requests)
            budget.record_request();
        for (int count = 0; count < step; ++count)
            spent += budget.try_spend() ? 1 : 0;
        m_clock.advance(step * 10ms);
        const double refill_tokens = std::chrono::duration<double>(m_clock.now() - start).count();
        RC_ASSERT(spent <= requests * 0.05 + refill_tokens);
    }
    while (budget.try_spend())
        ;
    for (int count = 0; count < 10'000; ++count)
        budget.record_request();
    int burst = 0;
    while (budget.try_spend())
        ++burst;
    RC_ASSERT(burst == 10);
}

// Guards against an idle service that can never hedge, and against hedges at zero percent.
TEST_F(policy_test, min_refill_gives_one_token_and_zero_percent_gives_none)
{
    token_budget<clock> budget(m_clock, {.percent = 5});
    token_budget<clock> disabled(m_clock, {.percent = 0});
    m_clock.advance(10s);
    EXPECT_TRUE(budget.try_spend());
    EXPECT_FALSE(budget.try_spend());
    EXPECT_FALSE(disabled.try_spend());
}

// Guards against races that create or lose tokens; run under the thread sanitizer.
TEST_F(policy_test, concurrent_spenders_share_the_tokens)
{
    token_budget<clock> budget(m_clock, {.percent = 100, .burst = 1000});
    latency_estimator<clock> estimator(m_clock);
    for (int count = 0; count < 1000; ++count)
        budget.record_request();
    std::atomic<int> spent = 0;
    std::vector<std::thread> threads;
    for (int index = 0; index < 4; ++index)
        threads.emplace_back(
            [&]
            {
                for (int step = 0; step < 500; ++step)
                {
                    spent += budget.try_spend() ? 1 : 0;
                    estimator.record(5ms);
                    estimator.estimate();
                }
            });
    for (std::thread& thread : threads)
        thread.join();
    EXPECT_EQ(spent, 1000);
}

// Guards against an estimate that differs from the exact quantile by more than a bucket, for any
// distribution of latencies.
RC_GTEST_FIXTURE_PROP(policy_test, estimate_is_within_a_bucket_of_the_exact_quantile, ())
{
    latency_estimator<clock> estimator(m_clock, {.min_samples = 1});
    auto samples =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(100, 10'000'000)));
    for (const int sample : samples)
        estimator.record(std::chrono::microseconds{sample});
    std::sort(samples.begin(), samples.end());
    const auto rank =
        static_cast<std::size_t>(std::ceil(0.95 * static_cast<double>(samples.size()) - 1e-9));
    const double exact = samples[std::max<std::size_t>(rank, 1) - 1];
    const double estimate =
        std::chrono::duration<double, std::micro>(*estimator.estimate()).count();
    RC_ASSERT(estimate >= exact * 0.93);
    RC_ASSERT(estimate <= exact * 1.07);
}

// Guards against an estimate that still follows old samples, and against one from too few samples.
TEST_F(policy_test, estimate_follows_a_change_and_needs_enough_samples)
{
    latency_estimator<clock> estimator(m_clock);
    for (int count = 0; count < 49; ++count)
        estimator.record(100ms);
    EXPECT_FALSE(estimator.estimate());
    for (int count = 0; count < 1000; ++count)
        estimator.record(100ms);
    m_clock.advance(60s);
    for (int count = 0; count < 1000; ++count)
        estimator.record(5ms);
    EXPECT_LT(*estimator.estimate(), 6ms);
}

// Guards against hedges before the 95th percentile or without an estimate of it.
TEST_F(policy_test, hedge_waits_for_the_estimated_percentile)
{
    hedge_policy<clock> policy(m_clock, 5);
    EXPECT_FALSE(policy.next_delay(make_request(), make_context()));
    record_latencies(policy);
    const auto delay_with_empty_budget = policy.next_delay(make_request(), make_context());
    record_requests(policy, 1000);
    const auto delay_with_full_budget = policy.next_delay(make_request(), make_context());
    EXPECT_NEAR(std::chrono::duration<double>(*delay_with_full_budget).count(), 0.095, 0.006);
    EXPECT_GT(*delay_with_empty_budget, *delay_with_full_budget);
    EXPECT_FALSE(policy.next_delay(make_request(), make_context(100ms))) << "no time for an answer";
}

// Guards against a service without any hedges when more than 5% of its sub-requests are stragglers:
// the 95th percentile is then the latency of a straggler.
TEST_F(policy_test, frequent_stragglers_are_hedged_before_they_answer)
{
    hedge_policy<clock> policy(m_clock, 5);
    for (int sample = 0; sample < 100; ++sample)
        policy.record_latency(sample < 8 ? 50ms : 2500us);
    m_clock.advance(50ms);
    record_requests(policy);
    EXPECT_LT(*policy.next_delay(make_request(), make_context()), 25ms);
}

// Guards against hedges under overload, without another usable replica, without time or without
// budget.
TEST_F(policy_test, hedge_is_refused_with_a_reason)
{
    hedge_policy<clock> policy(m_clock, 5);
    const auto kind_of = [&](const hedge_context& context)
    {
        m_reason = {};
        const bool sent = policy.try_hedge(make_request(), context, m_reason);
        EXPECT_EQ(sent, m_reason.kind == error_kind::none);
        return m_reason.kind;
    };
    EXPECT_EQ(kind_of(make_context()), error_kind::overloaded) << "no budget";
    record_requests(policy);
    auto shedding = make_context();
    shedding.is_shedding = true;
    EXPECT_EQ(kind_of(shedding), error_kind::overloaded);
    auto without_other_replica = make_context();
    without_other_replica.has_other_replica = false;
    EXPECT_EQ(kind_of(without_other_replica), error_kind::unreachable);
    EXPECT_EQ(kind_of(make_context(0ms)), error_kind::timeout);
    EXPECT_EQ(kind_of(make_context()), error_kind::none);
}

// Guards against a second hedge for services that prefer latency, and against a missing one for
// those that prefer coverage.
TEST_F(policy_test, second_hedge_is_for_coverage_near_the_deadline_only)
{
    hedge_policy<clock> policy(m_clock, 5);
    record_latencies(policy);
    record_requests(policy);
    auto after_first_hedge = make_context();
    after_first_hedge.hedges_sent = 1;
    const auto coverage = make_request(configuration::preference::coverage);
    EXPECT_FALSE(policy.next_delay(make_request(), after_first_hedge));
    EXPECT_FALSE(policy.try_hedge(make_request(), after_first_hedge, m_reason));
    EXPECT_GT(*policy.next_delay(coverage, after_first_hedge), 700ms);
    EXPECT_TRUE(policy.try_hedge(coverage, after_first_hedge, m_reason));
    after_first_hedge.hedges_sent = 2;
    EXPECT_FALSE(policy.next_delay(coverage, after_first_hedge));
    EXPECT_FALSE(policy.try_hedge(coverage, after_first_hedge, m_reason));
}

// Guards against retries that can't help, and against a token that is taken although no retry is
// sent.
TEST_F(policy_test, retry_needs_cause_replica_time_and_budget)
{
    retry_policy<clock> policy(m_clock, 10);
    const deadline_budget deadline(m_clock.now(), 100ms, 0ms);
    const auto retry = [&](error_kind failure, base::duration expected, bool has_other_replica)
    {
        return policy.try_retry(make_request(), failure, deadline, expected, has_other_replica,
                                m_reason);
    };
    EXPECT_FALSE(retry(error_kind::unreachable, 5ms, true)) << "no budget yet";
    record_requests(policy, 10);
    EXPECT_FALSE(retry(error_kind::invalid_argument, 5ms, true));
    EXPECT_FALSE(retry(error_kind::cancelled, 5ms, true));
    EXPECT_FALSE(retry(error_kind::outcome_unknown, 5ms, true));
    EXPECT_FALSE(retry(error_kind::unreachable, 5ms, false));
    EXPECT_FALSE(retry(error_kind::unreachable, 101ms, true));
    EXPECT_TRUE(retry(error_kind::unreachable, 5ms, true));
    EXPECT_FALSE(retry(error_kind::unreachable, 5ms, true)) << "the token is spent";
}

// Guards against a timeout for upstreams that leaves no time to return the answer.
TEST_F(policy_test, upstream_timeout_excludes_elapsed_time_and_margin)
{
    const deadline_budget deadline(m_clock.now(), 100ms);
    EXPECT_EQ(deadline.upstream_timeout(m_clock.now()), 95ms);
    EXPECT_EQ(deadline.upstream_timeout(m_clock.now() + 50500us), 44ms);
    EXPECT_EQ(deadline.upstream_timeout(m_clock.now() + 200ms), 0ms);
    EXPECT_TRUE(deadline.is_expired(m_clock.now() + 95ms));
}

} // namespace ospreystair::routing
