// The configuration document: services, their shards and replicas, and the rules for requests.

#ifndef OSPREYSTAIR_CONFIGURATION_DOCUMENT_HPP
#define OSPREYSTAIR_CONFIGURATION_DOCUMENT_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <json/json.h>

#include "base/error.hpp"
#include "settings/option_table.hpp"

namespace ospreystair::configuration
{

/// One process of an upstream; it serves one shard.
struct replica
{
    /// Unique over all services; the name of the upstream in drains and events.
    std::string name;
    settings::socket_address address;
    std::string data_centre;
    /// Maximum number of requests that the replica processes concurrently.
    std::uint32_t slots = 2;
    /// Maximum number of connections that the replica accepts from all VMs in total.
    std::uint32_t connections = 25;

    bool operator==(const replica&) const = default;
};

/// A shard of a service's index and the replicas that serve it.
struct shard
{
    std::string name;
    std::vector<replica> replicas;

    bool operator==(const shard&) const = default;
};

/// Whether requests to a service are safe to repeat.
enum class service_kind
{
    query,  ///< Idempotent: scattered to all shards, may be retried and hedged.
    command ///< Non-idempotent: sent to one shard, at most once.
};

/// Whether low latency or full coverage takes precedence as the deadline approaches.
enum class preference
{
    latency, ///< Answer early with partial coverage.
    coverage ///< Wait for missing shards until the deadline.
};

/// A service and the rules for its requests.
struct service
{
    std::string name;
    service_kind kind = service_kind::query;
    preference prefer = preference::latency;
    /// Default for requests without a deadline.
    std::chrono::milliseconds deadline{1000};
    /// Maximum number of concurrent requests in one entry process.
    std::uint32_t max_concurrency = 256;
    /// Hedge budget: maximum share of sub-requests that are hedges, in percent.
    std::uint32_t hedge_percent = 5;
    /// Retry budget: maximum share of sub-requests that are retries, in percent.
    std::uint32_t retry_percent = 10;
    std::vector<shard> shards;

    bool operator==(const service&) const = default;

    /// Returns null if the service has no such shard.
    const shard* find_shard(const std::string& shard_name) const;
};

/// The whole configuration.
struct document
{
    std::map<std::string, service> services;
    /// Names of the replicas that operators have drained. check() requires that each of them exists
    /// in the document. Part of the document so that drains are versioned and survive the loss of
    /// any VM.
    std::set<std::string> draining;

    bool operator==(const document&) const = default;
};

/// Validates a document: names, limits, duplicates, drains. Fails with invalid_argument.
bool check(const document& candidate, base::error& reason);

Json::Value to_json(const document& value);
/// Parses and validates a document; fails with invalid_argument or protocol. Ignores unknown
/// members, so that an older release can read a document written by a newer one.
std::optional<document> document_from_json(const Json::Value& value, base::error& reason);

std::string_view to_string(service_kind kind);
std::string_view to_string(preference prefer);

/// Whether `name` is valid for a service, shard or replica: 1 to 64 letters, digits, '-', '_' and
/// '.'.
bool is_valid_name(const std::string& name);

} // namespace ospreystair::configuration

#endif
