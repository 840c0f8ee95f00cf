// The ids of the requests that were sent on one connection.

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

/// Keeps a hash of each id and forgets none, since a copy of a reply may come as late as it likes.
/// When there are `capacity`, each id counts as sent: the connection has to be replaced.
class sent_ids
{
public:
    /// 4 KiB a connection, so that some hundred connections take few MiB of a small VM, and a new
    /// connection is needed for one request in several hundred.
    static constexpr std::size_t max_capacity = 1024;

    explicit sent_ids(std::size_t capacity = max_capacity) : m_capacity(capacity) {}

    /// An empty id names no request.
    void add(std::string_view id)
    {
        if (!id.empty() && !is_full())
            m_hashes.push_back(to_hash(id));
    }

    /// Also true for an id that shares its hash with one that was sent.
    bool contains(std::string_view id) const
    {
        if (id.empty())
            return false;
        return is_full() ||
               std::find(m_hashes.begin(), m_hashes.end(), to_hash(id)) != m_hashes.end();
    }

    bool is_full() const { return m_hashes.size() >= m_capacity; }

private:
    // Half of the hash: one new id in four million is taken for a known one, which costs a
    // connection.
    static std::uint32_t to_hash(std::string_view id)
    {
        return static_cast<std::uint32_t>(base::stable_hash(id));
    }

    std::size_t m_capacity;
    std::vector<std::uint32_t> m_hashes;
};

} // namespace ospreystair::http

#endif
