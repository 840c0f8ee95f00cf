// The value of the registers `drain/<upstream>`.

#ifndef OSPREYSTAIR_PROGRAMS_AGENT_DRAIN_REGISTER_HPP
#define OSPREYSTAIR_PROGRAMS_AGENT_DRAIN_REGISTER_HPP

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "membership/register_table.hpp"

namespace ospreystair::agent
{

constexpr std::string_view drain_prefix = "drain/";

/// Whether an upstream is draining. A drain expires, so that an upstream that returns is used again
/// even if no agent publishes it as serving. An agent extends the drain while the upstream is still
/// draining.
struct drain_register
{
    /// Wall time since the Unix epoch, so that all VMs agree on it.
    std::chrono::milliseconds expires{0};
    bool is_draining = false;

    /// Returns `draining <ms>` or `serving <ms>`.
    std::string to_text() const;
    static std::optional<drain_register> from_text(std::string_view text);

    bool is_in_force(std::chrono::milliseconds now) const { return is_draining && expires > now; }
};

/// Names of the upstreams that are draining at `now`.
std::set<std::string> find_draining(const membership::register_table& registers,
                                    std::chrono::milliseconds now);

/// Wall time since the Unix epoch.
std::chrono::milliseconds wall_time();

} // namespace ospreystair::agent

#endif
