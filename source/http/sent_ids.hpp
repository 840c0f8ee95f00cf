// The ids of the last requests that were sent on one connection.

#ifndef OSPREYSTAIR_HTTP_SENT_IDS_HPP
#define OSPREYSTAIR_HTTP_SENT_IDS_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/hash.hpp"

namespace ospreystair::http
{

/// Keeps a hash of each of the last ids. An id that shares its hash with one that was sent counts
/// as sent too.
class sent_ids
{
public:
    /// A connection carries one request at a time. Answered in 10 ms each, as many requests take
    /// longer than callers wait for an answer, so that an id is forgotten only after its request
    /// has ended.
    static constexpr std::size_t capacity = 512;

    /// The oldest id is forgotten when there are `capacity`. An empty id names no request.
    void add(std::string_view id)
    {
        if (id.empty())
            return;
        if (m_hashes.size() < capacity)
            m_hashes.push_back(to_hash(id));
        else
            m_hashes[m_count % capacity] = to_hash(id);
        ++m_count;
    }

    bool contains(std::string_view id) const
    {
        return !id.empty() &&
               std::find(m_hashes.begin(), m_hashes.end(), to_hash(id)) != m_hashes.end();
    }

private:
    // Half of the hash: a new id is taken for a known one once in several million requests, which
    // costs a connection.
    static std::uint32_t to_hash(std::string_view id)
    {
        return static_cast<std::uint32_t>(base::stable_hash(id));
    }

    // Grows with the requests, since most connections of a large fleet carry few.
    std::vector<std::uint32_t> m_hashes;
    std::size_t m_count = 0;
};

} // namespace ospreystair::http

#endif
