// The statements of the operators' command language, and their conversion from and to text.
// docs/OPERATIONS.md specifies the grammar.

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

/// The rules of a service that a statement sets. Rules without a value stay unchanged.
struct service_rules
{
    std::optional<preference> prefer;
    std::optional<std::chrono::milliseconds> deadline;
    std::optional<std::uint32_t> max_concurrency;
    std::optional<std::uint32_t> hedge_percent;
    std::optional<std::uint32_t> retry_percent;

    bool operator==(const service_rules&) const = default;
};

/// The properties of a replica that a statement sets. Properties without a value stay unchanged.
struct replica_properties
{
    std::optional<settings::socket_address> address;
    std::optional<std::string> data_centre;
    std::optional<std::uint32_t> slots;
    std::optional<std::uint32_t> connections;

    bool operator==(const replica_properties&) const = default;
};

/// Identifies a shard by its service and its name in that service.
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
    /// A parsed statement always sets `address` and `data_centre`.
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

/// The subject of a `show` statement.
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

/// A read-only statement.
using inquiry = std::variant<show, show_version, compare_versions, check_changes>;

/// Publishes a version of a service's index.
struct publish_index
{
    std::string service;
    std::uint64_t version = 0;
    /// Empty if the statement only makes an already published version the current one.
    std::vector<std::string> shards;
    bool set_current = false;

    bool operator==(const publish_index&) const = default;
};

/// Changes that are applied atomically.
struct change_set
{
    /// If set, the changes are applied only to this configuration version.
    std::optional<std::uint64_t> expected_version;
    std::vector<change> changes;

    bool operator==(const change_set&) const = default;
};

/// The statements of one input: changes, one publication, or inquiries. They cannot be mixed,
/// because only changes to a single object can be applied atomically.
using command = std::variant<change_set, publish_index, std::vector<inquiry>>;

/// Whether a command consists of inquiries only, so that sending it again has no effect.
bool is_read_only(const command& value);

constexpr std::size_t max_command_bytes = 64 << 10;
/// Maximum number of statements in one command, and of changes in one `check` statement.
constexpr std::size_t max_statement_count = 1024;

/// Parses the text of a command in linear time. Fails with invalid_argument if the text is not a
/// command or is longer than `max_bytes`.
std::optional<command> parse_command(std::string_view text, base::error& reason,
                                     std::size_t max_bytes = max_command_bytes);

/// Formats statements as text that parses back to equal values.
std::string print(const change& value);
std::string print(const std::vector<change>& changes);
std::string print(const command& value);

std::string_view to_string(show_topic topic);

} // namespace ospreystair::configuration

#endif
