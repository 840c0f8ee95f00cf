// Registry entries of other writers under names that need care in a request, while processes start.

#include <chrono>
#include <string>

#include <gtest/gtest.h>

#include "tests/gateway/platform_fleet.hpp"
#include "tests/integration/test_client.hpp"

namespace ospreystair::testing_support
{
namespace
{

using namespace std::chrono_literals;

struct odd_name
{
    const char* label;
    const char* text;
};

class odd_entry_test : public testing::TestWithParam<odd_name>
{
protected:
    platform_fleet m_fleet{{}};
};

// Guards against an odd entry at the end of a page that hides all entries behind it from a VM that
// starts.
TEST_P(odd_entry_test, vm_that_starts_uses_the_replicas_behind_the_entry)
{
    Json::Value entry(Json::objectValue);
    entry["owner"] = "another writer";
    m_fleet.store().put("servers", GetParam().text, std::move(entry));
    m_fleet.store().set_page_size(1);
    m_fleet.vm(0).process->kill();
    m_fleet.start(0);
    ASSERT_TRUE(m_fleet.wait_until_ready(0)) << m_fleet.log(0);
    for (int round = 0; round < 10; ++round)
    {
        EXPECT_EQ(m_fleet.send(0, {.path = "/one/q"}).status, 200U);
        EXPECT_EQ(m_fleet.send(0, {.path = "/all/q"}).status, 200U);
    }
    EXPECT_TRUE(wait_until(
        3s, [this] { return m_fleet.log(0).find("registration_ignored") != std::string::npos; }));
}

// All of these sort before the names of the replicas.
INSTANTIATE_TEST_SUITE_P(names, odd_entry_test,
                         testing::Values(odd_name{"ampersand", "a&b"}, odd_name{"plus", "a+b"},
                                         odd_name{"hash", "a#b"}, odd_name{"percent", "a%b"},
                                         odd_name{"escape", "a%41"}, odd_name{"blank", "a b"},
                                         odd_name{"parameter", "a&more=1"},
                                         odd_name{"line_break", "a\r\nb"}),
                         [](const auto& instance) { return std::string(instance.param.label); });

// Guards against an entry at a replica's address whose name ends the header of requests early: the
// replica ran them with another body.
TEST(odd_entry_at_a_replica_test, requests_reach_the_replica_as_they_were_sent)
{
    platform_fleet fleet{{}};
    const auto entry = fleet.store().find("servers", "single-0");
    ASSERT_TRUE(entry);
    fleet.store().put("servers", "single-0\r\n", *entry);
    sleep_for(1500ms);
    const std::string body = "an order";
    for (int round = 0; round < 20; ++round)
        EXPECT_EQ(fleet.send(0, {.path = "/once/q", .method = "POST", .body = body}).status, 200U);
    for (const auto& arrival : fleet.replica("single-0").request_arrivals())
        EXPECT_EQ(arrival.body, body);
}

} // namespace
} // namespace ospreystair::testing_support
