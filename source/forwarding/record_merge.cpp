// Merge of unordered records with a bounded heap.

#include "forwarding/record_merge.hpp"

#include <algorithm>
#include <functional>

namespace ospreystair::forwarding
{

std::string merge_records(const std::vector<std::string_view>& parts, std::size_t max_records)
{
    // A min-heap of the greatest records so far.
    std::vector<std::string_view> greatest;
    greatest.reserve(max_records);
    for (const std::string_view part : parts)
        for (std::size_t at = 0; at + record_bytes <= part.size(); at += record_bytes)
        {
            const std::string_view record = part.substr(at, record_bytes);
            if (greatest.size() == max_records)
            {
                // string_view compares bytes as unsigned characters.
                if (max_records == 0 || record <= greatest.front())
                    continue;
                std::pop_heap(greatest.begin(), greatest.end(), std::greater<>{});
                greatest.pop_back();
            }
            greatest.push_back(record);
            std::push_heap(greatest.begin(), greatest.end(), std::greater<>{});
        }
    std::sort_heap(greatest.begin(), greatest.end(), std::greater<>{});
    std::string result;
    result.reserve(greatest.size() * record_bytes);
    for (const std::string_view record : greatest)
        result += record;
    return result;
}

} // namespace ospreystair::forwarding
