// Builds the answer to a gathered query.

#include "forwarding/query_part.hpp"

#include <string_view>

#include <fmt/format.h>

#include "forwarding/record_merge.hpp"

namespace ospreystair::forwarding
{

answer gather_parts(std::vector<query_part>& parts, std::size_t max_records)
{
    answer result;
    result.kind = answer_kind::gathered;
    std::vector<std::string_view> bodies;
    for (query_part& item : parts)
    {
        if (item.state == part_state::answered)
        {
            if (item.tried.size() > 1)
                result.repeated_parts.push_back({item.reply.source, item.reply.receipt});
            result.receipts.push_back(std::move(item.reply.receipt));
            bodies.push_back(item.reply.body);
            continue;
        }
        ++result.missing_parts;
        if (result.reason.empty())
            result.reason =
                fmt::format("{}: {}", item.service, item.reason.empty() ? "overdue" : item.reason);
    }
    result.records = merge_records(bodies, max_records);
    return result;
}

} // namespace ospreystair::forwarding
