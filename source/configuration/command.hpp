// The statements of the operators' command language as values, and their text form.
// The grammar is set down in docs/OPERATIONS.md.

#ifndef OSPREYSTAIR_CONFIGURATION_COMMAND_HPP
#define OSPREYSTAIR_CONFIGURATION_COMMAND_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "base/error.hpp"
#include "configuration/document.hpp"

namespace ospreystair::configuration
{

/// The rules of a service that a statement sets; the others keep their value.
struct service_rules
{
    std::optional<preference> prefer;
    std::optional<std::chrono::milliseconds> deadline;
    std::optional<std::uint32_t> max_concurrency;
    std::optional<std::uint32_t> hedge_percent;
    std::optional<std::uint32_t> retry_percent;

    bool operator==(const service_rules&) const = default;
};

/// The properties of a replica that a statement sets; the others keep their value.
struct replica_properties
{
    std::optional<settings::socket_address> address;
    std::optional<std::string> data_centre;
    std::optional<std::uint32_t> slots;
    std::optional<std::uint32_t> connections;

    bool operator==(const replica_properties&) const = default;
};

/// Names a shard within its service.
struct shard_path
{
    std::string service;
    std::string shard;

    bool operator==(const shard_path&) const = default;
};

struct create_service
{
    std::string name;
    service_kind kind = service_kind::query;
    service_rules rules;

    bool operator==(const create_service&) const = default;
};

struct alter_service
{
    std::string name;
    service_rules rules;

    bool operator==(const alter_service&) const = default;
};

struct drop_service
{
    std::string name;

    bool operator==(const drop_service&) const = default;
};

struct create_shard
{
    shard_path path;

    bool operator==(const create_shard&) const = default;
};

struct drop_shard
{
    shard_path path;

    bool operator==(const drop_shard&) const = default;
};

struct create_replica
{
    std::string name;
    shard_path path;
    /// Invariant of a parsed statement: address and data centre are set.
    replica_properties properties;

    bool operator==(const create_replica&) const = default;
};

struct alter_replica
{
    std::string name;
    replica_properties properties;

    bool operator==(const alter_replica&) const = default;
};

struct drop_replica
{
    std::string name;

    bool operator==(const drop_replica&) const = default;
};

struct drain_upstream
{
    std::string name;

    bool operator==(const drain_upstream&) const = default;
};

struct restore_upstream
{
    std::string name;

    bool operator==(const restore_upstream&) const = default;
};

/// A statement that changes the configuration document.
using change =
    std::variant<create_service, alter_service, drop_service, create_shard, drop_shard,
                 create_replica, alter_replica, drop_replica, drain_upstream, restore_upstream>;

/// What `show` lists.
enum class show_topic
{
    services,
    shards,
    replicas,
    members,
    configuration,
    indexes,
    draining,
    history
};

struct show
{
    show_topic topic = show_topic::services;

    bool operator==(const show&) const = default;
};

struct show_version
{
    std::uint64_t version = 0;

    bool operator==(const show_version&) const = default;
};

struct compare_versions
{
    std::uint64_t from = 0;
    std::uint64_t to = 0;

    bool operator==(const compare_versions&) const = default;
};

/// Validates changes without applying them.
struct check_changes
{
    std::vector<change> changes;

    bool operator==(const check_changes&) const = default;
};

/// A statement that changes nothing.
using inquiry = std::variant<show, show_version, compare_versions, check_changes>;

/// Publishes a version of a service's index.
struct publish_index
{
    std::string service;
    std::uint64_t version = 0;
    /// Empty when the statement only makes a published version the current one.
    std::vector<std::string> shards;
    bool set_current = false;

    bool operator==(const publish_index&) const = default;
};

/// Several changes that are applied as one.
struct change_set
{
    /// The configuration version that the operator expects to change.
    std::optional<std::uint64_t> expected_version;
    std::vector<change> changes;

    bool operator==(const change_set&) const = default;
};

/// What one input holds: changes, one publication, or inquiries; never a mix, because only changes
/// of one object can be applied as one.
using command = std::variant<change_set, publish_index, std::vector<inquiry>>;

/// Whether a command can be sent again without any effect on the system.
bool is_read_only(const command& value);

constexpr std::size_t max_command_bytes = 64 << 10;
constexpr std::size_t max_statement_count = 1024;

/// Parses the text of a command; fails with invalid_argument. The time it takes is proportional to
/// the length of the text, which is at most `max_bytes`.
std::optional<command> parse_command(std::string_view text, base::error& reason,
                                     std::size_t max_bytes = max_command_bytes);

/// Prints statements so that they parse back to the same values.
std::string print(const change& value);
std::string print(const std::vector<change>& changes);
std::string print(const command& value);

std::string_view to_string(show_topic topic);

} // namespace ospreystair::configuration

#endif
