// What callers get by what is known of their keys.

#include <gtest/gtest.h>

#include "teams/identification.hpp"

namespace ospreystair::teams
{
namespace
{

constexpr identification_context with_key(bool is_known, bool is_current, bool is_outdated)
{
    return {true, is_known, is_current, is_outdated};
}

// Guards against callers of public routes that are asked for keys.
TEST(identification_test, route_without_keys_is_served_at_any_age_of_the_configuration)
{
    EXPECT_EQ(identify({false, false, false, true}), identification::accepted);
}

// Guards against callers that are turned away during an outage of the store.
TEST(identification_test, known_key_is_served_while_no_newer_configuration_is_known)
{
    EXPECT_EQ(identify(with_key(true, true, false)), identification::accepted);
    EXPECT_EQ(identify(with_key(true, false, false)), identification::accepted);
}

// Guards against a key that was taken away and still opens the system at a VM that is behind.
TEST(identification_test, known_key_waits_while_others_use_a_newer_configuration)
{
    EXPECT_EQ(identify(with_key(true, true, true)), identification::unavailable);
    EXPECT_EQ(identify(with_key(true, false, true)), identification::unavailable);
}

// Guards against a final refusal of a key that a newer configuration may hold.
TEST(identification_test, unknown_key_is_refused_for_good_only_by_a_current_configuration)
{
    EXPECT_EQ(identify(with_key(false, true, false)), identification::unauthorized);
    EXPECT_EQ(identify(with_key(false, false, false)), identification::unavailable);
    EXPECT_EQ(identify(with_key(false, true, true)), identification::unavailable);
}

} // namespace
} // namespace ospreystair::teams
