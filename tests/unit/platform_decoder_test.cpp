// Decoders of the platform's objects and settings, parsing of callers' requests, and the choice of
// read sources.

#include <algorithm>
#include <set>

#include <gtest/gtest.h>

#include "platform/configuration_decoder.hpp"
#include "platform/forwarded_message.hpp"
#include "platform/json_text.hpp"
#include "platform/read_plan.hpp"
#include "platform/registration_decoder.hpp"
#include "platform/vm_settings.hpp"

namespace ospreystair::platform
{
namespace
{

using namespace std::chrono_literals;

constexpr const char* settings_text = R"(node = "vm1"
zone = "a"
portRange = [7380, 7395]
unknown = { more = 1 }
[listen]
front = "127.0.0.1:8104"
readiness = "127.0.0.1:8108"
[bounds]
drainMs = 5000
retryBudgetRatio = 0.3
retryWindowS = 2.5
[limits]
linkMbps = 21.5
[platform]
address = "10.200.1.7:8102"
)";

// Guards against settings that are read by a wrong name or in a wrong unit.
TEST(vm_settings_test, known_fields_are_read_and_others_ignored)
{
    base::error reason;
    const auto settings = vm_settings::parse(settings_text, reason);
    ASSERT_TRUE(settings) << reason.message;
    EXPECT_EQ(settings->vm, "vm1");
    EXPECT_EQ(settings->store_address.port(), 8102);
    EXPECT_EQ(settings->relay_address.port(), 7380);
    EXPECT_EQ(settings->drain_time, 5000ms);
    EXPECT_EQ(settings->repeats.window, 2500ms);
    EXPECT_DOUBLE_EQ(settings->repeats.ratio, 0.3);
    EXPECT_DOUBLE_EQ(settings->link_mbps, 21.5);
    EXPECT_FALSE(settings->is_first_start);
    const auto first =
        vm_settings::parse("bootstrap = true\n" + std::string(settings_text), reason);
    ASSERT_TRUE(first) << reason.message;
    EXPECT_TRUE(first->is_first_start);
}

// Guards against optional bounds that are taken for given when the settings do not name them.
TEST(vm_settings_test, bounds_of_zones_and_teams_are_optional)
{
    base::error reason;
    const auto plain = vm_settings::parse(settings_text, reason);
    ASSERT_TRUE(plain) << reason.message;
    EXPECT_FALSE(plain->evacuation_time);
    std::string text = settings_text;
    text.insert(text.find("drainMs"), "evacuateMs = 4000\nwarmupOver = 1.5\nwarmupSlack = 5\n"
                                      "quotaWindowS = 4\nquotaOver = 0.1\nquotaSlack = 20\n");
    text += "[zones]\na = \"north\"\nb = \"south\"\n";
    const auto full = vm_settings::parse(text, reason);
    ASSERT_TRUE(full) << reason.message;
    EXPECT_EQ(full->evacuation_time, 4000ms);
    EXPECT_DOUBLE_EQ(full->warm_up_factor, 1.5);
    EXPECT_DOUBLE_EQ(full->warm_up_slack, 5);
    EXPECT_EQ(full->quota_window, 4000ms);
    EXPECT_DOUBLE_EQ(full->quota_excess, 0.1);
    EXPECT_DOUBLE_EQ(full->quota_slack, 20);
    EXPECT_EQ(full->regions.at("b"), "south");
}

// Guards against a reload that misses a change when only one of these bounds differs.
TEST(vm_settings_test, settings_with_another_bound_differ)
{
    base::error reason;
    const auto settings = vm_settings::parse(settings_text, reason);
    ASSERT_TRUE(settings) << reason.message;
    for (const std::string bound : {"drainMs = 4000", "configApplyMs = 4000", "graceS = 9"})
    {
        std::string text = settings_text;
        text.replace(text.find("drainMs = 5000"), 14, bound);
        const auto changed = vm_settings::parse(text, reason);
        ASSERT_TRUE(changed) << reason.message;
        EXPECT_FALSE(*changed == *settings) << bound;
    }
}

// Guards against a start with incomplete settings, and against an error that does not name the
// field.
TEST(vm_settings_test, missing_or_wrong_field_is_named)
{
    base::error reason;
    std::string text = settings_text;
    text.replace(text.find("10.200.1.7:8102"), 15, "somewhere");
    EXPECT_FALSE(vm_settings::parse(text, reason));
    EXPECT_NE(reason.message.find("platform.address"), std::string::npos);
    EXPECT_FALSE(vm_settings::parse("node = \"x\"\n", reason));
    EXPECT_NE(reason.message.find("zone"), std::string::npos);
    EXPECT_FALSE(vm_settings::parse("node = ", reason));
}

Json::Value parse(const std::string& text)
{
    return parse_json(text).value_or(Json::Value());
}

// Guards against limits or traffic shares of routes that are lost in decoding.
TEST(configuration_decoder_test, all_kinds_of_route_are_decoded)
{
    base::error reason;
    const auto table = decode_configuration(parse(R"({"version":9,"routes":[
        {"name":"g","host":"H.example","pathPrefix":"/g/","type":"idempotent","timeoutMs":600,
         "sloMs":60,"priority":2,"gather":["s1","s2"],"maxAttempts":2,"topK":5,"minShare":0.75},
        {"name":"s","host":"h.example","pathPrefix":"/s/","type":"non_idempotent","timeoutMs":500,
         "sloMs":50,"priority":0,"maxAttempts":1,
         "trafficSplit":[{"service":"a","weight":1},{"service":"b","weight":3}]},
        {"name":"o","host":"h.example","pathPrefix":"/o/","type":"idempotent","timeoutMs":500,
         "sloMs":50,"priority":1,"maxAttempts":3,"service":"a","gather":null}],
        "services":[{"name":"a","maxConns":26,"healthPath":"/healthz"}],
        "limits":{"maxHeaderBytes":1000,"maxBodyBytes":2000,"headerTimeoutMs":3,"idleTimeoutMs":4}
        })"),
                                            reason);
    ASSERT_TRUE(table) << reason.message;
    EXPECT_EQ(table->version(), 9U);
    const auto* gather = table->find_route("h.example", "/g/x");
    ASSERT_TRUE(gather);
    EXPECT_EQ(gather->shards, (std::vector<std::string>{"s1", "s2"}));
    EXPECT_EQ(gather->max_records, 5U);
    EXPECT_EQ(gather->objective, 60ms);
    const auto* split = table->find_route("h.example", "/s/x");
    ASSERT_TRUE(split);
    EXPECT_FALSE(split->is_idempotent);
    EXPECT_DOUBLE_EQ(split->services.at(1).weight, 3);
    EXPECT_EQ(table->find_route("h.example", "/o/")->services.at(0).service, "a");
    EXPECT_EQ(table->services().at(0).max_connections, 26U);
    EXPECT_EQ(table->limits().body_bytes, 2000U);
}

// Guards against teams, cold limits and home regions that are lost in decoding.
TEST(configuration_decoder_test, teams_and_cold_limits_are_decoded)
{
    base::error reason;
    const auto table = decode_configuration(parse(R"({"version":9,"routes":[
        {"name":"o","host":"h.example","pathPrefix":"/o/","type":"idempotent","timeoutMs":500,
         "sloMs":50,"service":"a","public":true,"allowedRegions":["north"]}],
        "services":[{"name":"a","maxConns":26,"warmupS":3.5,"warmupPerS":0.5}],
        "tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1,"ratePerS":18,"burst":9,
                    "allowedRegions":["north","south"]},
                   {"name":"t2","apiKeys":["k3"]}]})"),
                                            reason);
    ASSERT_TRUE(table) << reason.message;
    const auto* route = table->find_route("h.example", "/o/");
    EXPECT_TRUE(route->is_public);
    EXPECT_EQ(route->home_regions, std::vector<std::string>{"north"});
    EXPECT_EQ(table->services().at(0).warm_up_time, 3'500ms);
    EXPECT_DOUBLE_EQ(table->services().at(0).warm_up_requests_per_second, 0.5);
    ASSERT_TRUE(table->known_teams());
    const auto team = table->known_teams()->find("k2");
    ASSERT_TRUE(team);
    EXPECT_EQ(team->name, "t1");
    EXPECT_EQ(team->priority, 1);
    EXPECT_DOUBLE_EQ(team->quota.requests_per_second, 18);
    EXPECT_DOUBLE_EQ(team->quota.burst, 9);
    EXPECT_EQ(team->home_regions.size(), 2U);
    EXPECT_FALSE(table->known_teams()->find("k3")->quota.is_limited());
    EXPECT_FALSE(table->known_teams()->find("k3")->priority);
}

// Guards against a malformed configuration that is used in part.
TEST(configuration_decoder_test, wrong_type_refuses_the_whole_configuration)
{
    base::error reason;
    for (const char* text :
         {"[]", "{}", R"({"version":"7"})", R"({"version":-1})", R"({"version":1,"routes":{}})",
          R"({"version":1,"routes":[7]})",
          R"({"version":1,"routes":[{"name":"x","host":"h","pathPrefix":"x","type":"idempotent",
             "timeoutMs":1,"sloMs":1,"service":"s"}]})",
          R"({"version":1,"routes":[{"name":"x","host":"h","pathPrefix":"/","type":"idempotent",
             "timeoutMs":true,"sloMs":1,"service":"s"}]})",
          R"({"version":1,"routes":[{"name":"x","host":"h","pathPrefix":"/","type":"idempotent",
             "timeoutMs":1,"sloMs":1,"gather":["s",1]}]})",
          R"({"version":1,"tenants":{}})",
          R"({"version":1,"tenants":[{"name":"t","apiKeys":["k"],"ratePerS":-1}]})",
          R"({"version":1,"tenants":[{"name":"t","apiKeys":"k"}]})",
          R"({"version":1,"tenants":[{"name":"t","apiKeys":["k"]},{"name":"u","apiKeys":["k"]}]})"})
        EXPECT_FALSE(decode_configuration(parse(text), reason)) << text;
}

// Guards against malformed entries of other writers that are accepted as replicas.
TEST(registration_decoder_test, only_complete_entries_are_decoded)
{
    base::error reason;
    store_object entry;
    entry.name = "i-1";
    entry.content = parse(R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1",
        "slots":2,"state":"draining","warmupLeftMs":1500,"sequence":4,"born":1700000000123})");
    const auto decoded = decode_registration(entry, reason);
    ASSERT_TRUE(decoded) << reason.message;
    EXPECT_EQ(decoded->id, "i-1");
    EXPECT_TRUE(decoded->is_draining);
    EXPECT_EQ(decoded->warm_up_left, 1500ms);
    EXPECT_EQ(decoded->started_at, 1700000000123ms);
    for (const char* member : {"service", "address", "zone", "slots", "state"})
    {
        store_object malformed = entry;
        malformed.content.removeMember(member);
        EXPECT_FALSE(decode_registration(malformed, reason)) << member;
        malformed.content[member] = Json::arrayValue;
        EXPECT_FALSE(decode_registration(malformed, reason)) << member;
    }
    store_object unknown = entry;
    unknown.content["state"] = "resting";
    EXPECT_FALSE(decode_registration(unknown, reason));
    unknown = entry;
    unknown.content["born"] = 1.5;
    EXPECT_FALSE(decode_registration(unknown, reason));
}

// Guards against an entry whose name ends the header field that names the replica in requests.
TEST(registration_decoder_test, entry_is_decoded_if_its_name_can_stand_in_a_header_field)
{
    using namespace std::string_literals;
    base::error reason;
    store_object entry;
    entry.content = parse(R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":2,
        "state":"ready"})");
    for (const std::string& name : {"i&1"s, "i+1"s, "i#1"s, "i%1"s, "i 1"s, "i\xc3\xa9"s})
    {
        entry.name = name;
        EXPECT_TRUE(decode_registration(entry, reason)) << name;
    }
    for (const std::string& name :
         {""s, "i\r\n"s, "i\nX: 1"s, "i\r"s, " i"s, "i "s, "\ti"s, "i\0"s, "i\x7f"s})
    {
        entry.name = name;
        EXPECT_FALSE(decode_registration(entry, reason)) << name;
    }
}

http::request make_caller_request()
{
    http::request received(http::verb::post, "/a/b?c=d", 11);
    received.set(http::field::host, "h.example");
    received.set("Request-Id", "id-1");
    received.set("Deadline-Ms", "300");
    received.set(http::field::connection, "keep-alive, X-Hop");
    received.set("X-Hop", "1");
    received.set("X-Kept", "2");
    received.set(http::field::accept_encoding, "gzip");
    received.body() = "body";
    received.prepare_payload();
    return received;
}

// Guards against keys that leave this VM, and against a team that the caller chooses itself.
TEST(forwarded_message_test, caller_is_replaced_by_its_team_however_it_names_itself)
{
    http::request received = make_caller_request();
    received.insert("Credential", "secret");
    received.insert("CREDENTIAL", "secret2");
    received.insert("tenant", "forged");
    received.insert("Handover-Team", "forged");
    base::error reason;
    auto message = forwarded_message::create(received, reason);
    ASSERT_TRUE(message) << reason.message;
    const base::fingerprint without_team = message->fingerprint;
    message->set_team(received, "real", 7);
    EXPECT_EQ(message->head->find("secret"), std::string::npos);
    EXPECT_EQ(message->head->find("forged"), std::string::npos);
    EXPECT_NE(message->head->find("Tenant: real\r\n"), std::string::npos);
    EXPECT_NE(message->fingerprint, without_team);
    EXPECT_EQ(find_caller_key(received), "");
    const auto handed_over = make_handover_request(*message, "vm1", 7, 100ms);
    EXPECT_NE(handed_over.attempt_head.find("Handover-Team: real\r\n"), std::string::npos);
    EXPECT_NE(handed_over.attempt_head.find("Handover-Team-Version: 7\r\n"), std::string::npos);
    EXPECT_EQ(handed_over.attempt_head.find("secret"), std::string::npos);
}

// Guards against hop-by-hop fields that are passed on, and against a request with two deadlines.
TEST(forwarded_message_test, only_end_to_end_fields_are_passed_on)
{
    base::error reason;
    const auto message = forwarded_message::create(make_caller_request(), reason);
    ASSERT_TRUE(message) << reason.message;
    EXPECT_EQ(message->deadline, 300ms);
    forwarding::registration target;
    target.id = "i-1";
    const auto sent = make_replica_request(*message, target, 123ms);
    const std::string text = *sent.shared_head + sent.attempt_head + *sent.body;
    EXPECT_TRUE(text.starts_with("POST /a/b?c=d HTTP/1.1\r\n"));
    EXPECT_EQ(text.find("X-Hop"), std::string::npos);
    EXPECT_EQ(text.find("gzip"), std::string::npos);
    EXPECT_EQ(text.find("300"), std::string::npos);
    EXPECT_NE(text.find("X-Kept: 2\r\n"), std::string::npos);
    EXPECT_NE(text.find("Content-Length: 4\r\n"), std::string::npos);
    EXPECT_TRUE(text.ends_with("Deadline-Ms: 123\r\nTarget-Instance: i-1\r\n\r\nbody"));
}

// Guards against a request that replicas run without its id, so that the second answer to it is
// taken for that to the next caller's request.
TEST(forwarded_message_test, id_is_passed_on_although_the_connection_field_names_it)
{
    http::request received = make_caller_request();
    received.set(http::field::connection, "request-id, Host, X-Hop");
    base::error reason;
    const auto message = forwarded_message::create(received, reason);
    ASSERT_TRUE(message) << reason.message;
    EXPECT_NE(message->head->find("Request-Id: id-1\r\n"), std::string::npos);
    EXPECT_NE(message->head->find("Host: h.example\r\n"), std::string::npos);
    EXPECT_EQ(message->head->find("X-Hop"), std::string::npos);
}

// Guards against requests that replicas would run with no id or with two ids.
TEST(forwarded_message_test, missing_or_repeated_fields_are_refused)
{
    base::error reason;
    http::request received = make_caller_request();
    received.erase("Request-Id");
    EXPECT_FALSE(forwarded_message::create(received, reason));
    received = make_caller_request();
    received.insert("Request-Id", "id-2");
    EXPECT_FALSE(forwarded_message::create(received, reason));
    received = make_caller_request();
    received.set("Deadline-Ms", "-5");
    EXPECT_FALSE(forwarded_message::create(received, reason));
    received = make_caller_request();
    received.erase(http::field::host);
    EXPECT_FALSE(forwarded_message::create(received, reason));
}

/// Decodes one reply of a replica.
class replica_reply_test : public testing::Test
{
protected:
    static forwarding::attempt_result decode(const std::string& head)
    {
        http::reply_parser parser;
        parser.eager(true);
        boost::system::error_code code;
        const std::string text = "HTTP/1.1 " + head + "Content-Length: 0\r\n\r\n";
        parser.put(boost::asio::buffer(text), code);
        EXPECT_FALSE(code) << text;
        http::upstream_result received;
        received.progress = http::exchange_progress::answered;
        received.reply = &parser;
        return decode_reply(received, reply_use::relayed);
    }

    static std::optional<std::chrono::milliseconds> closed_for(const std::string& value)
    {
        return decode("503 x\r\nNot-Executed: 1\r\nRetry-After: " + value + "\r\n").closed_for;
    }
};

// Guards against a time that is read in a wrong unit, and against values that overflow or are no
// number of seconds.
TEST_F(replica_reply_test, time_without_requests_is_read_as_seconds_with_fractions)
{
    EXPECT_EQ(closed_for("2"), 2'000ms);
    EXPECT_EQ(closed_for(" 0.25 "), 250ms);
    EXPECT_EQ(closed_for("0"), 0ms);
    EXPECT_EQ(closed_for("1e300"), 86'400'000ms);
    for (const char* value :
         {"-1", "soon", "1s", "nan", "inf", "Wed, 21 Oct 2026 07:28:00 GMT", "1,5"})
    {
        EXPECT_FALSE(closed_for(value)) << value;
    }
    EXPECT_NE(decode("503 x\r\nRetry-After: soon\r\n").reason.find("soon"), std::string::npos);
    EXPECT_FALSE(decode("500 x\r\nRetry-After: 2\r\n").closed_for);
}

// Guards against an announcement that is missed or read from another value, and against one that is
// passed on to the caller, whom it does not concern.
TEST_F(replica_reply_test, announcement_of_a_stop_is_read_and_not_passed_on)
{
    const auto leaving = decode("200 x\r\nServer-Leaving: 1\r\nOther: 2\r\n");
    EXPECT_TRUE(leaving.is_leaving);
    ASSERT_EQ(leaving.reply.fields.size(), 1U);
    EXPECT_EQ(leaving.reply.fields.front().first, "Other");
    EXPECT_FALSE(decode("200 x\r\nServer-Leaving: 0\r\n").is_leaving);
    EXPECT_FALSE(decode("200 x\r\n").is_leaving);
}

class read_plan_test : public testing::Test
{
protected:
    static std::vector<fleet_vm> make_fleet(unsigned count)
    {
        std::vector<fleet_vm> result;
        for (unsigned index = 0; index < count; ++index)
            result.push_back({{"vm" + std::to_string(index), "zone" + std::to_string(index % 3)},
                              "10.0.0." + std::to_string(1 + index) + ":7380"});
        return result;
    }

    const http::tcp::endpoint m_store{http::asio::ip::make_address("10.200.0.1"), 8102};
};

// Guards against calls to the store that grow with the number of VMs.
TEST_F(read_plan_test, two_vms_of_each_data_centre_read_the_store_in_a_large_fleet)
{
    for (const unsigned count : {30U, 82U, 200U})
    {
        const auto fleet = make_fleet(count);
        const auto direct =
            std::count_if(fleet.begin(), fleet.end(),
                          [&](const fleet_vm& vm) {
                              return !plan_reads(m_store, vm.location.name, fleet).front().is_relay;
                          });
        EXPECT_EQ(direct, 6);
    }
}

// Guards against callers' requests that are delayed by mirror traffic on a slow link: of 82 VMs, 76
// have a seventh of the link rate of the other six.
TEST_F(read_plan_test, vms_with_the_fastest_links_read_the_store_in_a_large_fleet)
{
    auto fleet = make_fleet(82);
    for (fleet_vm& vm : fleet)
        vm.link_mbps = 21;
    const std::set<std::string> fast_vms{"vm40", "vm41", "vm42", "vm60", "vm61", "vm62"};
    for (fleet_vm& vm : fleet)
        if (fast_vms.contains(vm.location.name))
            vm.link_mbps = 140;
    for (const fleet_vm& vm : fleet)
        EXPECT_EQ(!plan_reads(m_store, vm.location.name, fleet).front().is_relay,
                  fast_vms.contains(vm.location.name))
            << vm.location.name;
}

// Guards against relays in a small fleet, where they save little, and against a VM without any
// source.
TEST_F(read_plan_test, store_is_first_in_a_small_fleet_and_always_a_source)
{
    for (const unsigned count : {1U, 9U, 82U})
    {
        const auto fleet = make_fleet(count);
        for (const fleet_vm& vm : fleet)
        {
            const auto sources = plan_reads(m_store, vm.location.name, fleet);
            const auto own_address = vm.relay_address;
            EXPECT_EQ(std::count_if(sources.begin(), sources.end(),
                                    [](const read_source& each) { return !each.is_relay; }),
                      1);
            for (const read_source& each : sources)
                EXPECT_NE(each.address.address().to_string() + ":7380", own_address);
            EXPECT_TRUE(count > max_direct_readers || !sources.front().is_relay);
        }
    }
}

} // namespace
} // namespace ospreystair::platform
