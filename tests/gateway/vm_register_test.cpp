// The list of VMs that is kept in the platform's store.

#include <atomic>
#include <mutex>
#include <set>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <gtest/gtest.h>

#include "platform/vm_register.hpp"
#include "standins/users_platform/store_standin.hpp"
#include "tests/integration/test_client.hpp"

namespace ospreystair::testing_support
{
namespace
{

using namespace std::chrono_literals;

class vm_register_test : public testing::Test
{
protected:
    vm_register_test()
    {
        base::error reason;
        const http::tcp::endpoint any_port{http::asio::ip::make_address("127.0.0.1"), 0};
        m_store = std::move(standins::store_standin::create(m_context, any_port, reason).value());
        m_address = m_store->address();
    }

    ~vm_register_test() override
    {
        m_context.stop();
        m_thread.join();
    }

    std::unique_ptr<platform::vm_register> make_register(const std::string& name)
    {
        return std::make_unique<platform::vm_register>(
            m_context, m_address, platform::fleet_vm{{name, "a"}, "10.0.0.1:7380", 21},
            platform::vm_register::handlers{[this, name](const std::vector<platform::fleet_vm>& vms)
                                            {
                                                const std::scoped_lock lock(m_mutex);
                                                m_lists[name].clear();
                                                for (const platform::fleet_vm& vm : vms)
                                                    m_lists[name].insert(vm.location.name);
                                            },
                                            [this](const base::error&)
                                            {
                                                ++m_failures;
                                            }},
            platform::register_intervals{50ms, 200ms, 3'000ms});
    }

    void start()
    {
        for (const auto& each : m_registers)
            http::asio::co_spawn(
                m_context, [&each] { return each->run(); }, http::asio::detached);
        m_thread = std::thread([this] { m_context.run(); });
    }

    std::set<std::string> list_of(const std::string& name)
    {
        const std::scoped_lock lock(m_mutex);
        return m_lists[name];
    }

    http::asio::io_context m_context;
    http::asio::executor_work_guard<http::asio::io_context::executor_type> m_work_guard{
        m_context.get_executor()};
    std::unique_ptr<standins::store_standin> m_store;
    // Where the VMs reach the store.
    http::tcp::endpoint m_address;
    std::vector<std::unique_ptr<platform::vm_register>> m_registers;
    std::mutex m_mutex;
    // Guarded by m_mutex.
    std::map<std::string, std::set<std::string>> m_lists;
    std::atomic<int> m_failures{0};
    std::thread m_thread;
};

// Guards against shares that shrink with each replaced VM because its entry is never removed.
TEST_F(vm_register_test, expired_vm_is_removed_and_live_vms_stay)
{
    m_store->put("ospreystair-vms", "vm0", Json::objectValue);
    m_registers.push_back(make_register("vm1"));
    m_registers.push_back(make_register("vm2"));
    start();
    const std::set<std::string> all{"vm0", "vm1", "vm2"};
    const std::set<std::string> live{"vm1", "vm2"};
    ASSERT_TRUE(wait_until(3s, [&] { return list_of("vm1") == all && list_of("vm2") == all; }));
    EXPECT_TRUE(wait_until(10s, [&] { return list_of("vm1") == live && list_of("vm2") == live; }));
    // Longer than the lifetime of an entry: only renewed entries stay.
    sleep_for(3'500ms);
    EXPECT_EQ(list_of("vm1"), live);
    EXPECT_EQ(list_of("vm2"), live);
    EXPECT_FALSE(m_store->find("ospreystair-vms", "vm0").has_value());
}

// Guards against shares that become too large because an entry whose name cannot be read hides the
// VMs behind it.
TEST_F(vm_register_test, list_that_cannot_be_read_to_its_end_loses_no_vm)
{
    const auto hide_name = [](std::string& text)
    {
        const std::string name = R"("name":"vm1-odd")";
        if (const auto at = text.find(name); at != std::string::npos)
            text.replace(at, name.size(), R"("name":null)");
    };
    base::error reason;
    m_address = m_store->serve_edited(hide_name, reason).value();
    m_store->set_page_size(1);
    m_registers.push_back(make_register("vm1"));
    m_registers.push_back(make_register("vm2"));
    start();
    const std::set<std::string> all{"vm1", "vm2"};
    ASSERT_TRUE(wait_until(3s, [&] { return list_of("vm1") == all && list_of("vm2") == all; }));
    m_store->put("ospreystair-vms", "vm1-odd", Json::objectValue);
    sleep_for(1s);
    EXPECT_EQ(list_of("vm1"), all);
    EXPECT_EQ(list_of("vm2"), all);
}

// Guards against an outage of the store that removes entries from the list.
TEST_F(vm_register_test, store_outage_removes_no_vm)
{
    m_store->put("ospreystair-vms", "vm0", Json::objectValue);
    m_registers.push_back(make_register("vm1"));
    start();
    const std::set<std::string> all{"vm0", "vm1"};
    ASSERT_TRUE(wait_until(3s, [&] { return list_of("vm1") == all; }));
    m_store->set_mode(standins::store_mode::refusing);
    sleep_for(3'500ms);
    m_store->set_mode(standins::store_mode::serving);
    sleep_for(1'000ms);
    EXPECT_EQ(list_of("vm1"), all);
    EXPECT_EQ(m_failures.load(), 1) << "one line per series of failures";
    EXPECT_TRUE(m_store->find("ospreystair-vms", "vm0").has_value());
}

// Guards against shares that become too large after the store came back without the VMs' entries:
// they write them again at once, and the list does not shrink meanwhile.
TEST_F(vm_register_test, restored_store_gets_all_entries_again_and_no_list_shrinks)
{
    m_store->keep_copy();
    for (const char* name : {"vm1", "vm2", "vm3"})
    {
        m_registers.push_back(make_register(name));
        m_registers.back()->client().set_era_handler(
            [known_era = std::uint64_t{1},
             target = m_registers.back().get()](std::uint64_t era) mutable
            {
                if (era > std::exchange(known_era, era))
                    target->on_store_restored();
            });
    }
    start();
    const std::set<std::string> all{"vm1", "vm2", "vm3"};
    ASSERT_TRUE(wait_until(3s, [&] { return list_of("vm1") == all && list_of("vm3") == all; }));
    m_store->restore_copy();
    const auto has_all_entries = [this, &all]
    {
        return std::all_of(all.begin(), all.end(),
                           [this](const std::string& name)
                           { return m_store->find("ospreystair-vms", name).has_value(); });
    };
    const auto end = std::chrono::steady_clock::now() + 2s;
    while (std::chrono::steady_clock::now() < end)
    {
        ASSERT_EQ(list_of("vm1"), all);
        ASSERT_EQ(list_of("vm3"), all);
        sleep_for(10ms);
    }
    EXPECT_TRUE(has_all_entries());
}

} // namespace
} // namespace ospreystair::testing_support
