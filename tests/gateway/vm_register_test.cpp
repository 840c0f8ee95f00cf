// The list of VMs in the platform's store.

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
        const http::tcp::endpoint any{http::asio::ip::make_address("127.0.0.1"), 0};
        m_store = std::move(standins::store_standin::create(m_context, any, reason).value());
    }

    ~vm_register_test() override
    {
        m_context.stop();
        m_thread.join();
    }

    std::unique_ptr<platform::vm_register> make_register(const std::string& name)
    {
        return std::make_unique<platform::vm_register>(
            m_context, m_store->address(), platform::fleet_vm{{name, "a"}, "10.0.0.1:7380", 21},
            platform::vm_register::handlers{[this, name](const std::vector<platform::fleet_vm>& vms)
                                            {
                                                const std::scoped_lock lock(m_mutex);
                                                m_lists[name].clear();
                                                for (const platform::fleet_vm& vm : vms)
                                                    m_lists[name].insert(vm.place.name);
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
    http::asio::executor_work_guard<http::asio::io_context::executor_type> m_work{
        m_context.get_executor()};
    std::unique_ptr<standins::store_standin> m_store;
    std::vector<std::unique_ptr<platform::vm_register>> m_registers;
    std::mutex m_mutex;
    // Guarded by m_mutex.
    std::map<std::string, std::set<std::string>> m_lists;
    std::atomic<int> m_failures{0};
    std::thread m_thread;
};

// Guards against shares that become less with each VM that is replaced: its entry stayed for ever.
TEST_F(vm_register_test, vm_that_is_gone_for_good_leaves_the_list_and_live_ones_stay)
{
    m_store->put("ospreystair-vms", "vm0", Json::objectValue);
    m_registers.push_back(make_register("vm1"));
    m_registers.push_back(make_register("vm2"));
    start();
    const std::set<std::string> all{"vm0", "vm1", "vm2"};
    const std::set<std::string> live{"vm1", "vm2"};
    ASSERT_TRUE(wait_until(3s, [&] { return list_of("vm1") == all && list_of("vm2") == all; }));
    EXPECT_TRUE(wait_until(10s, [&] { return list_of("vm1") == live && list_of("vm2") == live; }));
    // Longer than a lifetime: renewals keep the others.
    sleep_for(3'500ms);
    EXPECT_EQ(list_of("vm1"), live);
    EXPECT_EQ(list_of("vm2"), live);
    EXPECT_FALSE(m_store->find("ospreystair-vms", "vm0").has_value());
}

// Guards against a list that an outage of the store empties.
TEST_F(vm_register_test, outage_of_the_store_removes_nobody)
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
    EXPECT_EQ(m_failures.load(), 1) << "one line a series of failures";
    EXPECT_TRUE(m_store->find("ospreystair-vms", "vm0").has_value());
}

} // namespace
} // namespace ospreystair::testing_support
