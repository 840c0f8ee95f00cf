// Merge of unordered records by partial sorting.

#include "forwarding/record_merge.hpp"

#include <algorithm>
#include <functional>

namespace ospreystair::forwarding
{

std::string merge_records(const std::vector<std::string_view>& parts, std::size_t most_records)
{
    std::vector<std::string_view> records;
    for (const std::string_view part : parts)
        for (std::size_t at = 0; at + record_bytes <= part.size(); at += record_bytes)
            records.push_back(part.substr(at, record_bytes));
    const std::size_t count = std::min(most_records, records.size());
    // string_view compares bytes as unsigned characters.
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(count),
                      records.end(), std::greater<>{});
    std::string result;
    result.reserve(count * record_bytes);
    for (std::size_t index = 0; index < count; ++index)
        result += records[index];
    return result;
}

} // namespace ospreystair::forwarding
