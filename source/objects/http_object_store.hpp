// Client of the platform's object service over HTTP/1.1 with persistent connections.

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

/// An object_store over the platform's HTTP interface. Thread-safe. Each call uses one connection;
/// a pending watch occupies its connection until it ends. A write whose bytes were sent is
/// never retried here; a read is retried once if its persistent connection turns out to be closed.
/// If a connection cannot be opened, the next address is tried.
class http_object_store
{
public:
    /// Maximum number of idle connections that stay open for later calls; surplus ones are closed
    /// after use.
    static constexpr std::size_t max_idle_connections = 4;
    /// Shorter than the time after which the other side closes idle connections, because a write
    /// that is sent on a closed connection has an unknown outcome.
    static constexpr std::chrono::milliseconds max_idle_time{20'000};
    /// Time after the wait of a watch at which its answer counts as lost.
    static constexpr std::chrono::milliseconds watch_grace{2'000};

    /// Does not open a connection yet. Fails with invalid_settings when there is no address.
    /// `context` must outlive the store and its calls, and the store must outlive its calls.
    static std::optional<std::unique_ptr<http_object_store>>
    create(http::asio::io_context& context, const std::vector<settings::socket_address>& addresses,
           base::error& reason);

    /// Fails with not_found, unreachable, timeout, overloaded or protocol.
    http::awaitable<std::optional<stored_object>> read(std::string key, base::time_point deadline,
                                                       base::error& reason);

    /// Writes if the object has `expected_version`; 0 means that it must not exist. Sets
    /// `new_version` when applied. `reason` has kind conflict, outcome_unknown, or the reason of
    /// the refusal.
    http::awaitable<write_status> write(std::string key, std::string value,
                                        std::uint64_t expected_version, base::time_point deadline,
                                        std::uint64_t& new_version, base::error& reason);

    /// Deletes the object if it has `expected_version`.
    http::awaitable<write_status> erase(std::string key, std::uint64_t expected_version,
                                        base::time_point deadline, base::error& reason);

    /// Waits up to `wait` for a version above `after_version`, also while the object does not
    /// exist.
    http::awaitable<std::optional<watch_result>> watch(std::string key, std::uint64_t after_version,
                                                       std::chrono::milliseconds wait,
                                                       base::error& reason);

    http::awaitable<std::optional<std::vector<listed_object>>>
    list(std::string prefix, base::time_point deadline, base::error& reason);

    http::awaitable<std::optional<std::vector<vm_entry>>> list_vms(base::time_point deadline,
                                                                   base::error& reason);

private:
    using connection_pointer = std::shared_ptr<http::client_connection>;

    struct idle_connection
    {
        connection_pointer connection;
        base::time_point idle_since;
    };

    http_object_store(http::asio::io_context& context, std::vector<http::tcp::endpoint> addresses);

    http::awaitable<std::optional<http::response>> call(http::request message,
                                                        base::time_point deadline,
                                                        http::exchange_progress& progress,
                                                        base::error& reason);
    // Returns a new connection, or null.
    http::awaitable<connection_pointer> connect(base::time_point deadline, base::error& reason);
    http::awaitable<write_status> send_write(http::request message, base::time_point deadline,
                                             std::uint64_t& new_version, base::error& reason);
    http::request make_request(http::verb method, const std::string& target) const;
    connection_pointer take_idle_connection();
    void return_connection(const connection_pointer& connection);

    http::asio::io_context& m_context;
    const std::vector<http::tcp::endpoint> m_addresses;
    // Index of the address that accepted the last connection.
    std::atomic<std::size_t> m_preferred_index{0};
    std::mutex m_mutex;
    // Guarded by m_mutex. Open connections that no call uses.
    std::vector<idle_connection> m_idle;
};

static_assert(object_store<http_object_store>);

} // namespace ospreystair::objects

#endif
