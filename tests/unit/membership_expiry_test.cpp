// Which entries of a shared list count as gone.

#include <gtest/gtest.h>

#include "membership/entry_expiry.hpp"

namespace ospreystair::membership
{
namespace
{

using namespace std::chrono_literals;

class entry_expiry_test : public testing::Test
{
protected:
    std::size_t gone_after(base::duration step, std::uint64_t revision_of_first)
    {
        m_now += step;
        return m_expiry.observe({{"one", revision_of_first}, {"two", 7}}, m_now).size();
    }

    base::time_point m_now{1000s};
    entry_expiry m_expiry{20min};
};

// Guards against shares that become less with each VM that was replaced.
TEST_F(entry_expiry_test, entry_without_renewal_is_gone_and_renewed_one_stays)
{
    EXPECT_EQ(gone_after(0s, 1), 0U);
    EXPECT_EQ(gone_after(10min, 2), 0U);
    EXPECT_EQ(gone_after(10min - 1s, 3), 0U);
    const auto gone = m_expiry.observe({{"one", 3}, {"two", 7}}, m_now + 1s);
    ASSERT_EQ(gone.size(), 1U);
    EXPECT_EQ(gone.front().name, "two");
    EXPECT_EQ(gone.front().revision, 7U);
}

// Guards against VMs that are removed because nobody could renew an entry during an outage.
TEST_F(entry_expiry_test, outage_starts_the_time_anew)
{
    EXPECT_EQ(gone_after(0s, 1), 0U);
    m_now += 1h;
    m_expiry.record_outage();
    EXPECT_EQ(gone_after(0s, 1), 0U);
    EXPECT_EQ(gone_after(19min, 1), 0U);
    EXPECT_EQ(gone_after(1min, 1), 2U);
}

// Guards against a VM that comes back under its name and is taken for the old one.
TEST_F(entry_expiry_test, entry_that_was_written_again_is_new)
{
    EXPECT_EQ(gone_after(0s, 1), 0U);
    m_expiry.observe({{"two", 7}}, m_now + 15min);
    EXPECT_EQ(m_expiry.observe({{"one", 9}}, m_now + 30min).size(), 0U);
}

} // namespace
} // namespace ospreystair::membership
