// Hybrid logical clock over the system's wall clock.

#include "observe/hybrid_clock.hpp"

#include <algorithm>
#include <charconv>

#include <fmt/format.h>

namespace ospreystair::observe
{

namespace
{

std::chrono::milliseconds wall_time()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace

std::string stamp::to_text() const
{
    return fmt::format("{}.{}", physical.count(), logical);
}

std::optional<stamp> stamp::from_text(std::string_view text)
{
    const char* const end = text.data() + text.size();
    std::int64_t milliseconds = 0;
    const auto parsed_physical = std::from_chars(text.data(), end, milliseconds);
    if (parsed_physical.ec != std::errc{} || parsed_physical.ptr == end ||
        *parsed_physical.ptr != '.')
        return std::nullopt;
    std::uint32_t logical = 0;
    const auto parsed_logical = std::from_chars(parsed_physical.ptr + 1, end, logical);
    if (parsed_logical.ec != std::errc{} || parsed_logical.ptr != end)
        return std::nullopt;
    return stamp{std::chrono::milliseconds{milliseconds}, logical};
}

stamp hybrid_clock::tick()
{
    const std::chrono::milliseconds now = wall_time();
    const std::scoped_lock lock(m_mutex);
    if (now > m_last.physical)
        m_last = stamp{now, 0};
    else
        ++m_last.logical;
    return m_last;
}

void hybrid_clock::observe(stamp remote)
{
    if (remote.physical > wall_time() + max_clock_lead)
        return;
    const std::scoped_lock lock(m_mutex);
    m_last = std::max(m_last, remote);
}

} // namespace ospreystair::observe
