// Ranks the members by rendezvous hashing.

#include "membership/watch_plan.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "base/hash.hpp"

namespace ospreystair::membership
{

std::vector<std::string> plan_watchers(const std::vector<protocol::member_record>& members,
                                       const std::string& data_centre)
{
    std::vector<std::pair<std::uint64_t, std::string>> ranking;
    for (const protocol::member_record& record : members)
        if (record.data_centre == data_centre && record.state <= protocol::member_state::suspect)
            ranking.emplace_back(
                base::stable_hash(fmt::format("watch/{}/{}", data_centre, record.vm)), record.vm);
    std::sort(ranking.begin(), ranking.end());
    std::vector<std::string> result;
    for (const auto& [rank, vm] : ranking)
        if (result.size() < watchers_per_data_centre)
            result.push_back(vm);
    return result;
}

} // namespace ospreystair::membership
