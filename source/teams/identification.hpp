// Decides what a caller gets by what is known of its key.

#ifndef OSPREYSTAIR_TEAMS_IDENTIFICATION_HPP
#define OSPREYSTAIR_TEAMS_IDENTIFICATION_HPP

namespace ospreystair::teams
{

/// What a VM knows when a request arrives.
struct identification_context
{
    /// Whether the configuration has teams and the route is not public.
    bool needs_key = false;
    /// Whether the configuration in use holds the caller's key.
    bool is_key_known = false;
    /// Whether the configuration's source answers this VM.
    bool is_configuration_current = false;
    /// Whether another VM has used a newer configuration for longer than it takes to spread.
    bool is_outdated = false;
};

enum class identification
{
    accepted,
    /// The key is not valid; asking again does not help.
    unauthorized,
    /// A newer configuration may say otherwise; asking again soon, or another VM, may help.
    unavailable
};

/// Guards against these failures: a VM with an old configuration turns away callers whose key was
/// added since, or serves callers whose key was taken away.
constexpr identification identify(const identification_context& context)
{
    if (!context.needs_key)
        return identification::accepted;
    if (context.is_outdated)
        return identification::unavailable;
    if (context.is_key_known)
        return identification::accepted;
    return context.is_configuration_current ? identification::unauthorized
                                            : identification::unavailable;
}

} // namespace ospreystair::teams

#endif
