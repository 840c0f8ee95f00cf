// Reads of the store's objects through other VMs' mirrors.

#include <atomic>
#include <functional>
#include <future>
#include <optional>
#include <set>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <gtest/gtest.h>

#include "platform/object_mirror.hpp"
#include "platform/store_follower.hpp"
#include "standins/users_platform/store_standin.hpp"
#include "tests/integration/test_client.hpp"

namespace ospreystair::testing_support
{
namespace
{

using namespace std::chrono_literals;
using platform::object_mirror;
using platform::read_source;
using platform::store_changes;
using platform::store_listing;
using platform::store_object;

/// Records what a follower reports and keeps a mirror, as the gateway does.
struct recording_sink
{
    explicit recording_sink(http::asio::io_context& context) : mirror(context) {}

    void on_listing(const store_listing& listing)
    {
        names.clear();
        for (const store_object& item : listing.objects)
            names.insert(item.name);
        mirror.apply_listing(listing.objects, listing.position);
    }
    void on_changes(const store_changes& changes)
    {
        for (const store_object& item : changes.objects)
            if (item.is_deleted)
                names.erase(item.name);
            else
                names.insert(item.name);
        last_age = *changes.age;
        mirror.apply_changes(changes.objects, changes.position, last_age);
    }
    void on_outage(const base::error&) { ++outages; }
    void on_recovery() { ++recoveries; }
    void on_unreadable(std::size_t) {}
    void on_call_succeeded(bool is_store)
    {
        mirror.set_current(is_store);
        is_from_store = is_store;
    }
    void on_call_failed() { mirror.set_current(false); }

    object_mirror mirror;
    std::set<std::string> names;
    std::chrono::milliseconds last_age{0};
    std::atomic<int> outages{0};
    std::atomic<int> recoveries{0};
    std::atomic<bool> is_from_store{false};
};

/// Two VMs: the first reads the store, the second knows the first's mirror and a store address.
class gateway_reads_test : public testing::Test
{
protected:
    gateway_reads_test()
    {
        base::error reason;
        const http::tcp::endpoint any_port{http::asio::ip::make_address("127.0.0.1"), 0};
        m_store = std::move(standins::store_standin::create(m_context, any_port, reason).value());
        http::server_options options;
        options.address = any_port;
        m_relay = http::server::create(
                      m_context, options,
                      [this](const http::request& received,
                             std::shared_ptr<http::exchange_context> peer) {
                          return m_direct_sink.mirror.answer(std::string(received.target()),
                                                             std::move(peer));
                      },
                      reason)
                      .value();
        m_store->put("servers", "one", Json::objectValue);
    }

    ~gateway_reads_test() override
    {
        m_context.stop();
        m_thread.join();
    }

    void start(const http::tcp::endpoint& store_of_second)
    {
        base::error reason;
        m_store_of_first = m_store->serve_edited(m_edit_for_first, reason).value();
        m_direct_follower.emplace(m_context, std::vector<read_source>{{m_store_of_first, false}},
                                  "servers", m_batch_delay, m_direct_sink);
        std::vector<read_source> sources(m_unreachable_relays, {m_unreachable_address, true});
        if (m_unreachable_relays == 0)
            sources.push_back({m_relay->address(), true});
        sources.push_back({store_of_second, false});
        m_relay_follower.emplace(m_context, sources, "servers", 20ms, m_relay_sink);
        http::asio::co_spawn(
            m_context, [this] { return m_direct_follower->run(); }, http::asio::detached);
        http::asio::co_spawn(
            m_context, [this] { return m_relay_follower->run(); }, http::asio::detached);
        m_thread = std::thread([this] { m_context.run(); });
    }

    bool knows(const recording_sink& sink, const std::string& name)
    {
        std::promise<bool> result;
        http::asio::post(m_context, [&] { result.set_value(sink.names.contains(name)); });
        return result.get_future().get();
    }
    bool first_vm_knows(const std::string& name) { return knows(m_direct_sink, name); }
    bool second_vm_knows(const std::string& name) { return knows(m_relay_sink, name); }

    // Takes the store away for some seconds, after which it may come back from an older copy;
    // returns the time from its return until the second VM knows of a change.
    std::chrono::milliseconds measure_recovery(const std::string& name, bool is_restored)
    {
        m_store->keep_copy();
        m_store->set_mode(standins::store_mode::refusing);
        m_store->cut_connections();
        sleep_for(5s);
        if (is_restored)
            m_store->restore_copy();
        m_store->set_mode(standins::store_mode::serving);
        const auto start = std::chrono::steady_clock::now();
        m_store->put("servers", name, Json::objectValue);
        EXPECT_TRUE(wait_until(20s, [&] { return second_vm_knows(name); }));
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - start);
    }

    // Age of the last changes as the second VM reports them.
    std::chrono::milliseconds last_age()
    {
        std::promise<std::chrono::milliseconds> result;
        http::asio::post(m_context, [&] { result.set_value(m_relay_sink.last_age); });
        return result.get_future().get();
    }

    // Removes an object; returns the time until the second VM knows.
    std::chrono::milliseconds remove(const std::string& name)
    {
        const auto start = std::chrono::steady_clock::now();
        m_store->remove("servers", name);
        EXPECT_TRUE(wait_until(5s, [&] { return !second_vm_knows(name); }));
        return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - start);
    }

    std::chrono::milliseconds m_batch_delay{20};
    // Changes the store's answers to the first VM.
    std::function<void(std::string&)> m_edit_for_first = [](std::string&) {
    };
    // VMs that the second one would read from and cannot reach.
    std::size_t m_unreachable_relays = 0;
    http::asio::io_context m_context;
    http::asio::executor_work_guard<http::asio::io_context::executor_type> m_work_guard{
        m_context.get_executor()};
    std::unique_ptr<standins::store_standin> m_store;
    http::tcp::endpoint m_store_of_first;
    std::shared_ptr<http::server> m_relay;
    recording_sink m_direct_sink{m_context};
    recording_sink m_relay_sink{m_context};
    std::optional<platform::store_follower<recording_sink>> m_direct_follower;
    std::optional<platform::store_follower<recording_sink>> m_relay_follower;
    std::thread m_thread;
    // Nothing listens on this port.
    const http::tcp::endpoint m_unreachable_address{http::asio::ip::make_address("127.0.0.1"), 1};
};

// Guards against a VM that cannot read a list to its end and passes the beginning on as the whole,
// and against one that does not read the rest when it can be read.
TEST_F(gateway_reads_test, list_that_cannot_be_read_to_its_end_is_not_mirrored_and_read_again)
{
    m_edit_for_first = [](std::string& text)
    {
        const std::string name = R"("name":"p")";
        for (auto at = text.find(name); at != std::string::npos; at = text.find(name, at))
            text.replace(at, name.size(), R"("name":null)");
    };
    m_store->set_page_size(1);
    m_store->put("servers", "p", Json::objectValue);
    m_store->put("servers", "two", Json::objectValue);
    start(m_store->address());
    ASSERT_TRUE(wait_until(3s, [this] { return second_vm_knows("two"); }));
    EXPECT_TRUE(first_vm_knows("one"));
    EXPECT_FALSE(first_vm_knows("two"));
    m_store->remove("servers", "p");
    EXPECT_TRUE(wait_until(3s, [this] { return first_vm_knows("two"); }));
}

// Guards against a VM that cannot reach the store and misses changes that other VMs have read.
TEST_F(gateway_reads_test, changes_reach_a_vm_that_cannot_reach_the_store)
{
    start(m_unreachable_address);
    EXPECT_TRUE(wait_until(3s, [this] { return second_vm_knows("one"); }));
    m_store->put("servers", "two", Json::objectValue);
    EXPECT_TRUE(wait_until(2s, [this] { return second_vm_knows("two"); }));
    m_store->remove("servers", "one");
    EXPECT_TRUE(wait_until(2s, [this] { return !second_vm_knows("one"); }));
}

// Guards against a mirror that is followed although it may be outdated, since its VM cannot reach
// the store.
TEST_F(gateway_reads_test, mirror_is_refused_while_its_vm_has_lost_the_store)
{
    start(m_unreachable_address);
    ASSERT_TRUE(wait_until(3s, [this] { return second_vm_knows("one"); }));
    m_store->set_mode(standins::store_mode::refusing);
    m_store->cut_connections();
    EXPECT_TRUE(wait_until(5s, [this] { return m_relay_sink.outages.load() > 0; }));
    m_store->set_mode(standins::store_mode::serving);
    m_store->put("servers", "two", Json::objectValue);
    EXPECT_TRUE(wait_until(5s, [this] { return second_vm_knows("two"); }));
    EXPECT_GT(m_relay_sink.recoveries.load(), 0);
}

// Guards against a VM that learns of a drain seconds late, because after an outage it reads the
// missed changes at a rate of one answer of the store per second.
TEST_F(gateway_reads_test, changes_missed_during_an_outage_are_applied_without_delays)
{
    m_batch_delay = 1s;
    start(m_unreachable_address);
    ASSERT_TRUE(wait_until(3s, [this] { return second_vm_knows("one"); }));
    m_store->set_mode(standins::store_mode::refusing);
    m_store->cut_connections();
    for (int number = 0; number < 3'000; ++number)
        m_store->put("servers", "many" + std::to_string(number), Json::objectValue);
    m_store->remove("servers", "one");
    m_store->set_mode(standins::store_mode::serving);
    EXPECT_TRUE(wait_until(3s, [this] { return !second_vm_knows("one"); }));
}

// Guards against a replica that is used too long because the removal of its entry is taken for new
// when it is heard of.
TEST_F(gateway_reads_test, late_deletion_states_its_age_and_prompt_one_none)
{
    constexpr std::chrono::milliseconds polling_margin{200};
    m_batch_delay = 1s;
    start(m_unreachable_address);
    ASSERT_TRUE(wait_until(5s, [this] { return second_vm_knows("one"); }));
    for (const char* name : {"two", "three"})
        m_store->put("servers", name, Json::objectValue);
    ASSERT_TRUE(wait_until(5s, [this] { return second_vm_knows("three"); }));
    // The first VM reads the store again only after the batch delay.
    const std::chrono::milliseconds late = remove("one");
    EXPECT_GE(last_age(), late - polling_margin);
    EXPECT_LE(last_age(), late + m_batch_delay);
    sleep_for(2'500ms);
    remove("two");
    EXPECT_LE(last_age(), polling_margin);
}

// Guards against a VM that takes the answers of a mirror for up to date although the VM that serves
// it has had none from the store for seconds.
TEST_F(gateway_reads_test, age_of_deletion_covers_the_lag_of_the_mirror)
{
    constexpr std::chrono::milliseconds polling_margin{200};
    start(m_store->address());
    // After its start the second VM may read the store for some changes.
    ASSERT_TRUE(wait_until(5s,
                           [this]
                           {
                               m_store->put("servers", "another", Json::objectValue);
                               m_store->remove("servers", "another");
                               return second_vm_knows("one") && !m_relay_sink.is_from_store.load();
                           }));
    m_store->delay_answers_at(m_store_of_first, 20s);
    const std::chrono::milliseconds late = remove("one");
    EXPECT_GT(late, 1s) << "the mirror did not lag";
    EXPECT_GE(last_age(), late - polling_margin);
}

// Guards against changes that are missed, and against objects that are kept, when the store comes
// back from an older copy and gives out its revisions again, also several times.
TEST_F(gateway_reads_test, store_that_comes_back_from_an_older_copy_is_read_anew)
{
    start(m_unreachable_address);
    ASSERT_TRUE(wait_until(3s, [this] { return second_vm_knows("one"); }));
    for (int restoration = 1; restoration <= 3; ++restoration)
    {
        const std::string suffix = std::to_string(restoration);
        m_store->keep_copy();
        m_store->put("servers", "lost" + suffix, Json::objectValue);
        m_store->put("servers", "lost too" + suffix, Json::objectValue);
        ASSERT_TRUE(wait_until(3s, [&] { return second_vm_knows("lost too" + suffix); }));
        m_store->restore_copy();
        m_store->put("servers", "new" + suffix, Json::objectValue);
        m_store->put("servers", "newer" + suffix, Json::objectValue);
        EXPECT_TRUE(wait_until(5s, [&] { return second_vm_knows("newer" + suffix); }));
        EXPECT_TRUE(second_vm_knows("new" + suffix)) << restoration;
        EXPECT_FALSE(second_vm_knows("lost" + suffix)) << restoration;
        EXPECT_FALSE(second_vm_knows("lost too" + suffix)) << restoration;
        EXPECT_TRUE(second_vm_knows("one"));
    }
}

// Guards against a VM that notices the return of the store seconds late, because it tries VMs that
// it cannot reach first, with a pause after each.
TEST_F(gateway_reads_test, return_of_the_store_is_noticed_within_the_retry_interval)
{
    constexpr std::chrono::milliseconds margin{300};
    m_unreachable_relays = 5;
    start(m_store->address());
    ASSERT_TRUE(wait_until(10s, [this] { return second_vm_knows("one"); }));
    const auto bound = platform::store_follower<recording_sink>::store_retry_interval + margin;
    EXPECT_LE(measure_recovery("two", false), bound);
    EXPECT_LE(measure_recovery("three", true), bound);
    EXPECT_LE(measure_recovery("four", true), bound);
}

// Guards against a VM that goes back to an earlier era, because the VM it reads from has not heard
// of the later one yet.
TEST_F(gateway_reads_test, source_of_an_earlier_era_is_not_used)
{
    start(m_unreachable_address);
    ASSERT_TRUE(wait_until(3s, [this] { return second_vm_knows("one"); }));
    http::asio::post(m_context, [this] { m_relay_follower->require_era(2); });
    m_store->put("servers", "two", Json::objectValue);
    sleep_for(1'000ms);
    EXPECT_FALSE(second_vm_knows("two"));
    EXPECT_TRUE(second_vm_knows("one"));
    m_store->keep_copy();
    m_store->restore_copy();
    EXPECT_TRUE(wait_until(5s, [this] { return second_vm_knows("two"); }));
}

// Guards against a VM that depends on a single other VM: it must read the store when the mirror is
// unreachable.
TEST_F(gateway_reads_test, store_is_read_when_the_mirror_is_unreachable)
{
    start(m_store->address());
    ASSERT_TRUE(wait_until(3s, [this] { return second_vm_knows("one"); }));
    m_relay->stop_accepting();
    m_relay->abort_connections();
    m_store->put("servers", "two", Json::objectValue);
    EXPECT_TRUE(wait_until(3s, [this] { return second_vm_knows("two"); }));
    EXPECT_TRUE(m_relay_sink.is_from_store.load());
    EXPECT_EQ(m_relay_sink.outages.load(), 0);
}

} // namespace
} // namespace ospreystair::testing_support
