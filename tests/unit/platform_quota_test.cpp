// Messages between VMs about quotas.

#include <gtest/gtest.h>

#include "platform/quota_message.hpp"

namespace ospreystair::platform
{
namespace
{

using namespace std::chrono_literals;

// Guards against fields that change on the way, and against later versions' fields that make a
// message unreadable.
TEST(quota_message_test, message_is_read_back_beside_unknown_fields)
{
    base::error reason;
    quota_message sent{teams::quota_question{"a \"team\"", -2, 3}, {"b", "c"}};
    std::string text = sent.encode();
    text.insert(1, R"("new":[1],)");
    const auto read = quota_message::decode(text, reason);
    ASSERT_TRUE(read) << reason.message;
    EXPECT_EQ(read->question->team, "a \"team\"");
    EXPECT_EQ(read->question->used, -2);
    EXPECT_EQ(read->question->wanted, 3U);
    EXPECT_EQ(read->metered, (std::vector<std::string>{"b", "c"}));

    const auto answer = decode_quota_answer(encode_quota_answer({2, 40ms, 20ms, true}), 3);
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->granted, 2U);
    EXPECT_EQ(answer->retry_after, 40ms);
    EXPECT_EQ(answer->retry_step, 20ms);
    EXPECT_TRUE(answer->is_metered);
}

// Guards against damaged messages that end the process or grant more than was asked for.
TEST(quota_message_test, damaged_messages_are_refused_and_grant_nothing_unasked)
{
    base::error reason;
    for (const std::string text :
         {"", "[]", "{}", R"({"team":1,"used":0,"wanted":1})", R"({"team":"t","used":0})",
          R"({"team":"t","used":99999999999,"wanted":1})", R"({"team":"t","used":0,"wanted":-1})",
          R"({"metered":[1]})"})
        EXPECT_FALSE(quota_message::decode(text, reason)) << text;
    EXPECT_FALSE(decode_quota_answer("{}", 1));
    EXPECT_FALSE(decode_quota_answer(R"({"granted":-1,"metered":true})", 1));
    EXPECT_EQ(decode_quota_answer(R"({"granted":9,"metered":true})", 1)->granted, 1U);
}

} // namespace
} // namespace ospreystair::platform
