// Finds the team that a caller's key belongs to.

#ifndef OSPREYSTAIR_TEAMS_TEAM_DIRECTORY_HPP
#define OSPREYSTAIR_TEAMS_TEAM_DIRECTORY_HPP

#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/error.hpp"
#include "base/fingerprint.hpp"
#include "teams/team.hpp"

namespace ospreystair::teams
{

/// A team and the keys by which its callers identify themselves.
struct team_definition
{
    team properties;
    std::vector<std::string> keys;
};

/// The teams of one version of the configuration. Keeps digests of the keys only. Immutable and
/// thread-safe.
class team_directory
{
public:
    /// Longest key that a caller may send.
    static constexpr std::size_t max_key_bytes = 256;
    /// Longest name of a team, which replicas get as a header field.
    static constexpr std::size_t max_name_bytes = 256;

    /// Fails with invalid_argument when a name or key is empty, too long or used twice, when a name
    /// cannot be sent as a header field, or when a quota is out of range. Messages never contain a
    /// key.
    static std::optional<team_directory> create(std::vector<team_definition> definitions,
                                                base::error& reason);

    /// Returns the team that holds the key; null for an unknown or empty key. The run time depends
    /// on the length of `key` only.
    std::shared_ptr<const team> find(std::string_view key) const;
    /// Returns the team with this name; null when there is none.
    std::shared_ptr<const team> find_named(std::string_view name) const;

    const std::vector<std::shared_ptr<const team>>& teams() const { return m_teams; }
    std::size_t key_count() const { return m_team_of_key.size(); }

private:
    team_directory() = default;

    std::vector<std::shared_ptr<const team>> m_teams;
    // By the digest of the key, which is salted so that callers cannot choose keys that collide.
    std::unordered_map<base::fingerprint, std::shared_ptr<const team>> m_team_of_key;
    // By the digest of the name.
    std::unordered_map<base::fingerprint, std::shared_ptr<const team>> m_team_of_name;
};

} // namespace ospreystair::teams

#endif
