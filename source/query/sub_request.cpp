// Names of sub-request results, as they appear in coverage reports and records.

#include "query/sub_request.hpp"

namespace ospreystair::query
{

std::string_view to_string(sub_result result)
{
    switch (result)
    {
    case sub_result::answered:
        return "answered";
    case sub_result::timeout:
        return "timeout";
    case sub_result::unreachable:
        return "unreachable";
    case sub_result::overloaded:
        return "overloaded";
    case sub_result::version_not_held:
        return "version_not_held";
    case sub_result::wrong_version:
        return "wrong_version";
    case sub_result::wrong_shard:
        return "wrong_shard";
    case sub_result::mismatched:
        return "mismatched";
    case sub_result::failed:
        return "failed";
    case sub_result::no_replica:
        return "no_replica";
    case sub_result::cancelled:
        return "cancelled";
    }
    return "failed";
}

} // namespace ospreystair::query
