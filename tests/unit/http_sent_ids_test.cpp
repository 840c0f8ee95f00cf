// The ids of the requests that a connection has carried.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "http/sent_ids.hpp"

namespace ospreystair::http
{
namespace
{

struct sending
{
    std::string id;
    base::time_point at;
};

// Guards against a connection that carries an id a second time while a copy of the reply to the
// first sending may still come.
RC_GTEST_PROP(sent_ids_test, last_ids_are_known_whatever_the_order_of_sendings, ())
{
    // Ids that are sent once, so that the first ones of them or of the others are forgotten.
    const int filling = *rc::gen::inRange(0, 2 * static_cast<int>(sent_ids::min_count));
    // Whole seconds, as the ages of ids are counted. From no sending that is old enough to be
    // forgotten to most of them.
    const auto sendings_per_second = *rc::gen::inRange<std::size_t>(1, 120);
    auto numbers = *rc::gen::container<std::vector<int>>(rc::gen::inRange(-40, 0));
    const auto middle = *rc::gen::inRange<std::size_t>(0, numbers.size() + 1);
    for (int number = 0; number < filling; ++number)
        numbers.insert(numbers.begin() + static_cast<std::ptrdiff_t>(middle), number);
    sent_ids sent;
    std::deque<sending> last;
    std::size_t count = 0;
    for (const int number : numbers)
    {
        const std::string id = "request-" + std::to_string(number);
        const base::time_point now{std::chrono::seconds{100 + count++ / sendings_per_second}};
        const bool is_known = std::any_of(last.begin(), last.end(),
                                          [&id](const sending& each) { return each.id == id; });
        RC_ASSERT(sent.contains(id) == is_known);
        sent.add(id, now);
        if (last.size() >= sent_ids::min_count && now - last.front().at > sent_ids::min_age)
            last.pop_front();
        last.push_back({id, now});
    }
}

// Guards against a busy connection that forgets an id within the time for which callers repeat it.
TEST(sent_ids_test, id_is_known_behind_many_others_of_the_same_time)
{
    sent_ids sent;
    const base::time_point start{std::chrono::seconds{100}};
    sent.add("first", start);
    constexpr int others = 10'000;
    for (int number = 0; number < others; ++number)
        sent.add(std::to_string(number), start + number * sent_ids::min_age / others);
    EXPECT_TRUE(sent.contains("first"));
}

// Guards against calls without an id that are taken for repeats of each other.
TEST(sent_ids_test, empty_id_is_never_known)
{
    sent_ids sent;
    sent.add("", {});
    EXPECT_FALSE(sent.contains(""));
}

} // namespace
} // namespace ospreystair::http
