// What a VM tells and asks the keeper of a team's quota, and the keeper's answer.

#ifndef OSPREYSTAIR_TEAMS_QUOTA_QUESTION_HPP
#define OSPREYSTAIR_TEAMS_QUOTA_QUESTION_HPP

#include <chrono>
#include <string>

namespace ospreystair::teams
{

struct quota_question
{
    std::string team;
    /// Requests that were sent without a permit since the last question; negative when permits are
    /// given back.
    int used = 0;
    /// Requests that wait for a permit.
    unsigned wanted = 0;
    /// 0 for the keeper, from 1 for the standby keepers.
    unsigned rank = 0;
};

struct quota_answer
{
    /// At most the question's `wanted`.
    unsigned granted = 0;
    /// For the requests that got no permit: when the first and the next ones may return.
    std::chrono::milliseconds retry_after{0};
    std::chrono::milliseconds retry_step{0};
    /// Whether requests of the team need a permit.
    bool is_metered = false;
};

} // namespace ospreystair::teams

#endif
