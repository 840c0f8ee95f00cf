// The ids of the last requests that were sent on one connection.

#ifndef OSPREYSTAIR_HTTP_SENT_IDS_HPP
#define OSPREYSTAIR_HTTP_SENT_IDS_HPP

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "base/hash.hpp"

namespace ospreystair::http
{

/// Keeps hashes of as many ids as late copies of replies can be expected for. Another id with the
/// same hash counts as sent too.
class sent_ids
{
public:
    static constexpr std::size_t capacity = 16;

    /// The oldest id is forgotten when there are `capacity`. An empty id names no request.
    void add(std::string_view id)
    {
        if (id.empty())
            return;
        m_hashes[m_count % capacity] = base::stable_hash(id);
        ++m_count;
    }

    bool contains(std::string_view id) const
    {
        const auto end = m_hashes.begin() + std::min(m_count, capacity);
        return !id.empty() && std::find(m_hashes.begin(), end, base::stable_hash(id)) != end;
    }

private:
    std::array<std::uint64_t, capacity> m_hashes{};
    std::size_t m_count = 0;
};

} // namespace ospreystair::http

#endif
