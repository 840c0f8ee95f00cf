// Request ids. The VM's name and incarnation make them unique without coordination.

#include "base/identifier.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace ospreystair::base
{

std::string to_base36(std::uint64_t value)
{
    constexpr std::uint64_t radix = 36;
    std::string digits;
    do
    {
        digits += "0123456789abcdefghijklmnopqrstuvwxyz"[value % radix];
        value /= radix;
    } while (value != 0);
    std::reverse(digits.begin(), digits.end());
    return digits;
}

identifier_factory::identifier_factory(const process_identity& identity)
    : m_prefix(fmt::format("{}-{}-", identity.vm,
                           to_base36(static_cast<std::uint64_t>(identity.incarnation.count()))))
{
}

std::string identifier_factory::next()
{
    return m_prefix + std::to_string(m_counter.fetch_add(1, std::memory_order_relaxed) + 1);
}

} // namespace ospreystair::base
