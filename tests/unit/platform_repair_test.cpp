// JSON text with single values that cannot be read.

#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "platform/json_repair.hpp"
#include "platform/json_text.hpp"

namespace ospreystair::platform
{
namespace
{

std::string nest(unsigned depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

// Guards against one odd object in the store that makes the list of all objects unreadable, so that
// VMs have no replicas or stop following the list.
TEST(json_repair_test, odd_value_becomes_null_and_all_others_hold)
{
    for (const std::string& odd :
         {nest(5'000), std::string("1e999"), std::string("-1e999"), std::string(R"("\ud800")"),
          std::string(R"("\x")"), R"({"a":)" + nest(2'000) + "}", std::string("nonsense")})
    {
        const std::string text = R"({"items":[{"meta":{"name":"a\"]"},"spec":{"slots":1}},)"
                                 R"({"meta":{"name":"b"},"spec":{"slots":)" +
                                 odd +
                                 R"(}} , {"meta":{"name":"c"},"spec":{"slots":3}}],"asOf":7})";
        ASSERT_FALSE(parse_json(text)) << odd.substr(0, 20);
        const auto repaired = parse_json(repair_json(text));
        ASSERT_TRUE(repaired) << odd.substr(0, 20);
        EXPECT_EQ((*repaired)["asOf"].asUInt(), 7U);
        const Json::Value& items = (*repaired)["items"];
        ASSERT_EQ(items.size(), 3U);
        EXPECT_EQ(items[0]["meta"]["name"].asString(), "a\"]");
        EXPECT_EQ(items[1]["meta"]["name"].asString(), "b");
        EXPECT_FALSE(items[1]["spec"]["slots"].isNumeric());
        EXPECT_EQ(items[2]["spec"]["slots"].asUInt(), 3U);
    }
}

// Guards against a repair that reads past the text or does not end.
RC_GTEST_PROP(json_repair_test, any_text_is_repaired_in_bounded_depth, ())
{
    const auto text = *rc::gen::container<std::string>(
        rc::gen::element('{', '}', '[', ']', '"', '\\', ':', ',', '1', 'e', ' '));
    const std::string repaired = repair_json(text);
    if (parse_json(text))
        RC_ASSERT(repaired == text);
}

} // namespace
} // namespace ospreystair::platform
