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

/// One process of an upstream that serves a shard.
struct replica
{
    /// Unique over all services; the name of the upstream in drains and events.
    std::string name;
    settings::socket_address address;
    std::string data_centre;
    /// Requests that the replica works on at the same time.
    std::uint32_t slots = 2;
    /// Connections that the replica accepts from all VMs together.
    std::uint32_t connections = 25;

    bool operator==(const replica&) const = default;
};

/// A part of a service's index.
struct shard
{
    std::string name;
    std::vector<replica> replicas;

    bool operator==(const shard&) const = default;
};

/// Whether a service's requests may be repeated.
enum class service_kind
{
    query,  ///< Idempotent: scattered to all shards, may be retried and hedged.
    command ///< Non-idempotent: sent to one shard, at most once.
};

/// What to give up first when the deadline nears.
enum class preference
{
    latency, ///< Answer early with less coverage.
    coverage ///< Wait until the deadline for the missing shards.
};

/// A service and the rules for its requests.
struct service
{
    std::string name;
    service_kind kind = service_kind::query;
    preference prefer = preference::latency;
    /// Used when the caller names no deadline.
    std::chrono::milliseconds deadline{1000};
    /// Upper limit of concurrent requests in one entry process.
    std::uint32_t max_concurrency = 256;
    /// Share of sub-requests that may be hedges, in percent.
    std::uint32_t hedge_percent = 5;
    /// Share of sub-requests that may be retries, in percent.
    std::uint32_t retry_percent = 10;
    std::vector<shard> shards;

    bool operator==(const service&) const = default;

    const shard* find_shard(const std::string& shard_name) const;
};

/// The whole configuration.
struct document
{
    std::map<std::string, service> services;
    /// Names of replicas that operators have drained. Invariant of a checked document: each name is
    /// that of a replica. Kept here so that a drain is versioned and survives the loss of any VM.
    std::set<std::string> draining;

    bool operator==(const document&) const = default;
};

/// Checks a document as a whole: names, limits, duplicates. Fails with invalid_argument.
bool check(const document& candidate, base::error& reason);

Json::Value to_json(const document& value);
/// Parses and checks; fails with invalid_argument or protocol. Unknown members are ignored, so that
/// an older release reads the document of a newer one.
std::optional<document> document_from_json(const Json::Value& value, base::error& reason);

std::string_view to_string(service_kind kind);
std::string_view to_string(preference prefer);

/// Names of services, shards and replicas: letters, digits, '-', '_' and '.', at most 64.
bool is_valid_name(const std::string& name);

} // namespace ospreystair::configuration

#endif
