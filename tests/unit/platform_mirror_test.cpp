// The mirror of the store's objects that a VM serves to others.

#include <chrono>
#include <memory>
#include <string>

#include <gtest/gtest.h>

#include "http/string_views.hpp"
#include "platform/json_text.hpp"
#include "platform/object_mirror.hpp"

namespace ospreystair::platform
{
namespace
{

using namespace std::chrono_literals;

class object_mirror_test : public testing::Test
{
protected:
    object_mirror_test() { m_mirror.set_current(true); }

    static store_object make_object(const std::string& name, int value, bool is_deleted = false)
    {
        store_object result;
        result.name = name;
        result.content["value"] = value;
        result.is_deleted = is_deleted;
        return result;
    }

    static store_position at(std::uint64_t revision, std::uint64_t era = 1)
    {
        return {era, revision};
    }

    http::response send_request(const std::string& query)
    {
        http::response result;
        http::asio::co_spawn(
            m_context,
            [this, query] {
                return m_mirror.answer("/v1/objects/kind" + query,
                                       std::make_shared<http::exchange_context>());
            },
            [&result](const std::exception_ptr&, http::response reply)
            { result = std::move(reply); });
        m_context.restart();
        m_context.run_for(2s);
        return result;
    }

    Json::Value changes_since(std::uint64_t revision)
    {
        const auto reply = send_request("?watch=" + std::to_string(revision) + "&waitMs=1");
        EXPECT_EQ(reply.result(), http::status::ok);
        return parse_json(reply.body()).value_or(Json::Value());
    }

    http::asio::io_context m_context;
    object_mirror m_mirror{m_context};
};

// Guards against a link saturated by outdated versions: in a series of configurations, a follower
// must be sent only the newest.
TEST_F(object_mirror_test, follower_behind_by_several_versions_gets_the_newest_one_only)
{
    m_mirror.apply_listing({make_object("main", 1)}, at(10));
    for (int version = 2; version <= 9; ++version)
        m_mirror.apply_changes({make_object("main", version)},
                               at(10 + static_cast<std::uint64_t>(version)));
    const Json::Value changes = changes_since(11);
    ASSERT_EQ(changes["events"].size(), 1U);
    EXPECT_EQ(changes["events"][0]["object"]["spec"]["value"].asInt(), 9);
    EXPECT_EQ(changes["asOf"].asUInt64(), 19U);
}

// Guards against a deleted replica that followers keep.
TEST_F(object_mirror_test, deleted_object_is_reported_once_and_left_out_of_lists)
{
    m_mirror.apply_listing({make_object("one", 1), make_object("two", 1)}, at(10));
    m_mirror.apply_changes({make_object("one", 1, true)}, at(11));
    const Json::Value changes = changes_since(10);
    ASSERT_EQ(changes["events"].size(), 1U);
    EXPECT_TRUE(changes["events"][0]["deleted"].asBool());
    EXPECT_EQ(changes["events"][0]["object"]["meta"]["name"].asString(), "one");
    const Json::Value list = parse_json(send_request("").body()).value_or(Json::Value());
    ASSERT_EQ(list["items"].size(), 1U);
    EXPECT_EQ(list["items"][0]["meta"]["name"].asString(), "two");
    EXPECT_EQ(changes_since(11)["events"].size(), 0U);
}

// Guards against an object that is reported as deleted after it was created again with the same
// name.
TEST_F(object_mirror_test, object_created_again_is_reported_as_present)
{
    m_mirror.apply_listing({make_object("one", 1)}, at(10));
    m_mirror.apply_changes({make_object("one", 1, true)}, at(11));
    m_mirror.apply_changes({make_object("one", 2)}, at(12));
    const Json::Value changes = changes_since(10);
    ASSERT_EQ(changes["events"].size(), 1U);
    EXPECT_FALSE(changes["events"][0]["deleted"].asBool());
    EXPECT_EQ(changes["events"][0]["object"]["spec"]["value"].asInt(), 2);
}

// Guards against a follower that misses a deletion which the mirror has already dropped.
TEST_F(object_mirror_test, follower_older_than_the_kept_deletions_lists_again)
{
    std::vector<store_object> objects;
    for (std::size_t index = 0; index < object_mirror::max_deletions + 1; ++index)
        objects.push_back(make_object("object" + std::to_string(index), 1));
    m_mirror.apply_listing(objects, at(10));
    std::uint64_t revision = 10;
    for (const store_object& item : objects)
        m_mirror.apply_changes({make_object(item.name, 1, true)}, at(++revision));
    EXPECT_EQ(send_request("?watch=10&waitMs=1").result(), http::status::gone);
    EXPECT_EQ(changes_since(11)["events"].size(), object_mirror::max_deletions);
}

// Guards against a follower that takes changes of another history for those that it misses: after
// the store has come back from a copy, revisions are given out again.
TEST_F(object_mirror_test, answers_state_the_era_and_a_rise_ends_waiting_watches)
{
    m_mirror.apply_listing({make_object("one", 1)}, at(10, 3));
    EXPECT_EQ(send_request("")[http::to_beast(store_era_field)], "3");
    EXPECT_EQ(send_request("?watch=10&waitMs=1")[http::to_beast(store_era_field)], "3");
    http::asio::steady_timer restored(m_context, 20ms);
    restored.async_wait([this](const boost::system::error_code&)
                        { m_mirror.apply_listing({make_object("one", 1)}, at(8, 4)); });
    const auto waiting = send_request("?watch=10&waitMs=1000");
    EXPECT_EQ(waiting.result(), http::status::gone);
    EXPECT_EQ(waiting[http::to_beast(store_era_field)], "4");
}

} // namespace
} // namespace ospreystair::platform
