// Random number generators, and the concept by which code accepts any of them.

#ifndef OSPREYSTAIR_BASE_RANDOM_HPP
#define OSPREYSTAIR_BASE_RANDOM_HPP

#include <concepts>
#include <cstdint>
#include <random>

namespace ospreystair::base
{

/// A source of uniformly distributed integers in [0, bound).
template<class Random>
concept random_source = requires(Random& random, std::uint64_t bound)
{
    {
        random.below(bound)
        } -> std::same_as<std::uint64_t>;
};

/// A seeded generator; the same seed gives the same sequence. Not thread-safe.
class seeded_random
{
public:
    explicit seeded_random(std::uint64_t seed) : m_engine(seed) {}

    /// Returns a number in [0, bound); 0 when bound is 0.
    std::uint64_t below(std::uint64_t bound)
    {
        if (bound == 0)
            return 0;
        return std::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_engine);
    }

private:
    std::mt19937_64 m_engine;
};

/// Returns a seed from the operating system.
inline std::uint64_t system_seed()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

/// Mixes the bits of a 64-bit value (the finalizer of SplitMix64).
constexpr std::uint64_t mix_bits(std::uint64_t value)
{
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

/// A generator for one request (SplitMix64): its state is one number, so that seeding it is free.
/// Not thread-safe.
class request_random
{
public:
    explicit request_random(std::uint64_t seed) : m_state(seed) {}

    /// Returns a number in [0, bound); 0 when bound is 0.
    std::uint64_t below(std::uint64_t bound)
    {
        return bound == 0 ? 0 : mix_bits(m_state++) % bound;
    }

private:
    std::uint64_t m_state;
};

} // namespace ospreystair::base

#endif
