// The ids of the last requests that were sent on one connection.

#ifndef OSPREYSTAIR_HTTP_SENT_IDS_HPP
#define OSPREYSTAIR_HTTP_SENT_IDS_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/clock.hpp"
#include "base/hash.hpp"

namespace ospreystair::http
{

/// Keeps a hash of each of the last ids. An id that shares its hash with one that was sent counts
/// as sent too.
class sent_ids
{
public:
    /// An id is forgotten only after so long: callers send an id again while they wait for its
    /// answer, which is for some seconds.
    static constexpr std::chrono::seconds min_age{10};
    /// So many ids are kept, however old they are.
    static constexpr std::size_t min_count = 512;

    /// Forgets the oldest id where it may be forgotten. An empty id names no request.
    void add(std::string_view id, base::time_point now)
    {
        if (id.empty())
            return;
        const sent_id added{to_hash(id), to_seconds(now)};
        if (m_ids.size() >= min_count && added.sent_at - m_ids[m_oldest].sent_at > min_age)
        {
            m_ids[m_oldest] = added;
            m_oldest = (m_oldest + 1) % m_ids.size();
            return;
        }
        std::rotate(m_ids.begin(), m_ids.begin() + static_cast<std::ptrdiff_t>(m_oldest),
                    m_ids.end());
        m_oldest = 0;
        m_ids.push_back(added);
    }

    bool contains(std::string_view id) const
    {
        const std::uint32_t hash = to_hash(id);
        return !id.empty() &&
               std::any_of(m_ids.begin(), m_ids.end(),
                           [hash](const sent_id& each) { return each.hash == hash; });
    }

private:
    using coarse_time = std::chrono::duration<std::uint32_t>;

    struct sent_id
    {
        std::uint32_t hash;
        coarse_time sent_at;
    };

    static coarse_time to_seconds(base::time_point time)
    {
        return std::chrono::duration_cast<coarse_time>(time.time_since_epoch());
    }

    // Half of the hash: a new id is taken for a known one once in several million requests, which
    // costs a connection.
    static std::uint32_t to_hash(std::string_view id)
    {
        return static_cast<std::uint32_t>(base::stable_hash(id));
    }

    // In the order of sending, from `m_oldest` on. Grows with the requests, since most connections
    // of a large fleet carry few.
    std::vector<sent_id> m_ids;
    std::size_t m_oldest = 0;
};

} // namespace ospreystair::http

#endif
