// Merges the records that the shards of a gathered query return.

#ifndef OSPREYSTAIR_FORWARDING_RECORD_MERGE_HPP
#define OSPREYSTAIR_FORWARDING_RECORD_MERGE_HPP

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace ospreystair::forwarding
{

/// Size of one record in bytes; a shorter remainder at the end of a part is ignored.
constexpr std::size_t record_bytes = 16;

/// Returns the `max_records` greatest records of all parts, greatest first, compared byte by byte.
/// Equal records are all kept.
std::string merge_records(const std::vector<std::string_view>& parts, std::size_t max_records);

} // namespace ospreystair::forwarding

#endif
