// The ids of the requests that a connection has carried.

#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "http/sent_ids.hpp"

namespace ospreystair::http
{
namespace
{

// Guards against a connection that carries an id a second time while a copy of the reply to the
// first sending may still come.
RC_GTEST_PROP(sent_ids_test, all_ids_are_known_whatever_the_order_of_sendings, ())
{
    const auto numbers = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 200));
    sent_ids sent;
    std::set<std::string> known;
    for (const int number : numbers)
    {
        const std::string id = "request-" + std::to_string(number);
        RC_ASSERT(sent.contains(id) == known.contains(id));
        sent.add(id);
        known.insert(id);
    }
}

// Guards against an id that is forgotten when there is no memory for more.
TEST(sent_ids_test, full_list_takes_each_id_for_known)
{
    sent_ids sent;
    for (std::size_t index = 0; index < sent_ids::max_capacity; ++index)
    {
        EXPECT_FALSE(sent.is_full());
        sent.add("request-" + std::to_string(index));
    }
    EXPECT_TRUE(sent.is_full());
    for (std::size_t index = 0; index < 2 * sent_ids::max_capacity; ++index)
    {
        const std::string id = "request-" + std::to_string(index);
        EXPECT_TRUE(sent.contains(id));
        sent.add(id);
    }
    EXPECT_TRUE(sent.contains("request-0"));
    EXPECT_FALSE(sent.contains(""));
}

// Guards against calls without an id that are taken for repeats of each other.
TEST(sent_ids_test, empty_id_is_never_known)
{
    sent_ids sent;
    sent.add("");
    EXPECT_FALSE(sent.contains(""));
}

} // namespace
} // namespace ospreystair::http
