// Requests that wait for the trial of another one with the same content.

#include <memory>
#include <vector>

#include <gtest/gtest.h>

#include "forwarding/trial_register.hpp"

namespace ospreystair::forwarding
{
namespace
{

struct waiting_request
{
    base::fingerprint fingerprint() const { return {1, 1}; }
    bool is_finished() const { return has_ended; }

    bool has_ended = false;
};

class trial_register_test : public testing::Test
{
protected:
    using request = std::shared_ptr<waiting_request>;

    trial_register_test()
    {
        for (request& each : m_requests)
            each = std::make_shared<waiting_request>();
        EXPECT_TRUE(m_trials.start(m_requests.front()));
    }

    // Each part of a query asks for the trial.
    void ask(const request& asking)
    {
        constexpr int parts = 4;
        for (int part = 0; part < parts; ++part)
            m_trials.start(asking);
    }

    void end(const request& ended)
    {
        ended->has_ended = true;
        EXPECT_TRUE(m_trials.end(*ended));
    }

    trial_register<waiting_request> m_trials;
    std::vector<request> m_requests{8};
};

// Guards against a VM that stands still: each part of a waiting query queued it once more, and each
// entry asked for all parts again, so that the entries multiplied whenever a caller left.
TEST_F(trial_register_test, request_that_waits_with_several_parts_is_resumed_once)
{
    for (std::size_t index = 1; index < m_requests.size(); ++index)
        ask(m_requests[index]);
    for (std::size_t holder = 0; holder + 1 < m_requests.size(); ++holder)
    {
        end(m_requests[holder]);
        const std::vector<request> expected(
            m_requests.begin() + static_cast<std::ptrdiff_t>(holder + 1), m_requests.end());
        const std::vector<request> resumed = m_trials.take_waiting({1, 1});
        ASSERT_EQ(resumed, expected);
        for (const request& each : resumed)
            ask(each);
    }
}

TEST_F(trial_register_test, request_that_was_resumed_can_wait_again)
{
    ask(m_requests[1]);
    EXPECT_EQ(m_trials.take_waiting({1, 1}).size(), 1U);
    ask(m_requests[1]);
    EXPECT_EQ(m_trials.take_waiting({1, 1}).size(), 1U);
}

} // namespace
} // namespace ospreystair::forwarding
