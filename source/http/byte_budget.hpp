// Bounds the memory that the unfinished replies of all connections take together.

#ifndef OSPREYSTAIR_HTTP_BYTE_BUDGET_HPP
#define OSPREYSTAIR_HTTP_BYTE_BUDGET_HPP

#include <atomic>
#include <cstddef>

namespace ospreystair::http
{

/// Guards against this failure: many upstreams send replies without end at the same time, each
/// below its own limit, and exhaust the memory of the VM. Thread-safe.
class byte_budget
{
public:
    /// A reply up to this size is always read.
    static constexpr std::size_t small_bytes = 64U << 10U;

    explicit byte_budget(std::size_t limit) : m_limit(limit) {}

    /// Replaces the `before` bytes of one reply by `after` bytes. Returns whether the reply may be
    /// read on; if not, it still counts until it is replaced by 0 bytes.
    bool replace(std::size_t before, std::size_t after)
    {
        const std::size_t used = m_used.fetch_add(after - before) + after - before;
        return after <= small_bytes || used <= m_limit;
    }

    std::size_t used() const { return m_used.load(); }

private:
    const std::size_t m_limit;
    std::atomic<std::size_t> m_used{0};
};

} // namespace ospreystair::http

#endif
