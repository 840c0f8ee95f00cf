// An upstream replica that names the requests a second which it takes from all VMs together.

#include <fmt/format.h>
#include <gtest/gtest.h>

#include "tests/integration/test_cluster.hpp"

namespace ospreystair::testing_support
{

using namespace std::chrono_literals;

class request_limit_test : public testing::Test
{
protected:
    std::uint64_t requests(const std::string& replica)
    {
        return m_cluster.upstream_counts()["replicas"][replica]["requests"].asUInt64();
    }

    void set_limit(const std::string& replica, const std::string& value)
    {
        EXPECT_EQ(m_cluster
                      .control_upstreams(fmt::format(
                          R"({{"replicas":["{}"],"set":{{"request_limit":{}}}}})", replica, value))
                      .status,
                  200);
    }

    void query_for(std::chrono::milliseconds duration)
    {
        const auto end = std::chrono::steady_clock::now() + duration;
        for (std::size_t count = 0; std::chrono::steady_clock::now() < end; ++count)
        {
            const auto reply = m_cluster.query(count % m_cluster.vm_count(), "portal", "{}");
            EXPECT_EQ(reply.status, 200);
            EXPECT_EQ(reply.header("X-Coverage"), "4/4");
            std::this_thread::sleep_for(10ms);
        }
    }

    test_cluster m_cluster{{.services = {{.name = "portal"}}}};
};

// Guards against entries that go on sending a replica in need as much as before.
TEST_F(request_limit_test, limited_replica_gets_its_rate_from_all_vms_until_it_names_none)
{
    const std::string limited = test_cluster::replica_name("portal", 0, 0);
    constexpr double limit = 5;
    set_limit(limited, "5");
    query_for(1s);
    const std::uint64_t before = requests(limited);
    query_for(4s);
    const auto arrivals = static_cast<double>(requests(limited) - before);
    EXPECT_LE(arrivals, 1.5 * limit * 4 + 5);
    EXPECT_GE(arrivals, limit);
    set_limit(limited, "null");
    query_for(1s);
    const std::uint64_t after = requests(limited);
    query_for(2s);
    EXPECT_GT(requests(limited) - after, 20U);
}

} // namespace ospreystair::testing_support
