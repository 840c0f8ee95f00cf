// Tests of pinned snapshots, gathered answers, query runs, connection pools, reply checks and
// record stores. ctest-label: concurrent

#include <algorithm>
#include <atomic>
#include <deque>
#include <future>
#include <thread>

#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "http/server.hpp"
#include "query/connection_pool.hpp"
#include "query/gathered_answers.hpp"
#include "query/pinned_snapshot.hpp"
#include "query/query_run.hpp"
#include "query/record_store.hpp"
#include "query/upstream_client.hpp"

namespace ospreystair::query
{

using namespace std::chrono_literals;
namespace asio = http::asio;

namespace
{

// Returns a view with `replicas` replicas of each shard and an index unless `index_version` is 0.
std::shared_ptr<configuration::view> make_view(const std::vector<std::string>& shards, int replicas,
                                               std::uint64_t index_version = 7)
{
    auto result = std::make_shared<configuration::view>();
    result->configuration_version = 3;
    configuration::service service;
    service.name = "portal";
    service.prefer = configuration::preference::coverage;
    for (const std::string& name : shards)
    {
        configuration::shard shard;
        shard.name = name;
        for (int number = 0; number < replicas; ++number)
        {
            configuration::replica replica;
            replica.name = fmt::format("{}-r{}", name, number);
            shard.replicas.push_back(replica);
        }
        service.shards.push_back(shard);
    }
    result->configuration.services["portal"] = service;
    if (index_version != 0)
    {
        result->indexes["portal"].current_version = index_version;
        result->indexes["portal"].versions[index_version] = shards;
    }
    return result;
}

} // namespace

// Guards against coverage counted over the configuration instead of the pinned version.
TEST(pinned_snapshot_test, index_with_other_shards_than_configuration_gives_the_index_shards)
{
    auto view = make_view({"a", "b", "c"}, 1);
    view->indexes["portal"].versions[7] = {"c", "x", "a"};
    base::error reason;
    const auto snapshot = pinned_snapshot::create(view, "portal", reason);
    ASSERT_TRUE(snapshot);
    EXPECT_EQ(snapshot->index_version(), 7U);
    EXPECT_EQ(snapshot->shards(), (std::vector<std::string>{"c", "x", "a"}));
    EXPECT_EQ(snapshot->shard_at(0)->name, "c");
    EXPECT_EQ(snapshot->shard_at(1), nullptr);
    EXPECT_EQ(snapshot->shard_at(2)->name, "a");
}

// Guards against refusals with a wrong kind, and against a snapshot without shards.
TEST(pinned_snapshot_test, unknown_service_and_empty_service_are_refused)
{
    base::error reason;
    EXPECT_FALSE(pinned_snapshot::create(make_view({"a"}, 1), "other", reason));
    EXPECT_EQ(reason.kind, base::error_kind::not_found);
    EXPECT_FALSE(pinned_snapshot::create(make_view({}, 1, 0), "portal", reason));
    EXPECT_EQ(reason.kind, base::error_kind::invalid_argument);
}

// Guards against using another shard's entry when index and configuration differ in order.
RC_GTEST_PROP(pinned_snapshot_test, each_shard_has_the_entry_of_its_name, ())
{
    // Removes duplicates and keeps the order.
    const auto remove_duplicates = [](const std::vector<std::uint8_t>& numbers)
    {
        std::vector<int> result;
        for (const std::uint8_t value : numbers)
            if (std::find(result.begin(), result.end(), value % 12) == result.end())
                result.push_back(value % 12);
        return result;
    };
    const auto configured = remove_duplicates(*rc::gen::arbitrary<std::vector<std::uint8_t>>());
    const auto indexed =
        remove_duplicates(*rc::gen::nonEmpty(rc::gen::arbitrary<std::vector<std::uint8_t>>()));
    std::vector<std::string> names;
    for (const int number : configured)
        names.push_back(fmt::format("s{}", number));
    auto view = make_view(names, 1);
    auto& shards = view->indexes["portal"].versions[7];
    shards.clear();
    for (const int number : indexed)
        shards.push_back(fmt::format("s{}", number));
    base::error reason;
    const auto snapshot = pinned_snapshot::create(view, "portal", reason);
    RC_ASSERT(snapshot.has_value());
    for (std::size_t index = 0; index < shards.size(); ++index)
    {
        const bool is_configured =
            std::find(names.begin(), names.end(), shards[index]) != names.end();
        RC_ASSERT((snapshot->shard_at(index) != nullptr) == is_configured);
        if (is_configured)
            RC_ASSERT(snapshot->shard_at(index)->name == shards[index]);
    }
}

// Guards against a shard counted twice, and against a count that differs from the answers held.
RC_GTEST_PROP(gathered_answers_test, any_order_of_answers_counts_each_shard_once,
              (const std::vector<std::pair<std::uint8_t, bool>>& steps))
{
    gathered_answers answers({"a", "b", "c"});
    std::map<std::size_t, std::string> first_answers;
    int number = 0;
    for (const auto& [value, is_answer] : steps)
    {
        const std::size_t shard = value % 3;
        const std::string text = std::to_string(++number);
        if (is_answer)
            RC_ASSERT(answers.add_answer(shard, text) == first_answers.emplace(shard, text).second);
        else
            answers.add_failure(shard, sub_result::failed);
        RC_ASSERT(answers.answered_count() == first_answers.size());
        RC_ASSERT(answers.is_complete() == (first_answers.size() == 3));
        for (std::size_t index = 0; index < 3; ++index)
        {
            RC_ASSERT(answers.entries()[index].is_answered == first_answers.contains(index));
            if (first_answers.contains(index))
                RC_ASSERT(answers.entries()[index].answer == first_answers[index]);
        }
    }
}

// Guards against a cancelled attempt that overwrites the reason why a shard is missing.
TEST(gathered_answers_test, cancellation_after_failure_keeps_the_reason)
{
    gathered_answers answers({"a"});
    answers.add_failure(0, sub_result::version_not_held);
    answers.add_failure(0, sub_result::cancelled);
    EXPECT_TRUE(answers.is_missing_for(sub_result::version_not_held));
}

// A sender whose attempts end when the test calls end(), with the result passed there.
class scripted_sender
{
public:
    struct pending_attempt
    {
        explicit pending_attempt(const asio::any_io_executor& executor) : timer(executor) {}
        asio::steady_timer timer;
        std::string shard;
        std::uint32_t number = 0;
        std::shared_ptr<cancellation> cancel;
        std::optional<sub_reply> reply;
        bool was_cancelled_when_ended = false;
    };

    http::awaitable<sub_reply> send(const configuration::replica& /*target*/,
                                    const sub_request& message, base::time_point /*deadline*/,
                                    std::shared_ptr<cancellation> cancel)
    {
        const asio::any_io_executor executor = co_await asio::this_coro::executor;
        auto attempt = std::make_shared<pending_attempt>(executor);
        attempt->shard = message.shard;
        attempt->number = message.number;
        attempt->cancel = cancel;
        attempt->timer.expires_at(base::time_point::max());
        m_attempts.push_back(attempt);
        boost::system::error_code ignored;
        while (!attempt->reply)
            co_await attempt->timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        co_return *attempt->reply;
    }

    // Ends an attempt, also one that was cancelled: a reply may arrive just after the cancellation.
    static void end(pending_attempt& attempt, sub_result result)
    {
        attempt.was_cancelled_when_ended = attempt.cancel->is_cancelled();
        attempt.reply =
            sub_reply(result, fmt::format("{}/{}", attempt.shard, attempt.number), base::error{});
        attempt.timer.cancel();
    }

    std::vector<std::shared_ptr<pending_attempt>>& attempts() { return m_attempts; }

private:
    std::vector<std::shared_ptr<pending_attempt>> m_attempts;
};

// A policy that sends as many hedges and retries as the test allows.
struct scripted_policy
{
    struct state
    {
        int hedges_allowed = 0;
        int retries_allowed = 0;
        int begun = 0;
        int finished = 0;
    };

    const configuration::replica* choose(const configuration::shard& shard,
                                         const std::vector<std::string>& tried, base::error& reason)
    {
        for (const configuration::replica& item : shard.replicas)
            if (std::find(tried.begin(), tried.end(), item.name) == tried.end())
                return &item;
        base::fail(reason, base::error_kind::unreachable, "all replicas were tried");
        return nullptr;
    }
    void begin(const configuration::replica&, attempt_kind) { ++shared->begun; }
    void finish(const configuration::replica&, attempt_kind, const sub_reply&, base::duration, bool)
    {
        ++shared->finished;
    }
    std::optional<base::duration> hedge_delay(base::time_point, std::uint32_t)
    {
        if (shared->hedges_allowed == 0)
            return std::nullopt;
        return base::duration::zero();
    }
    bool allow_hedge(const configuration::shard&, const std::vector<std::string>&, base::time_point,
                     std::uint32_t)
    {
        return shared->hedges_allowed > 0 && shared->hedges_allowed-- > 0;
    }
    bool allow_retry(const configuration::shard&, const std::vector<std::string>&, const sub_reply&)
    {
        return shared->retries_allowed > 0 && shared->retries_allowed-- > 0;
    }

    std::shared_ptr<state> shared = std::make_shared<state>();
};

using scripted_run = query_run<scripted_sender, scripted_policy, base::steady_clock_source>;

// One query run on an io_context that the test polls.
class run_fixture
{
public:
    run_fixture(int shard_count, int replicas, base::duration time = 1h)
    {
        std::vector<std::string> shards;
        for (int shard = 0; shard < shard_count; ++shard)
            shards.push_back(fmt::format("s{}", shard));
        base::error reason;
        const auto start = std::chrono::steady_clock::now();
        task.emplace("vm-1",
                     *pinned_snapshot::create(make_view(shards, replicas), "portal", reason),
                     std::make_shared<const std::string>("body"), start, start + time);
        run = scripted_run::create(sender, policy, m_clock, *task);
    }

    void start()
    {
        asio::co_spawn(
            context, [this] { return run->run(); },
            [this](const std::exception_ptr& failure)
            {
                EXPECT_FALSE(failure);
                is_done = true;
            });
    }

    void step()
    {
        context.restart();
        // Timers that have expired already need more than one poll.
        for (int round = 0; round < 3; ++round)
            context.poll();
    }

    std::vector<std::shared_ptr<scripted_sender::pending_attempt>> open_attempts()
    {
        std::vector<std::shared_ptr<scripted_sender::pending_attempt>> result;
        for (const auto& item : sender.attempts())
            if (!item->reply)
                result.push_back(item);
        return result;
    }

    // Ends all open attempts with `result`, and those started because of it, until the run ends.
    void end_run(sub_result result)
    {
        while (!is_done)
        {
            for (const auto& item : open_attempts())
                scripted_sender::end(*item, result);
            step();
        }
    }

    // Runs the same query on another snapshot.
    void restart(pinned_snapshot snapshot)
    {
        task->snapshot = std::move(snapshot);
        run = scripted_run::create(sender, policy, m_clock, *task);
        is_done = false;
        start();
    }

    // Ends the remaining coroutines to avoid leaks.
    void finish_all()
    {
        for (const auto& item : open_attempts())
            scripted_sender::end(*item, sub_result::cancelled);
        step();
    }

    asio::io_context context;
    scripted_sender sender;
    scripted_policy policy;
    std::optional<scripted_run::task> task;
    std::shared_ptr<scripted_run> run;
    bool is_done = false;

private:
    base::steady_clock_source m_clock;
};

// Guards against shards counted twice, answers of cancelled attempts, attempts after the end and
// attempts left running, in any order of answers, failures, hedges and cancellations.
RC_GTEST_PROP(query_run_test, any_order_of_events_counts_each_shard_once_and_stops_all_attempts, ())
{
    const int shard_count = *rc::gen::inRange(1, 5);
    const int replicas = *rc::gen::inRange(1, 4);
    run_fixture fixture(shard_count, replicas);
    fixture.policy.shared->hedges_allowed = *rc::gen::inRange(0, 4);
    fixture.policy.shared->retries_allowed = *rc::gen::inRange(0, 4);
    const bool caller_leaves = *rc::gen::arbitrary<bool>();
    const int leave_after = *rc::gen::inRange(0, 8);
    fixture.start();
    if (caller_leaves && leave_after == 0)
        fixture.run->cancel();
    fixture.step();
    std::map<std::string, std::set<std::string>> usable_answers;
    for (int count = 1; !fixture.is_done; ++count)
    {
        const auto open = fixture.open_attempts();
        RC_ASSERT(!open.empty());
        // Several attempts may end before the run processes them, for example a first attempt and
        // its hedge.
        const int ended_count = *rc::gen::inRange(1, 4);
        for (int number = 0; number < ended_count; ++number)
        {
            auto& item = *open[*rc::gen::inRange<std::size_t>(0, open.size())];
            if (item.reply)
                continue;
            const bool is_answer = *rc::gen::arbitrary<bool>();
            scripted_sender::end(item, is_answer ? sub_result::answered : sub_result::failed);
            if (is_answer && !item.was_cancelled_when_ended)
                usable_answers[item.shard].insert(item.reply->body);
        }
        if (caller_leaves && leave_after == count)
            fixture.run->cancel();
        fixture.step();
    }
    const gathered_answers answers = fixture.run->answers();
    std::size_t answered = 0;
    for (const auto& entry : answers.entries())
    {
        if (!entry.is_answered)
        {
            RC_ASSERT(fixture.run->is_cancelled() || !usable_answers.contains(entry.shard));
            continue;
        }
        ++answered;
        RC_ASSERT(usable_answers[entry.shard].contains(entry.answer));
    }
    RC_ASSERT(answers.answered_count() == answered);

    const std::size_t started = fixture.sender.attempts().size();
    for (const auto& item : fixture.open_attempts())
    {
        RC_ASSERT(item->cancel->is_cancelled());
        scripted_sender::end(*item, sub_result::answered);
    }
    fixture.policy.shared->retries_allowed = 10;
    fixture.policy.shared->hedges_allowed = 10;
    fixture.step();
    RC_ASSERT(fixture.sender.attempts().size() == started);
    RC_ASSERT(fixture.run->answers().answered_count() == answered);
    RC_ASSERT(fixture.policy.shared->begun == fixture.policy.shared->finished);
    std::set<std::pair<std::string, std::uint32_t>> ids;
    for (const auto& item : fixture.sender.attempts())
        RC_ASSERT(ids.emplace(item->shard, item->number).second);
}

// Guards against sub-requests for a caller that left before any was sent.
TEST(query_run_test, run_cancelled_before_its_start_sends_nothing)
{
    run_fixture fixture(4, 2);
    fixture.run->cancel();
    fixture.start();
    fixture.step();
    EXPECT_TRUE(fixture.is_done);
    EXPECT_EQ(fixture.sender.attempts().size(), 0U);
    EXPECT_EQ(fixture.policy.shared->begun, 0);
    fixture.finish_all();
}

// Guards against sub-requests that are sent after the deadline.
TEST(query_run_test, run_without_time_left_sends_nothing)
{
    run_fixture fixture(4, 2, -1ms);
    fixture.start();
    fixture.step();
    EXPECT_TRUE(fixture.is_done);
    EXPECT_EQ(fixture.sender.attempts().size(), 0U);
    fixture.finish_all();
}

// Guards against a first attempt that is not cancelled when its hedge has answered.
TEST(query_run_test, answer_of_hedge_cancels_the_first_attempt_at_once)
{
    run_fixture fixture(2, 2);
    fixture.policy.shared->hedges_allowed = 1;
    fixture.start();
    fixture.step();
    ASSERT_EQ(fixture.sender.attempts().size(), 3U);
    const auto hedge = fixture.sender.attempts().back();
    scripted_sender::end(*hedge, sub_result::answered);
    fixture.step();
    EXPECT_FALSE(fixture.is_done);
    for (const auto& item : fixture.open_attempts())
        EXPECT_EQ(item->cancel->is_cancelled(), item->shard == hedge->shard);
    fixture.run->cancel();
    fixture.step();
    fixture.finish_all();
    EXPECT_TRUE(fixture.is_done);
}

// Guards against a query that is sent to the second replica of each shard after the first ones have
// crashed under it.
TEST(query_run_test, query_under_which_all_replicas_crash_is_repeated_at_one_replica_only)
{
    constexpr std::size_t shard_count = 4;
    run_fixture fixture(shard_count, 2);
    fixture.policy.shared->retries_allowed = shard_count;
    fixture.start();
    fixture.step();
    while (!fixture.is_done)
    {
        for (const auto& item : fixture.open_attempts())
            scripted_sender::end(*item, sub_result::unreachable);
        fixture.step();
    }
    EXPECT_LE(fixture.sender.attempts().size(), shard_count + 1);
    fixture.finish_all();
}

// Guards against an innocent query that loses all shards whose replicas an outage took.
TEST(query_run_test, query_whose_lone_repeat_is_answered_repeats_the_other_shards_too)
{
    constexpr std::size_t shard_count = 4;
    run_fixture fixture(shard_count, 2);
    fixture.policy.shared->retries_allowed = shard_count;
    fixture.start();
    fixture.step();
    for (const auto& item : fixture.open_attempts())
        scripted_sender::end(*item, sub_result::unreachable);
    fixture.step();
    ASSERT_EQ(fixture.open_attempts().size(), 1U);
    scripted_sender::end(*fixture.open_attempts().front(), sub_result::answered);
    fixture.step();
    ASSERT_EQ(fixture.open_attempts().size(), shard_count - 1);
    for (const auto& item : fixture.open_attempts())
        scripted_sender::end(*item, sub_result::answered);
    fixture.step();
    EXPECT_TRUE(fixture.is_done);
    EXPECT_TRUE(fixture.run->answers().is_complete());
}

// Guards against ids that are sent a second time when a query restarts on a newer index.
TEST(query_run_test, run_restarted_on_a_newer_index_repeats_no_number_of_the_first_run)
{
    constexpr int shard_count = 3;
    run_fixture fixture(shard_count, 2);
    fixture.policy.shared->retries_allowed = shard_count;
    fixture.start();
    fixture.step();
    fixture.end_run(sub_result::version_not_held);
    ASSERT_EQ(fixture.sender.attempts().size(), 2U * shard_count);
    base::error reason;
    fixture.restart(
        *pinned_snapshot::create(make_view({"s0", "s1", "s2"}, 2, 8), "portal", reason));
    fixture.step();
    fixture.end_run(sub_result::answered);
    ASSERT_EQ(fixture.sender.attempts().size(), 3U * shard_count);
    std::set<std::uint32_t> numbers;
    for (const auto& item : fixture.sender.attempts())
        EXPECT_TRUE(numbers.insert(item->number).second) << item->shard << "/" << item->number;
    fixture.finish_all();
}

// Guards against a run that waits for shards beyond its deadline.
TEST(query_run_test, deadline_ends_the_run_and_cancels_open_attempts)
{
    run_fixture fixture(3, 2, 20ms);
    fixture.start();
    while (!fixture.is_done)
    {
        fixture.step();
        std::this_thread::sleep_for(1ms);
    }
    EXPECT_TRUE(fixture.run->answers().is_missing_for(sub_result::timeout));
    for (const auto& item : fixture.open_attempts())
        EXPECT_TRUE(item->cancel->is_cancelled());
    fixture.finish_all();
}

// Runs an upstream on loopback, with threads for it and its clients.
class loopback_test : public testing::Test
{
protected:
    void listen(http::handler_function handler)
    {
        base::error reason;
        http::server_options options;
        options.address = http::make_endpoint("127.0.0.1", 0);
        auto made = http::server::create(m_context, options, std::move(handler), reason);
        ASSERT_TRUE(made) << reason.message;
        m_server = *made;
        for (int number = 0; number < 3; ++number)
            m_threads.emplace_back([this] { m_context.run(); });
    }

    void TearDown() override
    {
        // All coroutines must end before the io_context that they use is destroyed.
        if (m_server)
        {
            m_server->stop_accepting();
            m_server->abort_connections();
        }
        m_work.reset();
        for (std::thread& item : m_threads)
            item.join();
    }

    template<class Work>
    auto run(Work work)
    {
        return asio::co_spawn(asio::make_strand(m_context), work, asio::use_future);
    }

    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work{m_context.get_executor()};
    std::shared_ptr<http::server> m_server;
    std::vector<std::thread> m_threads;
};

class connection_pool_test : public loopback_test
{
protected:
    void SetUp() override
    {
        listen([](const http::request&,
                  std::shared_ptr<http::exchange_context>) -> http::awaitable<http::response>
               { co_return http::make_text_response(http::status::ok, "ok"); });
    }

    std::shared_ptr<connection_pool> make_pool(std::size_t limit)
    {
        return connection_pool::create(m_context, m_server->address(), limit);
    }
};

// Guards against more connections than the limit, and against waiters that are never woken.
TEST_F(connection_pool_test, many_users_never_exceed_the_limit_and_all_are_served)
{
    constexpr int user_count = 60;
    constexpr std::size_t limit = 3;
    const auto pool = make_pool(limit);
    std::atomic<int> in_use{0};
    std::atomic<int> served{0};
    std::atomic<bool> is_exceeded{false};
    const auto work = [&]() -> http::awaitable<void>
    {
        for (int round = 0; round < 10; ++round)
        {
            base::error reason;
            auto connection = co_await pool->acquire(std::chrono::steady_clock::now() + 30s,
                                                     std::make_shared<cancellation>(), reason);
            if (!connection)
                co_return;
            if (in_use.fetch_add(1) >= int{limit} || pool->open_count() > limit)
                is_exceeded = true;
            asio::steady_timer timer(co_await asio::this_coro::executor, 100us);
            co_await timer.async_wait(asio::use_awaitable);
            if (round % 3 == 0)
                (*connection)->close();
            in_use.fetch_sub(1);
            pool->release(std::move(*connection));
            served.fetch_add(1);
        }
    };
    std::vector<std::future<void>> users;
    for (int number = 0; number < user_count; ++number)
        users.push_back(run(work));
    for (auto& user : users)
        user.get();
    EXPECT_EQ(served.load(), user_count * 10);
    EXPECT_FALSE(is_exceeded.load());
    EXPECT_LE(pool->open_count(), limit);
    pool->close();
}

// Guards against losing a connection that is given to a waiter just as it times out or is
// cancelled.
TEST_F(connection_pool_test,
       waiters_that_time_out_or_are_cancelled_as_they_are_served_lose_no_connection)
{
    const auto pool = make_pool(1);
    std::atomic<int> served{0};
    std::atomic<int> failed_count{0};
    const auto work = [&](int number) -> http::awaitable<void>
    {
        const asio::any_io_executor executor = co_await asio::this_coro::executor;
        base::error reason;
        auto cancel = std::make_shared<cancellation>();
        asio::steady_timer cancel_timer(executor, std::chrono::microseconds{number % 7 * 150});
        if (number % 2 == 0)
            cancel_timer.async_wait([cancel](const boost::system::error_code&)
                                    { cancel->cancel(); });
        auto connection = co_await pool->acquire(
            std::chrono::steady_clock::now() + std::chrono::microseconds{1000 + number % 5 * 300},
            cancel, reason);
        if (!connection)
        {
            EXPECT_TRUE(reason.kind == base::error_kind::timeout ||
                        reason.kind == base::error_kind::cancelled)
                << reason.message;
            failed_count.fetch_add(1);
            co_return;
        }
        asio::steady_timer timer(executor, 200us);
        co_await timer.async_wait(asio::use_awaitable);
        pool->release(std::move(*connection));
        served.fetch_add(1);
    };
    for (int round = 0; round < 20; ++round)
    {
        std::vector<std::future<void>> users;
        for (int number = 0; number < 20; ++number)
            users.push_back(run([&work, number] { return work(number); }));
        for (auto& user : users)
            user.get();
    }
    EXPECT_EQ(served.load() + failed_count.load(), 400);
    EXPECT_LE(pool->open_count(), 1U);
    // The pool's only connection is available again.
    const auto acquire_last = [&]() -> http::awaitable<bool>
    {
        base::error reason;
        auto connection = co_await pool->acquire(std::chrono::steady_clock::now() + 20s,
                                                 std::make_shared<cancellation>(), reason);
        if (connection)
            pool->release(std::move(*connection));
        co_return connection.has_value();
    };
    EXPECT_TRUE(run(acquire_last).get());
    pool->close();
}

// Guards against a request that waits for a connection although it was cancelled before.
TEST_F(connection_pool_test, request_cancelled_before_its_wait_fails_at_once)
{
    const auto pool = make_pool(1);
    const auto work = [&]() -> http::awaitable<base::error_kind>
    {
        base::error reason;
        auto cancel = std::make_shared<cancellation>();
        const auto deadline = std::chrono::steady_clock::now() + 30s;
        auto held = co_await pool->acquire(deadline, cancel, reason);
        EXPECT_TRUE(held);
        cancel->cancel();
        auto second = co_await pool->acquire(deadline, cancel, reason);
        EXPECT_FALSE(second);
        pool->release(std::move(*held));
        co_return reason.kind;
    };
    const auto start = std::chrono::steady_clock::now();
    EXPECT_EQ(run(work).get(), base::error_kind::cancelled);
    EXPECT_LT(std::chrono::steady_clock::now() - start, 20s);
    pool->close();
}

// Guards against waiters that wait until their deadline although the replica was removed.
TEST_F(connection_pool_test, close_ends_the_wait_of_waiters)
{
    const auto pool = make_pool(1);
    const auto acquire_connection = [&]() -> http::awaitable<connection_pointer>
    {
        base::error reason;
        auto held = co_await pool->acquire(std::chrono::steady_clock::now() + 30s,
                                           std::make_shared<cancellation>(), reason);
        co_return held.value_or(nullptr);
    };
    const connection_pointer held = run(acquire_connection).get();
    ASSERT_TRUE(held);
    auto waiting = run(acquire_connection);
    EXPECT_EQ(waiting.wait_for(50ms), std::future_status::timeout);
    pool->close();
    EXPECT_EQ(waiting.wait_for(20s), std::future_status::ready);
    pool->release(held);
    EXPECT_EQ(pool->open_count(), 0U);
}

// Sends one sub-request to a server that changes one header of its reply.
class reply_check_test : public loopback_test
{
protected:
    sub_reply send_sub_request(const std::string& changed_header, const std::string& changed_value,
                               const std::string& body = R"({"echo":"x"})")
    {
        listen(
            [=, this](const http::request& message,
                      std::shared_ptr<http::exchange_context>) -> http::awaitable<http::response>
            {
                auto reply = http::make_json_response(m_status, body);
                for (const char* name :
                     {"X-Request-Id", "X-Sub-Request", "X-Shard", "X-Index-Version"})
                    if (m_has_ids)
                        reply.set(name, message[name]);
                if (!changed_header.empty())
                    reply.set(changed_header, changed_value);
                co_return reply;
            });
        auto view = make_view({"s0"}, 1);
        configuration::replica& target =
            view->configuration.services["portal"].shards[0].replicas[0];
        target.address.host = "127.0.0.1";
        target.address.port = m_server->address().port();
        m_client.emplace(m_context, m_metrics);
        m_client->apply(*view, [](const configuration::replica&) { return 1; });
        sub_request message;
        message.request_id = "vm-1-a-1";
        message.number = 2;
        message.shard = "s0";
        message.index_version = 7;
        message.body = std::make_shared<const std::string>("x");
        const auto work = [&]() -> http::awaitable<sub_reply>
        {
            co_return co_await m_client->send(target, message,
                                              std::chrono::steady_clock::now() + 20s,
                                              std::make_shared<cancellation>());
        };
        return run(work).get();
    }

    // Connections to the replica that carry further requests.
    std::size_t kept_connections() const { return m_client->find_pool("s0-r0")->open_count(); }

    http::status m_status = http::status::ok;
    bool m_has_ids = true;
    observe::metrics m_metrics;
    std::optional<upstream_client> m_client;
};

// Sends a sub-request that is answered with the given status.
class reply_status_test : public reply_check_test, public testing::WithParamInterface<http::status>
{
protected:
    reply_status_test() { m_status = GetParam(); }
};

// Guards against checks that reject valid replies.
TEST_F(reply_check_test, reply_that_repeats_all_ids_is_accepted)
{
    EXPECT_EQ(send_sub_request("", "").result, sub_result::answered);
}
// Guards against taking the answer to another request.
TEST_F(reply_check_test, reply_with_other_request_id_is_dropped)
{
    EXPECT_EQ(send_sub_request("X-Request-Id", "vm-1-a-2").result, sub_result::mismatched);
}
// Guards against taking the answer to another attempt.
TEST_F(reply_check_test, reply_with_other_sub_request_is_dropped)
{
    EXPECT_EQ(send_sub_request("X-Sub-Request", "1").result, sub_result::mismatched);
}
// Guards against taking the answer of another shard.
TEST_F(reply_check_test, reply_with_other_shard_is_dropped)
{
    EXPECT_EQ(send_sub_request("X-Shard", "s1").result, sub_result::mismatched);
}
// Guards against taking an answer from another index version.
TEST_F(reply_check_test, reply_with_other_version_is_dropped)
{
    EXPECT_EQ(send_sub_request("X-Index-Version", "8").result, sub_result::wrong_version);
}
// Guards against counting a failure as a success.
TEST_F(reply_check_test, success_with_error_member_is_a_failure)
{
    EXPECT_EQ(send_sub_request("", "", R"({"error":{}})").result, sub_result::failed);
}
// Guards against an answer that would make the caller's document invalid.
TEST_F(reply_check_test, success_without_json_is_a_failure)
{
    EXPECT_EQ(send_sub_request("", "", R"({"echo":"x")").result, sub_result::failed);
}

// Guards against a second refusal of an earlier request that is taken for the reply to this one,
// and against a connection on which each later reply answers an earlier request.
TEST_P(reply_status_test, reply_to_another_request_is_dropped_with_its_connection)
{
    EXPECT_EQ(send_sub_request("X-Request-Id", "vm-1-a-2").result, sub_result::mismatched);
    EXPECT_EQ(kept_connections(), 0U);
}
TEST_P(reply_status_test, reply_to_another_attempt_is_dropped_with_its_connection)
{
    EXPECT_EQ(send_sub_request("X-Sub-Request", "1").result, sub_result::mismatched);
    EXPECT_EQ(kept_connections(), 0U);
}
TEST_P(reply_status_test, reply_without_ids_is_dropped_with_its_connection)
{
    m_has_ids = false;
    EXPECT_EQ(send_sub_request("", "").result, sub_result::mismatched);
    EXPECT_EQ(kept_connections(), 0U);
}
// Guards against connections that are closed after each refusal.
TEST_P(reply_status_test, reply_that_repeats_all_ids_keeps_the_connection)
{
    EXPECT_NE(send_sub_request("", "").result, sub_result::mismatched);
    EXPECT_EQ(kept_connections(), 1U);
}
INSTANTIATE_TEST_SUITE_P(statuses, reply_status_test,
                         testing::Values(http::status::ok, http::status::not_found,
                                         http::status::conflict, http::status::misdirected_request,
                                         http::status::too_many_requests,
                                         http::status::internal_server_error,
                                         http::status::service_unavailable,
                                         http::status::gateway_timeout));

// A replica that answers each sub-request, and sends the first part of a second copy of its first
// reply when the connection is idle.
class cut_copy_test : public loopback_test
{
protected:
    cut_copy_test() : m_acceptor(m_context, http::make_endpoint("127.0.0.1", 0))
    {
        for (int number = 0; number < 3; ++number)
            m_threads.emplace_back([this] { m_context.run(); });
        asio::co_spawn(
            m_context, [this] { return accept_connections(); }, asio::detached);
        m_view->configuration.services["portal"].shards[0].replicas[0].address = {
            "127.0.0.1", m_acceptor.local_endpoint().port()};
        m_client.apply(*m_view, [](const configuration::replica&) { return 1; });
    }

    void TearDown() override
    {
        m_client.find_pool("s0-r0")->close();
        asio::post(m_acceptor.get_executor(), [this] { m_acceptor.close(); });
        loopback_test::TearDown();
    }

    sub_reply send(std::uint32_t number)
    {
        const sub_request message{"vm-1-a-1", number, "s0", 7,
                                  std::make_shared<const std::string>("x")};
        const auto work = [&]() -> http::awaitable<sub_reply>
        {
            co_return co_await m_client.send(
                m_view->configuration.services["portal"].shards[0].replicas[0], message,
                std::chrono::steady_clock::now() + 2s, std::make_shared<cancellation>());
        };
        return run(work).get();
    }

    void wait_for_copy() { m_copy_sent.get_future().wait(); }

private:
    http::awaitable<void> accept_connections()
    {
        boost::system::error_code code;
        for (bool is_first = true;; is_first = false)
        {
            http::tcp::socket socket =
                co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, code));
            if (code)
                co_return;
            asio::co_spawn(
                m_context,
                [this, is_first, socket = std::move(socket)]() mutable
                { return serve(std::move(socket), is_first); },
                asio::detached);
        }
    }

    http::awaitable<void> serve(http::tcp::socket socket, bool sends_copy)
    {
        boost::system::error_code code;
        http::beast::flat_buffer buffer;
        for (;;)
        {
            http::request message;
            co_await http::beast::http::async_read(socket, buffer, message,
                                                   asio::redirect_error(asio::use_awaitable, code));
            if (code)
                co_return;
            auto reply = http::make_json_response(http::status::ok, R"({"echo":"x"})");
            for (const char* name : {"X-Request-Id", "X-Sub-Request", "X-Shard", "X-Index-Version"})
                reply.set(name, message[name]);
            reply.prepare_payload();
            co_await http::beast::http::async_write(
                socket, reply, asio::redirect_error(asio::use_awaitable, code));
            if (!std::exchange(sends_copy, false))
                continue;
            asio::steady_timer timer(m_context, 50ms);
            co_await timer.async_wait(asio::use_awaitable);
            const std::string copy = "HTTP/1.1 200 OK\r\nContent-Length: 10000\r\n\r\n{";
            co_await asio::async_write(socket, asio::buffer(copy),
                                       asio::redirect_error(asio::use_awaitable, code));
            m_copy_sent.set_value();
        }
    }

    std::shared_ptr<configuration::view> m_view = make_view({"s0"}, 1);
    observe::metrics m_metrics;
    http::tcp::acceptor m_acceptor;
    upstream_client m_client{m_context, m_metrics};
    std::promise<void> m_copy_sent;
};

// Guards against an answer that is read as the rest of a copy that was cut off, so that its shard
// is missing.
TEST_F(cut_copy_test, connection_with_a_part_of_a_copy_carries_no_further_request)
{
    ASSERT_EQ(send(1).result, sub_result::answered);
    wait_for_copy();
    const sub_reply second = send(2);
    EXPECT_EQ(second.result, sub_result::answered)
        << to_string(second.result) << ": " << second.reason.message;
}

// Runs queries at two replicas that hold index version 8 only. On each connection the first refusal
// is sent a second time when the next request has arrived.
class late_refusal_test : public loopback_test
{
protected:
    using run_type = query_run<upstream_client, scripted_policy, base::steady_clock_source>;

    late_refusal_test()
        : m_acceptor(asio::make_strand(m_context), http::make_endpoint("127.0.0.1", 0))
    {
        for (int number = 0; number < 3; ++number)
            m_threads.emplace_back([this] { m_context.run(); });
        asio::co_spawn(
            m_acceptor.get_executor(), [this] { return accept_connections(); }, asio::detached);
        m_client.apply(*view_of(7), [](const configuration::replica&) { return 1; });
    }

    void TearDown() override
    {
        for (const char* name : {"s0-r0", "s0-r1"})
            m_client.find_pool(name)->close();
        asio::post(m_acceptor.get_executor(), [this] { m_acceptor.close(); });
        loopback_test::TearDown();
    }

    pinned_snapshot snapshot_of(std::uint64_t index_version)
    {
        base::error reason;
        return *pinned_snapshot::create(view_of(index_version), "portal", reason);
    }

    std::shared_ptr<run_type> run_query(const run_type::task& task, int retries_allowed)
    {
        scripted_policy policy;
        policy.shared->retries_allowed = retries_allowed;
        auto result = run_type::create(m_client, policy, m_clock, task);
        run([&] { return result->run(); }).get();
        return result;
    }

private:
    std::shared_ptr<configuration::view> view_of(std::uint64_t index_version)
    {
        auto result = make_view({"s0"}, 2, index_version);
        for (auto& replica : result->configuration.services["portal"].shards[0].replicas)
            replica.address = {"127.0.0.1", m_acceptor.local_endpoint().port()};
        return result;
    }

    http::awaitable<void> accept_connections()
    {
        boost::system::error_code code;
        for (;;)
        {
            http::tcp::socket socket =
                co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, code));
            if (code)
                co_return;
            asio::co_spawn(
                m_acceptor.get_executor(),
                [this, socket = std::move(socket)]() mutable { return serve(std::move(socket)); },
                asio::detached);
        }
    }

    static http::response make_reply(const http::request& message)
    {
        const bool is_held = message["X-Index-Version"] == "8";
        auto reply = http::make_json_response(is_held ? http::status::ok : http::status::conflict,
                                              R"({"echo":"x"})");
        for (const char* name : {"X-Request-Id", "X-Sub-Request", "X-Shard", "X-Index-Version"})
            reply.set(name, message[name]);
        reply.prepare_payload();
        return reply;
    }

    http::awaitable<void> serve(http::tcp::socket socket)
    {
        boost::system::error_code code;
        http::beast::flat_buffer buffer;
        std::optional<http::response> copy;
        for (bool is_first = true;; is_first = false)
        {
            http::request message;
            co_await http::beast::http::async_read(socket, buffer, message,
                                                   asio::redirect_error(asio::use_awaitable, code));
            if (code)
                co_return;
            if (copy)
                co_await http::beast::http::async_write(
                    socket, *copy, asio::redirect_error(asio::use_awaitable, code));
            copy.reset();
            http::response reply = make_reply(message);
            co_await http::beast::http::async_write(
                socket, reply, asio::redirect_error(asio::use_awaitable, code));
            if (is_first && reply.result() == http::status::conflict)
                copy = std::move(reply);
        }
    }

    base::steady_clock_source m_clock;
    observe::metrics m_metrics;
    http::tcp::acceptor m_acceptor;
    upstream_client m_client{m_context, m_metrics};
};

// Guards against a late refusal of the first run that is taken for the reply to a sub-request of
// the restarted run.
TEST_F(late_refusal_test, refusal_of_the_first_run_sent_again_is_no_reply_to_the_restarted_run)
{
    const auto start = std::chrono::steady_clock::now();
    run_type::task task("vm-1-a-1", snapshot_of(7), std::make_shared<const std::string>("x"), start,
                        start + 20s);
    const auto first = run_query(task, 0);
    ASSERT_TRUE(first->answers().is_missing_for(sub_result::version_not_held));
    task.snapshot = snapshot_of(8);
    const auto restarted = run_query(task, 1);
    const auto attempts = restarted->attempts();
    ASSERT_EQ(attempts.size(), 2U);
    EXPECT_EQ(attempts[0].replica, first->attempts()[0].replica);
    EXPECT_EQ(attempts[0].result, sub_result::mismatched) << to_string(attempts[0].result);
    EXPECT_TRUE(restarted->answers().is_complete());
}

// Guards against a store that exceeds its capacity or returns the record of another request.
TEST(record_store_test, more_records_than_capacity_keeps_the_newest_within_the_bound)
{
    record_store store;
    const int count = 3 * int{record_store::recent_capacity};
    for (int number = 0; number < count; ++number)
    {
        request_record record;
        record.request_id = std::to_string(number);
        record.kind = "command";
        store.add(std::move(record));
    }
    EXPECT_EQ(store.find(std::to_string(count - 1))->request_id, std::to_string(count - 1));
    EXPECT_FALSE(store.find("0"));
    EXPECT_LE(store.recent(100'000).size(), record_store::recent_capacity);
    EXPECT_EQ(store.recent(10).size(), 10U);
    auto pending_records = store.take_pending();
    EXPECT_EQ(pending_records.size(), record_store::pending_capacity);
    EXPECT_EQ(store.dropped_count(), count - record_store::pending_capacity);
    EXPECT_EQ(pending_records.back()->request_id, std::to_string(count - 1));
    store.return_pending(std::move(pending_records));
    EXPECT_EQ(store.take_pending().size(), record_store::pending_capacity);
}

// Guards against records that are lost or taken twice when requests end while pending records are
// taken.
TEST(record_store_test, records_added_while_others_are_taken_are_each_taken_once)
{
    record_store store;
    constexpr int records_per_writer = 500;
    constexpr int writers = 4;
    std::atomic<int> finished{0};
    std::vector<std::thread> threads;
    for (int writer = 0; writer < writers; ++writer)
        threads.emplace_back(
            [&, writer]
            {
                for (int number = 0; number < records_per_writer; ++number)
                {
                    request_record record;
                    record.request_id = fmt::format("{}-{}", writer, number);
                    record.kind = "command";
                    store.add(std::move(record));
                    EXPECT_TRUE(store.find(fmt::format("{}-{}", writer, number)));
                }
                finished.fetch_add(1);
            });
    std::set<std::string> taken;
    for (bool is_last = false; !is_last;)
    {
        is_last = finished.load() == writers;
        auto records = store.take_pending();
        if (!is_last && records.size() % 2 == 1)
        {
            store.return_pending(std::move(records));
            continue;
        }
        for (const auto& item : records)
            EXPECT_TRUE(taken.insert(item->request_id).second);
    }
    for (std::thread& item : threads)
        item.join();
    EXPECT_EQ(taken.size(), std::size_t{records_per_writer} * writers);
    EXPECT_EQ(store.dropped_count(), 0U);
}

} // namespace ospreystair::query
