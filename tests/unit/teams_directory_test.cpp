// Lookup of the teams that callers' keys belong to.

#include <gtest/gtest.h>

#include "teams/team_directory.hpp"

namespace ospreystair::teams
{
namespace
{

team_definition make_team(const std::string& name, std::vector<std::string> keys)
{
    team_definition result;
    result.properties.name = name;
    result.keys = std::move(keys);
    return result;
}

// Guards against keys that open another team's account, and against lookups by part of a key.
TEST(team_directory_test, key_identifies_the_team_that_holds_it)
{
    base::error reason;
    const auto directory = team_directory::create(
        {make_team("a", {"key1", "key2"}), make_team("b", {"key3"})}, reason);
    ASSERT_TRUE(directory) << reason.message;
    EXPECT_EQ(directory->find("key2")->name, "a");
    EXPECT_EQ(directory->find("key3")->name, "b");
    EXPECT_EQ(directory->find("key"), nullptr);
    EXPECT_EQ(directory->find("KEY1"), nullptr);
    EXPECT_EQ(directory->find(""), nullptr);
    EXPECT_EQ(directory->find_named("b")->name, "b");
    EXPECT_EQ(directory->find_named("c"), nullptr);
}

// Guards against a key of two teams, for which no answer is right, and against keys in messages.
TEST(team_directory_test, shared_or_invalid_keys_are_refused_without_naming_them)
{
    base::error reason;
    EXPECT_FALSE(
        team_directory::create({make_team("a", {"secret"}), make_team("b", {"secret"})}, reason));
    EXPECT_EQ(reason.message.find("secret"), std::string::npos);
    EXPECT_FALSE(team_directory::create({make_team("a", {""})}, reason));
    EXPECT_FALSE(team_directory::create({make_team("a", {std::string(257, 'k')})}, reason));
    EXPECT_FALSE(team_directory::create({make_team("a", {}), make_team("a", {})}, reason));
    EXPECT_FALSE(team_directory::create({make_team("", {})}, reason));
    team_definition negative = make_team("a", {"key"});
    negative.properties.quota.requests_per_second = -1;
    EXPECT_FALSE(team_directory::create({negative}, reason));
}

// Guards against names that add header fields to requests, or that other VMs do not find again.
TEST(team_directory_test, names_that_cannot_be_header_fields_are_refused)
{
    base::error reason;
    for (const std::string& name : {std::string("a\r\nX: 1"), std::string("a\tb"),
                                    std::string(" a"), std::string("a "), std::string(257, 'n')})
        EXPECT_FALSE(team_directory::create({make_team(name, {"key"})}, reason)) << name;
    EXPECT_TRUE(team_directory::create({make_team("caf\xc3\xa9 north", {"key"})}, reason));
}

} // namespace
} // namespace ospreystair::teams
