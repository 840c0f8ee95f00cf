// Interface to the platform's object service: versioned objects with conditional updates and
// watches, and the list of VMs.

#ifndef OSPREYSTAIR_OBJECTS_OBJECT_STORE_HPP
#define OSPREYSTAIR_OBJECTS_OBJECT_STORE_HPP

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "http/asio.hpp"

namespace ospreystair::objects
{

/// Maximum size of a value that the platform stores.
constexpr std::size_t max_value_bytes = 1'000'000;

/// An object at one version. Versions start at 1 and increase with each write, also across deletion
/// and re-creation.
struct stored_object
{
    stored_object() = default;
    stored_object(std::string text, std::uint64_t object_version)
        : value(std::move(text)), version(object_version)
    {
    }

    std::string value;
    std::uint64_t version = 0;

    bool operator==(const stored_object&) const = default;
};

/// Outcome of a conditional write or deletion.
enum class write_status
{
    applied,  ///< It was applied.
    conflict, ///< It was not applied: the object has another version.
    unknown,  ///< It may have been applied; read the object back.
    refused   ///< It was not applied: not sent, or rejected by the platform.
};

/// One entry of a listing.
struct listed_object
{
    std::string key;
    std::uint64_t version = 0;
};

/// The result of a watch: whether the object has a newer version, and if so the object.
struct watch_result
{
    watch_result() = default;
    explicit watch_result(stored_object changed) : is_changed(true), object(std::move(changed)) {}

    bool is_changed = false;
    stored_object object;
};

/// An entry of the platform's list of VMs, which lags behind the actual state.
struct vm_entry
{
    std::string vm;
    std::string data_centre;
    std::string address; ///< ip:port
    bool is_leaving = false;

    bool operator==(const vm_entry&) const = default;
};

/// A client of the object service. Thread-safe; every call ends by its deadline. `reason` is set
/// when the result is empty or a status other than applied.
template<class Store>
concept object_store = requires(Store& store, std::string key, std::string value,
                                std::uint64_t version, base::time_point deadline,
                                std::chrono::milliseconds wait, std::uint64_t& new_version,
                                base::error& reason)
{
    // Fails with not_found when the object does not exist.
    {
        store.read(key, deadline, reason)
        } -> std::same_as<http::awaitable<std::optional<stored_object>>>;
    // An expected version of 0 means that the object must not exist.
    {
        store.write(key, value, version, deadline, new_version, reason)
        } -> std::same_as<http::awaitable<write_status>>;
    {
        store.erase(key, version, deadline, reason)
        } -> std::same_as<http::awaitable<write_status>>;
    // Waits up to `wait` for a version above the given one.
    {
        store.watch(key, version, wait, reason)
        } -> std::same_as<http::awaitable<std::optional<watch_result>>>;
    {
        store.list(key, deadline, reason)
        } -> std::same_as<http::awaitable<std::optional<std::vector<listed_object>>>>;
    {
        store.list_vms(deadline, reason)
        } -> std::same_as<http::awaitable<std::optional<std::vector<vm_entry>>>>;
};

} // namespace ospreystair::objects

#endif
