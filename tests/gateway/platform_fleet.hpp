// Real gateway processes on loopback, with stand-ins for the users' platform: its store, its
// replicas and its callers.

#ifndef OSPREYSTAIR_TESTS_GATEWAY_PLATFORM_FLEET_HPP
#define OSPREYSTAIR_TESTS_GATEWAY_PLATFORM_FLEET_HPP

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <json/json.h>

#include <boost/asio/executor_work_guard.hpp>

#include "http/client_connection.hpp"
#include "standins/fault_proxy/tcp_route.hpp"
#include "standins/users_platform/replica_standin.hpp"
#include "standins/users_platform/store_standin.hpp"
#include "tests/integration/child_process.hpp"

namespace ospreystair::testing_support
{

/// A request of a caller. An empty id is replaced by a generated one.
struct caller_message
{
    std::string path = "/all/q";
    std::string method = "GET";
    std::string id = {};
    std::string body = {};
    std::chrono::milliseconds deadline{1000};
    std::map<std::string, std::string> fields = {};
    /// Time from the deadline until the caller closes the connection; negative to close it earlier.
    std::chrono::milliseconds close_delay{1000};
};

/// An answer; status 0 when none was received.
struct caller_answer
{
    unsigned status = 0;
    std::string body;
    std::map<std::string, std::string> fields;
    std::chrono::milliseconds elapsed{0};
    /// Whether bytes of the request were handed to the network.
    bool is_sent = false;
    std::string reason;

    std::vector<std::string> receipts() const;
    int missing_parts() const;
};

/// A caller's connection that carries several requests, one at a time. Not thread-safe.
class persistent_connection
{
public:
    explicit persistent_connection(http::tcp::endpoint address) : m_address(std::move(address)) {}
    ~persistent_connection();
    persistent_connection(const persistent_connection&) = delete;
    persistent_connection& operator=(const persistent_connection&) = delete;

    /// Connects first when there is no open connection.
    caller_answer send(const caller_message& message);
    /// Whether the next request reuses an open connection.
    bool is_open() const { return m_connection && m_connection->is_open(); }

private:
    http::asio::io_context m_context;
    const http::tcp::endpoint m_address;
    std::shared_ptr<http::client_connection> m_connection;
};

/// One gateway process.
struct gateway_vm
{
    std::string name;
    std::string data_centre;
    std::string ip;
    std::string settings_path;
    /// The gateway of its next start.
    std::string program;
    /// Each start has a log of its own.
    unsigned start_count = 0;
    std::unique_ptr<child_process> process;
};

struct fleet_options
{
    std::size_t vms = 1;
    /// The last ones of `vms`, which are started by `start` only.
    std::size_t late_vms = 0;
    /// Shards of the gathered route "/all/", named "shard0" and so on.
    std::size_t shards = 4;
    std::size_t replicas = 2;
    double min_coverage = 0.5;
    std::chrono::milliseconds objective{200};
    std::chrono::milliseconds timeout{1000};
    /// The gateway that VMs start with.
    std::string program = OSPREYSTAIR_PROGRAM_FOLDER "/ospreystair-gateway";
    /// Further lines of the settings' table of bounds.
    std::string further_bounds = {};
    /// Gives each VM its own routes to the replicas, which `set_routes` cuts.
    bool has_routes = false;
    /// Share of a core that each VM may use, by its settings; unknown for VMs beyond the list.
    std::vector<double> core_shares = {};
};

/// Starts all parts on construction and ends its processes on destruction. The routes of host
/// "q.example" are "/all/" over the shards, "/one/" to the service "single", and "/once/" to the
/// same service for non-idempotent requests.
class platform_fleet
{
public:
    static constexpr unsigned caller_port = 8101;
    static constexpr unsigned readiness_port = 8102;
    static constexpr unsigned metrics_port = 8103;
    /// First of the ports that VMs use among themselves.
    static constexpr unsigned first_peer_port = 8110;

    explicit platform_fleet(fleet_options options);
    ~platform_fleet();

    standins::store_standin& store() { return *m_store; }
    standins::replica_standin& replica(const std::string& id) { return *m_replicas.at(id); }
    const std::map<std::string, std::shared_ptr<standins::replica_standin>>& replicas() const
    {
        return m_replicas;
    }
    gateway_vm& vm(std::size_t index) { return m_vms.at(index); }
    std::size_t vm_count() const { return m_vms.size(); }

    /// Adds a replica "<service>-<index>" and its registry entry.
    void add_replica(const std::string& service, std::size_t index);
    /// Writes a replica's registry entry with the given state. A replica that was draining is ready
    /// again only after a new start.
    void register_replica(const std::string& id, const std::string& state);
    /// Writes a replica's entry after a new start.
    void restart_replica(const std::string& id);
    /// Writes the configuration and all registry entries again, as the operator and the replicas do
    /// when the store came back from an older copy.
    void write_again();
    void change_all_replicas(const std::function<void(standins::replica_behaviour&)>& change);
    void change_replica(const std::string& id,
                        const std::function<void(standins::replica_behaviour&)>& change);

    /// The operator's configuration; changes take effect with `publish`.
    Json::Value& configuration() { return m_configuration; }
    /// Writes the configuration with the next version, which it returns.
    std::uint64_t publish();
    static Json::Value make_route(const std::string& name, const std::string& prefix);

    /// Changes all routes of a VM to replicas: "pass", "cut", "freeze" or "refuse_new".
    void set_routes(std::size_t vm, const std::string& mode);
    /// Delays what a VM reads from the store. Needs `has_routes`.
    void delay_store(std::size_t vm, std::chrono::milliseconds delay)
    {
        m_store->delay_answers_at(m_store_addresses.at(vm), delay);
    }
    /// The address from which a VM's requests reach the replicas.
    std::string route_ip(std::size_t vm) const;

    void start(std::size_t vm);
    bool wait_until_ready(std::size_t vm);
    /// Waits until the VM knows all others, and sends it requests that give it latencies and
    /// connections.
    void warm_up(std::size_t vm);
    unsigned readiness(std::size_t vm);
    std::string metrics(std::size_t vm);
    /// Sends on a new connection.
    caller_answer send(std::size_t vm, caller_message message);
    /// Sends a request as another VM does.
    caller_answer hand_over(std::size_t vm, caller_message message);
    http::tcp::endpoint caller_address(std::size_t vm) const
    {
        return endpoint_of(vm, caller_port);
    }
    /// Highest resident memory of a VM's process so far.
    std::size_t peak_memory_bytes(std::size_t vm);
    std::string log(std::size_t vm) { return m_vms.at(vm).process->output_text(); }
    /// Sum of the executions of a request over all replicas.
    unsigned executions(const std::string& request_id) const;
    std::uint64_t arrivals(const std::string& service_prefix) const;

private:
    void write_settings(gateway_vm& vm) const;
    void add_store_view(std::size_t vm);
    void add_routes(const std::string& replica_id);
    // Sets the mode of one route. It refuses connections in place of a replica that does.
    void apply_route_mode(std::size_t vm, const std::string& replica_id);
    void on_replica_listening(const std::string& replica_id, bool is_listening);
    http::tcp::endpoint endpoint_of(std::size_t vm, unsigned port) const;
    std::string make_id();

    const fleet_options m_options;
    std::string m_folder;
    http::asio::io_context m_context;
    http::asio::executor_work_guard<http::asio::io_context::executor_type> m_work_guard;
    std::unique_ptr<standins::store_standin> m_store;
    std::map<std::string, std::shared_ptr<standins::replica_standin>> m_replicas;
    std::map<std::string, standins::replica_behaviour> m_behaviours;
    // Registry entries as last written, by id.
    std::map<std::string, Json::Value> m_entries;
    Json::Value m_configuration;
    std::uint64_t m_version = 0;
    std::vector<gateway_vm> m_vms;
    // Where each VM reaches the store.
    std::vector<http::tcp::endpoint> m_store_addresses;
    // By VM and id of the replica. Used by the context's thread, like the next two members.
    std::map<std::size_t, std::map<std::string, std::shared_ptr<fault_proxy::tcp_route>>> m_routes;
    // Modes of the routes that do not pass, by VM.
    std::map<std::size_t, std::string> m_route_modes;
    // Replicas that accept no connections.
    std::set<std::string> m_down_replicas;
    std::thread m_thread;
    unsigned m_last_id = 0;
};

} // namespace ospreystair::testing_support

#endif
