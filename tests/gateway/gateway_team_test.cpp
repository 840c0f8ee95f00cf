// Callers with keys, at real gateway processes: what replicas, other VMs and logs learn of them.

#include <string>
#include <thread>
#include <vector>

#include <gtest/gtest.h>

#include "tests/gateway/platform_fleet.hpp"
#include "tests/integration/test_client.hpp"

namespace ospreystair::testing_support
{
namespace
{

using namespace std::chrono_literals;

// Text that occurs in nothing but the callers' keys.
constexpr const char* flag_key = "key-7f31c9-flag";
constexpr const char* audit_key = "key-7f31c9-audit";
constexpr const char* key_mark = "7f31c9";

class gateway_team_test : public testing::Test
{
protected:
    explicit gateway_team_test(fleet_options options = {}) : m_fleet(options)
    {
        add_team("flag", {flag_key});
        add_team("audit", {audit_key});
        Json::Value open = platform_fleet::make_route("open", "/open/");
        open["public"] = true;
        m_fleet.configuration()["routes"].append(open);
        publish(flag_key);
    }

    void add_team(const std::string& name, const std::vector<std::string>& keys)
    {
        Json::Value team;
        team["name"] = name;
        for (const std::string& key : keys)
            team["apiKeys"].append(key);
        m_fleet.configuration()["tenants"].append(team);
    }

    /// Publishes the configuration; returns when all VMs serve the key.
    void publish(const std::string& key)
    {
        m_fleet.publish();
        for (std::size_t vm = 0; vm < m_fleet.vm_count(); ++vm)
            EXPECT_TRUE(wait_until(3s,
                                   [&]
                                   {
                                       return send("", vm, "/one/q").status == 401U &&
                                              send(key, vm, "/open/q").status == 200U &&
                                              send(key, vm).status == 200U;
                                   }))
                << m_fleet.log(vm);
    }

    caller_answer send(const std::string& key, std::size_t vm = 0,
                       const std::string& path = "/one/q", const std::string& id = "")
    {
        caller_message message;
        message.path = path;
        message.id = id;
        if (!key.empty())
            message.fields["Credential"] = key;
        return m_fleet.send(vm, message);
    }

    /// What replicas received under the request's id, one text for each arrival.
    std::vector<std::string> received_fields(const std::string& id) const
    {
        std::vector<std::string> result;
        for (const auto& [name, each] : m_fleet.replicas())
            for (const auto& arrival : each->request_arrivals())
                if (arrival.request_id == id)
                    result.push_back(arrival.fields);
        return result;
    }

    /// Whether each arrival names the team once and holds no key.
    void expect_team(const std::string& id, const std::string& team) const
    {
        const auto received = received_fields(id);
        EXPECT_FALSE(received.empty());
        for (const std::string& fields : received)
        {
            EXPECT_NE(fields.find("Tenant: " + team + "\n"), std::string::npos) << fields;
            EXPECT_EQ(fields.find("Tenant: "), fields.rfind("Tenant: ")) << fields;
            EXPECT_EQ(fields.find(key_mark), std::string::npos) << fields;
            EXPECT_EQ(fields.find("forged"), std::string::npos) << fields;
        }
    }

    void expect_no_key_in_logs()
    {
        for (std::size_t vm = 0; vm < m_fleet.vm_count(); ++vm)
            EXPECT_EQ(m_fleet.log(vm).find(key_mark), std::string::npos);
    }

    platform_fleet m_fleet;
};

class gateway_team_handover_test : public gateway_team_test
{
protected:
    gateway_team_handover_test() : gateway_team_test({.vms = 2, .has_routes = true}) {}
};

// Guards against keys at replicas, and against callers that name another team.
TEST_F(gateway_team_test, replicas_get_the_team_whatever_the_caller_says)
{
    for (const char* path : {"/one/q", "/all/q"})
    {
        caller_message message;
        message.path = path;
        message.id = std::string("named") + path[1];
        message.fields["CREDENTIAL"] = flag_key;
        message.fields["tenant"] = "forged";
        EXPECT_EQ(m_fleet.send(0, message).status, 200U);
        expect_team(message.id, "flag");
    }
    expect_no_key_in_logs();
}

// Guards against callers that pass for other VMs, which name the team themselves.
TEST_F(gateway_team_test, caller_cannot_name_its_team_as_another_vm_does)
{
    caller_message message;
    message.path = "/one/q";
    message.fields["Handover-Team"] = "audit";
    message.fields["Handed-Over-By"] = "vm2";
    EXPECT_EQ(m_fleet.send(0, message).status, 401U);
    message.fields["Credential"] = flag_key;
    message.id = "posing";
    EXPECT_EQ(m_fleet.send(0, message).status, 200U);
    expect_team("posing", "flag");
}

// Guards against requests that run although no configuration held their key.
TEST_F(gateway_team_test, unknown_key_is_refused_before_a_replica_sees_it)
{
    const std::string almost = std::string(flag_key) + "s";
    for (const std::string& key : {std::string(), almost, std::string(300, 'k')})
    {
        const auto answer = send(key, 0, "/one/q", "unknown");
        EXPECT_EQ(answer.status, 401U);
        EXPECT_LT(answer.elapsed, 500ms);
    }
    EXPECT_TRUE(received_fields("unknown").empty());
    expect_no_key_in_logs();
}

// Guards against callers of public routes that are asked for a key, and whose key is passed on.
TEST_F(gateway_team_test, public_route_needs_no_key_and_passes_none_on)
{
    EXPECT_EQ(send("", 0, "/open/q").status, 200U);
    EXPECT_EQ(send(flag_key, 0, "/open/q", "open").status, 200U);
    const auto received = received_fields("open");
    ASSERT_FALSE(received.empty());
    EXPECT_EQ(received.front().find(key_mark), std::string::npos);
}

// Guards against refusals that an operator cannot trace to the caller's team or key.
TEST_F(gateway_team_test, logs_and_metrics_name_the_team)
{
    m_fleet.change_all_replicas([](auto& behaviour) { behaviour.refuses = true; });
    EXPECT_EQ(send(audit_key, 0, "/one/q", "turned-away").status, 503U);
    EXPECT_EQ(send("", 0, "/one/q", "no-key").status, 401U);
    for (int index = 0; index < 64; ++index)
        send(audit_key);
    const std::string log = m_fleet.log(0);
    const auto line = [&log](const std::string& id)
    {
        const std::size_t at = log.find("\"request\":\"" + id + "\",\"route\"");
        return at == std::string::npos ? std::string() : log.substr(at, log.find('\n', at) - at);
    };
    EXPECT_NE(line("turned-away").find("\"team\":\"audit\""), std::string::npos) << log;
    EXPECT_NE(log.find("the caller's key is not valid"), std::string::npos);
    EXPECT_NE(m_fleet.metrics(0).find("ospreystair_team_requests_total{team=\"audit\","),
              std::string::npos);
}

// Guards against a VM that keeps the keys of an older configuration.
TEST_F(gateway_team_test, keys_follow_the_configuration)
{
    Json::Value& keys = m_fleet.configuration()["tenants"][0]["apiKeys"];
    const std::string added = std::string(flag_key) + "-next";
    EXPECT_EQ(send(added).status, 401U);
    keys.append(added);
    publish(added);
    EXPECT_EQ(send(flag_key).status, 200U);
    keys = Json::arrayValue;
    keys.append(added);
    m_fleet.publish();
    EXPECT_TRUE(wait_until(3s, [&] { return send(flag_key).status == 401U; }));
    EXPECT_EQ(send(added).status, 200U);
}

// Guards against a final refusal of a caller whose key was added while the store was away.
TEST_F(gateway_team_test, without_the_store_known_keys_are_served_and_others_come_back)
{
    m_fleet.store().set_mode(standins::store_mode::refusing);
    m_fleet.store().cut_connections();
    EXPECT_TRUE(wait_until(5s, [&] { return send("key-unknown").status == 503U; }));
    EXPECT_EQ(send(flag_key).status, 200U);
    EXPECT_EQ(send("", 0, "/open/q").status, 200U);
    m_fleet.store().set_mode(standins::store_mode::serving);
    EXPECT_TRUE(wait_until(5s, [&] { return send("key-unknown").status == 401U; }));
}

// Guards against handovers that show the key to another VM, or that lose the team.
TEST_F(gateway_team_handover_test, handed_over_request_names_the_team)
{
    m_fleet.warm_up(0);
    m_fleet.set_routes(0, "cut");
    for (int index = 0; index < 3; ++index)
        send(flag_key);
    for (int index = 0; index < 10; ++index)
    {
        const std::string id = "over" + std::to_string(index);
        EXPECT_EQ(send(index % 2 == 0 ? flag_key : audit_key, 0, "/one/q", id).status, 200U);
        expect_team(id, index % 2 == 0 ? "flag" : "audit");
    }
    EXPECT_EQ(send("key-unknown").status, 401U);
    expect_no_key_in_logs();
}

// Guards against a key that was taken away and still lets requests run, because a VM which has not
// heard of it hands them over.
TEST_F(gateway_team_handover_test, team_identified_by_an_older_configuration_is_refused)
{
    caller_message message;
    message.path = "/one/q";
    message.id = "outdated";
    message.fields["Handed-Over-By"] = "vm1";
    message.fields["Handover-Team"] = "flag";
    for (const char* version : {"", "0", "x"})
    {
        message.fields["Handover-Team-Version"] = version;
        EXPECT_EQ(m_fleet.hand_over(1, message).status, 503U) << version;
    }
    EXPECT_EQ(m_fleet.executions("outdated"), 0U);
    message.id = "current";
    message.fields["Handover-Team-Version"] = "1000000";
    EXPECT_EQ(m_fleet.hand_over(1, message).status, 200U);
    expect_team("current", "flag");
}

} // namespace
} // namespace ospreystair::testing_support
