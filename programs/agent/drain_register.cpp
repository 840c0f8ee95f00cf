// Text form of drain registers, and the search for those in force.

#include "drain_register.hpp"

#include <charconv>

#include <fmt/format.h>

namespace ospreystair::agent
{

namespace
{

constexpr std::string_view draining_word = "draining ";
constexpr std::string_view serving_word = "serving ";

} // namespace

std::string drain_register::to_text() const
{
    return fmt::format("{}{}", is_draining ? draining_word : serving_word, expires.count());
}

std::optional<drain_register> drain_register::from_text(std::string_view text)
{
    drain_register result;
    if (text.starts_with(draining_word))
    {
        result.is_draining = true;
        text.remove_prefix(draining_word.size());
    }
    else if (text.starts_with(serving_word))
        text.remove_prefix(serving_word.size());
    else
        return std::nullopt;
    std::int64_t milliseconds = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, milliseconds);
    if (parsed.ec != std::errc{} || parsed.ptr != end)
        return std::nullopt;
    result.expires = std::chrono::milliseconds{milliseconds};
    return result;
}

std::set<std::string> find_draining(const membership::register_table& registers,
                                    std::chrono::milliseconds now)
{
    std::set<std::string> result;
    for (auto position = registers.entries().lower_bound(std::string(drain_prefix));
         position != registers.entries().end() && position->first.starts_with(drain_prefix);
         ++position)
    {
        const auto value = drain_register::from_text(position->second.value);
        if (value && value->is_in_force(now))
            result.insert(position->first.substr(drain_prefix.size()));
    }
    return result;
}

std::chrono::milliseconds wall_time()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
}

} // namespace ospreystair::agent
