// Lists of the platform's store that span several pages, with entries of other writers among them.

#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "platform/store_client.hpp"
#include "standins/users_platform/store_standin.hpp"

namespace ospreystair::platform
{
namespace
{

constexpr const char* kind = "servers";

/// A store, and a client of it on the same thread.
class paged_store
{
public:
    paged_store()
        : m_store(
              std::move(standins::store_standin::create(m_context, any_port(), m_reason).value()))
    {
    }

    standins::store_standin& store() { return *m_store; }
    std::size_t unreadable() const { return m_unreadable; }
    const base::error& reason() const { return m_reason; }

    /// Lists the objects at an address of the store.
    std::optional<store_listing> list(const http::tcp::endpoint& address)
    {
        store_client client(m_context, address);
        std::optional<store_listing> result;
        run(client.list(kind, read_freshness::latest, m_unreadable, m_reason), result);
        return result;
    }

    bool remove(const std::string& name)
    {
        store_client client(m_context, m_store->address());
        bool result = false;
        run(client.remove(kind, name, m_store->put(kind, name, Json::objectValue), m_reason),
            result);
        return result;
    }

private:
    static http::tcp::endpoint any_port() { return {http::asio::ip::make_address("127.0.0.1"), 0}; }

    template<class Result>
    void run(http::awaitable<Result> call, Result& result)
    {
        bool has_ended = false;
        http::asio::co_spawn(m_context, std::move(call),
                             [&](const std::exception_ptr&, Result ended)
                             {
                                 result = std::move(ended);
                                 has_ended = true;
                             });
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{10};
        m_context.restart();
        while (!has_ended && std::chrono::steady_clock::now() < end)
            m_context.run_one_for(std::chrono::milliseconds{100});
        ASSERT_TRUE(has_ended);
    }

    http::asio::io_context m_context;
    base::error m_reason;
    std::size_t m_unreadable = 0;
    std::unique_ptr<standins::store_standin> m_store;
};

std::set<std::string> names_of(const store_listing& listing)
{
    std::set<std::string> result;
    for (const store_object& item : listing.objects)
        result.insert(item.name);
    return result;
}

rc::Gen<std::string> any_name()
{
    const auto part =
        rc::gen::element<std::string>("a", "z", "&", "+", "#", "?", "%", "%41", "=", "/", " ", "\"",
                                      "\\", "\r\n", "\t", "\x7f", "\xc3\xa9", "&more=1", "after=a");
    return rc::gen::map(rc::gen::nonEmpty(rc::gen::container<std::vector<std::string>>(part)),
                        [](const std::vector<std::string>& parts)
                        {
                            std::string result;
                            for (const std::string& each : parts)
                                result += each;
                            return result;
                        });
}

// Guards against a name that changes the request for the next page: the rest of the list was
// missing, or the whole list failed.
RC_GTEST_PROP(store_list_test, list_in_pages_has_objects_of_all_names, ())
{
    const auto names = *rc::gen::container<std::set<std::string>>(any_name());
    paged_store tested;
    tested.store().set_page_size(*rc::gen::inRange<std::size_t>(1, 4));
    for (const std::string& name : names)
        tested.store().put(kind, name, Json::objectValue);
    const auto listing = tested.list(tested.store().address());
    RC_ASSERT(listing.has_value());
    RC_ASSERT(names_of(*listing) == names);
    RC_ASSERT(listing->objects.size() == names.size());
}

// Guards against an expired entry of an odd name that stays, or whose removal reaches another one.
RC_GTEST_PROP(store_list_test, object_of_any_name_is_removed, ())
{
    const auto name = *any_name();
    paged_store tested;
    RC_ASSERT(tested.remove(name));
    RC_ASSERT(!tested.store().find(kind, name));
}

/// A store with one entry a page, in which the name of the entry "odd" cannot be read.
class nameless_entry_test : public testing::Test
{
protected:
    nameless_entry_test()
    {
        m_tested.store().set_page_size(1);
        for (const char* name : {"a", "odd", "z"})
            m_tested.store().put(kind, name, Json::objectValue);
    }

    std::optional<store_listing> list()
    {
        const auto hide_name = [](std::string& text)
        {
            const std::string name = R"("name":"odd")";
            if (const auto at = text.find(name); at != std::string::npos)
                text.replace(at, name.size(), R"("name":null)");
        };
        base::error reason;
        return m_tested.list(m_tested.store().serve_edited(hide_name, reason).value());
    }

    paged_store m_tested;
};

// Guards against a list that ends at a page which cannot be continued and counts as complete:
// replicas behind it lost their entries.
TEST_F(nameless_entry_test, list_that_cannot_be_continued_is_incomplete)
{
    const auto listing = list();
    ASSERT_TRUE(listing) << m_tested.reason().message;
    EXPECT_FALSE(listing->is_complete);
    EXPECT_EQ(names_of(*listing), std::set<std::string>{"a"});
    EXPECT_EQ(m_tested.unreadable(), 1U);
}

// Guards against the loss of what stands behind an unreadable entry where its page can be
// continued.
TEST_F(nameless_entry_test, list_goes_on_behind_an_entry_between_others)
{
    m_tested.store().set_page_size(2);
    const auto listing = list();
    ASSERT_TRUE(listing) << m_tested.reason().message;
    EXPECT_TRUE(listing->is_complete);
    EXPECT_EQ(names_of(*listing), (std::set<std::string>{"a", "z"}));
}

// Guards against pages that are read for ever when a store sends the same ones again.
TEST(repeating_store_test, list_of_pages_that_repeat_ends_incomplete)
{
    paged_store tested;
    tested.store().set_page_size(1);
    tested.store().put(kind, "a", Json::objectValue);
    tested.store().put(kind, "b", Json::objectValue);
    const auto announce_more = [](std::string& text)
    {
        const std::string end = R"("more":false)";
        if (const auto at = text.find(end); at != std::string::npos)
            text.replace(at, end.size(), R"("more":true)");
        // The last page names the first entry again.
        if (const auto at = text.find(R"("name":"b")"); at != std::string::npos)
            text.replace(at, 10, R"("name":"a")");
    };
    base::error reason;
    const auto listing = tested.list(tested.store().serve_edited(announce_more, reason).value());
    ASSERT_TRUE(listing) << tested.reason().message;
    EXPECT_FALSE(listing->is_complete);
}

} // namespace
} // namespace ospreystair::platform
