// The routes of one configuration version: which services a request is sent to, and its limits.
// Immutable, so that a request keeps the version that it started with.

#ifndef OSPREYSTAIR_FORWARDING_ROUTE_TABLE_HPP
#define OSPREYSTAIR_FORWARDING_ROUTE_TABLE_HPP

#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/error.hpp"
#include "teams/team_directory.hpp"

namespace ospreystair::forwarding
{

/// One of the services among which a route's requests are distributed.
struct weighted_service
{
    std::string service;
    double weight = 1;
};

/// How requests to one host and path prefix are forwarded.
struct route
{
    std::string name;
    /// Lower case, without a port.
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    /// Whether a request may run more than once.
    bool is_idempotent = false;
    /// Maximum number of replicas of one service to which one request is sent.
    std::uint32_t max_attempts = 1;
    /// Maximum time until a caller is answered.
    std::chrono::milliseconds timeout{0};
    /// Latency objective for answers.
    std::chrono::milliseconds objective{0};
    /// 0 is the most urgent.
    int priority = 0;
    /// The services among which requests to one replica are distributed. Empty when `shards` is
    /// not.
    std::vector<weighted_service> services;
    /// The services that each answer one part of a gathered query. Empty when `services` is not.
    std::vector<std::string> shards;
    /// Maximum number of records in a gathered answer.
    std::size_t max_records = 0;
    /// Minimum fraction of the shards, 0 to 1, that an answer must cover.
    double min_coverage = 1;
    /// Whether callers need no key although the configuration has teams.
    bool is_public = false;
    /// Regions in which requests may be processed; empty for all.
    std::vector<std::string> home_regions;

    bool is_gather() const { return !shards.empty(); }
    /// Minimum number of parts that an answer must cover: of the shards, or 1 without any.
    std::size_t min_parts() const;
};

/// Configured limits of a service.
struct service_limits
{
    std::string name;
    /// Number of connections that one replica accepts from all VMs together.
    std::uint32_t max_connections = 1;
    /// How long a replica stays cold after its start.
    std::chrono::milliseconds warm_up_time{0};
    /// Requests a second that a cold replica accepts from all VMs together; 0 for no limit.
    double warm_up_requests_per_second = 0;
};

/// Limits on requests from callers and on the time that callers may take to send them.
struct caller_limits
{
    std::uint32_t header_bytes = 16U << 10U;
    std::uint64_t body_bytes = 256U << 10U;
    std::chrono::milliseconds header_timeout{3'000};
    std::chrono::milliseconds idle_timeout{15'000};

    bool operator==(const caller_limits&) const = default;
};

/// All routes and services of one version.
class route_table
{
public:
    /// Validates the complete table. Fails with invalid_argument when two routes have the same host
    /// and prefix, when a route has no target or both kinds of target, or when a value is out of
    /// range.
    static std::optional<route_table> create(std::uint64_t version, std::vector<route> routes,
                                             std::vector<service_limits> services,
                                             caller_limits limits, base::error& reason);

    /// Sets the teams whose callers identify themselves by keys.
    void set_teams(std::shared_ptr<const teams::team_directory> teams)
    {
        m_teams = std::move(teams);
    }

    std::uint64_t version() const { return m_version; }
    const std::vector<route>& routes() const { return m_routes; }
    const std::vector<service_limits>& services() const { return m_services; }
    const caller_limits& limits() const { return m_limits; }
    /// Null when the configuration has no teams, so that callers need no key.
    const std::shared_ptr<const teams::team_directory>& known_teams() const { return m_teams; }

    /// Returns the route with the longest prefix of `path` among those of `host`, or null. `host`
    /// may have upper-case letters and a port; a query string in `path` is ignored.
    const route* find_route(std::string_view host, std::string_view path) const;
    /// Services that are shards of queries and get no other requests.
    std::set<std::string> shard_services() const;
    /// Returns the route with this name; null when there is none.
    const route* find_named(std::string_view name) const;
    /// Returns the limits of the service with this name; null when there are none.
    const service_limits* find_service(std::string_view name) const;

private:
    static constexpr std::size_t no_route = std::numeric_limits<std::size_t>::max();

    route_table() = default;
    // Sets the enclosing routes of one host's routes.
    void link_enclosing(const std::vector<std::size_t>& sorted_indexes);

    std::uint64_t m_version = 0;
    std::vector<route> m_routes;
    std::vector<service_limits> m_services;
    caller_limits m_limits;
    std::shared_ptr<const teams::team_directory> m_teams;
    // Indexes into m_routes by host, sorted by prefix.
    std::map<std::string, std::vector<std::size_t>, std::less<>> m_routes_of_host;
    // For each route the index of the one on its host with the longest prefix that begins its own.
    std::vector<std::size_t> m_enclosing;
    // Indexes into m_routes; the first route of each name.
    std::map<std::string, std::size_t, std::less<>> m_route_of_name;
    // Indexes into m_services; the first one of each name.
    std::map<std::string, std::size_t, std::less<>> m_service_of_name;
};

/// Returns `host` in lower case and without a port, as in `route::host`.
std::string normalize_host(std::string_view host);

} // namespace ospreystair::forwarding

#endif
