// Client of the platform's object service over HTTP/1.1 with kept-alive connections.

#ifndef OSPREYSTAIR_OBJECTS_HTTP_OBJECT_STORE_HPP
#define OSPREYSTAIR_OBJECTS_HTTP_OBJECT_STORE_HPP

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "http/client_connection.hpp"
#include "objects/object_store.hpp"
#include "settings/option_table.hpp"

namespace ospreystair::objects
{

/// An object_store over the platform's HTTP interface. Thread-safe. A call uses one connection; a
/// pending watch occupies its connection until it ends. A change whose bytes were sent is never
/// repeated silently; a read is repeated once when a kept connection turns out to be closed. A
/// connection that cannot be opened is tried at the next address.
class http_object_store
{
public:
    /// Idle connections kept for later calls; further ones are closed after use.
    static constexpr std::size_t max_idle_connections = 4;
    /// Below the time after which the other side closes idle connections, since a change that is
    /// sent on a closed connection has an unknown result.
    static constexpr std::chrono::milliseconds max_idle_time{20'000};
    /// Time beyond the wait of a watch after which its answer counts as lost.
    static constexpr std::chrono::milliseconds watch_grace{2'000};

    /// Opens no connection yet. Fails with invalid_settings when there is no address. `context`
    /// must outlive the store and its calls, and the store must outlive its calls.
    static std::optional<std::unique_ptr<http_object_store>>
    create(http::asio::io_context& context, const std::vector<settings::socket_address>& addresses,
           base::error& reason);

    /// Fails with not_found, unreachable, timeout, overloaded or protocol.
    http::awaitable<std::optional<stored_object>> read(std::string key, base::time_point deadline,
                                                       base::error& reason);

    /// Writes when the object has `expected_version`; 0 means that it must not exist. Sets
    /// `new_version` when applied. `reason` has kind conflict, outcome_unknown, or the reason of
    /// the refusal.
    http::awaitable<write_status> write(std::string key, std::string value,
                                        std::uint64_t expected_version, base::time_point deadline,
                                        std::uint64_t& new_version, base::error& reason);

    /// Deletes when the object has `expected_version`.
    http::awaitable<write_status> erase(std::string key, std::uint64_t expected_version,
                                        base::time_point deadline, base::error& reason);

    /// Waits up to `wait` for a version above `after_version`. An object that does not exist is
    /// waited for like an unchanged one.
    http::awaitable<std::optional<watch_result>> watch(std::string key, std::uint64_t after_version,
                                                       std::chrono::milliseconds wait,
                                                       base::error& reason);

    http::awaitable<std::optional<std::vector<listed_object>>>
    list(std::string prefix, base::time_point deadline, base::error& reason);

    http::awaitable<std::optional<std::vector<vm_entry>>> list_vms(base::time_point deadline,
                                                                   base::error& reason);

private:
    using connection = std::shared_ptr<http::client_connection>;

    struct idle_connection
    {
        connection link;
        base::time_point since;
    };

    http_object_store(http::asio::io_context& context, std::vector<http::tcp::endpoint> addresses);

    http::awaitable<std::optional<http::response>> call(http::request message,
                                                        base::time_point deadline,
                                                        http::exchange_progress& progress,
                                                        base::error& reason);
    // Returns a new connection, or null.
    http::awaitable<connection> connect(base::time_point deadline, base::error& reason);
    http::awaitable<write_status> change(http::request message, base::time_point deadline,
                                         std::uint64_t& new_version, base::error& reason);
    http::request make_request(http::verb method, const std::string& target) const;
    connection take_idle();
    void keep(const connection& used);

    http::asio::io_context& m_context;
    const std::vector<http::tcp::endpoint> m_addresses;
    // Index of the address that accepted the last connection.
    std::atomic<std::size_t> m_preferred{0};
    std::mutex m_mutex;
    // Guarded by m_mutex. Open connections without a call.
    std::vector<idle_connection> m_idle;
};

static_assert(object_store<http_object_store>);

} // namespace ospreystair::objects

#endif
