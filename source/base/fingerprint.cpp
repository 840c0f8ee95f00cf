// Hashing with XXH3.

#include "base/fingerprint.hpp"

#include <memory>

#include <fmt/format.h>
#include <xxhash.h>

#include "base/number.hpp"

namespace ospreystair::base
{

fingerprint fingerprint::of(std::initializer_list<std::string_view> texts)
{
    const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(XXH3_createState(),
                                                                         &XXH3_freeState);
    XXH3_128bits_reset(state.get());
    for (const std::string_view text : texts)
    {
        const std::uint64_t size = text.size();
        XXH3_128bits_update(state.get(), &size, sizeof size);
        XXH3_128bits_update(state.get(), text.data(), text.size());
    }
    const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
    return {hash.high64, hash.low64};
}

std::optional<fingerprint> fingerprint::parse(std::string_view text)
{
    constexpr std::size_t half_size = 16;
    if (text.size() != 2 * half_size)
        return std::nullopt;
    const auto high = parse_hexadecimal(text.substr(0, half_size));
    const auto low = parse_hexadecimal(text.substr(half_size));
    if (!high || !low)
        return std::nullopt;
    return fingerprint{*high, *low};
}

std::string to_string(const fingerprint& value)
{
    return fmt::format("{:016x}{:016x}", value.high, value.low);
}

} // namespace ospreystair::base
