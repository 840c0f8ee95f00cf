// A small deployment on loopback addresses for the review's cases: gateway processes, the
// project's stand-in of the platform's store, replicas and consumers.
//
// Replicas and consumers use plain sockets, so that they see every byte that the gateway sends.

#ifndef REVIEW_STAND_INS_3_DEPLOYMENT_HPP
#define REVIEW_STAND_INS_3_DEPLOYMENT_HPP

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

#include <json/json.h>
#include <sys/types.h>

#include "http/asio.hpp"
#include "standins/users_platform/store_standin.hpp"

namespace review
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Exit codes of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int case_failed = 2;

/// Lines of record.txt, each with the time since the start. Thread-safe.
class record
{
public:
    explicit record(const std::string& path);
    ~record();
    record(const record&) = delete;
    record& operator=(const record&) = delete;

    void write(const std::string& line);

private:
    std::mutex m_mutex;
    std::FILE* m_file;
    const clock::time_point m_started_at = clock::now();
};

/// Whether the disruption takes place: not with TROUBLE=0 in the environment.
bool has_trouble();

/// Ends the case with `case_failed`.
[[noreturn]] void give_up(const std::string& reason);

/// An HTTP message as it was read from a socket.
struct message
{
    std::string first_line;
    /// Names in lower case.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string find(std::string_view lower_case_name) const;
};

/// A TCP connection with a read buffer. Not thread-safe, except `reset`.
class connection
{
public:
    explicit connection(int descriptor) : m_descriptor(descriptor) {}
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    static std::unique_ptr<connection> open(const std::string& ip, unsigned port);

    bool send(std::string_view bytes);
    /// Reads more bytes; returns false at the end, on an error and after `timeout`.
    bool receive(milliseconds timeout);
    /// Reads a request or an answer with its body. Empty when none came whole within `timeout`.
    std::optional<message> read_message(milliseconds timeout, bool has_body = true);
    /// Reads the first line and the header fields only.
    std::optional<message> read_head(milliseconds timeout);
    /// Reads `size` bytes of a body; empty when fewer came within `timeout`.
    std::optional<std::string> read_bytes(std::size_t size, milliseconds timeout);
    /// Bytes that have been received and not read.
    const std::string& unread() const { return m_buffer; }
    void set_has_ended() { m_has_ended = true; }
    /// Whether the other side has ended the connection.
    bool has_ended() const { return m_has_ended; }
    /// Makes all calls of other threads on this connection fail.
    void shut_down();
    /// The close that follows resets the connection.
    void reset_on_close();
    std::string peer_ip() const;

private:
    const int m_descriptor;
    std::string m_buffer;
    bool m_has_ended = false;
};

/// One request as a replica received it.
struct arrival
{
    clock::time_point at;
    std::string replica;
    std::string id;
    std::string sender;
    message request;
};

/// A replica that serves each connection in a thread of its own, one request at a time.
class replica
{
public:
    /// Handles one request: runs it and answers on the connection. Returns whether the connection
    /// stays open.
    using handler = std::function<bool(replica&, connection&, const message&)>;

    replica(std::string id, std::string service, std::string ip, record& log, handler on_request);
    ~replica();
    replica(const replica&) = delete;
    replica& operator=(const replica&) = delete;

    const std::string& id() const { return m_id; }
    const std::string& service() const { return m_service; }
    std::string address() const;

    /// Begins to listen, at the same port as before. A replica listens from its construction on.
    void start();
    /// Ends like a process that is killed: closes the listener and all connections.
    void stop();

    /// Is partitioned from the gateways: new connections hang, and what arrives on the open ones is
    /// held up. The replica's entry in the store stays.
    void cut_off();
    /// Ends the partition. What was held up is lost, since its senders have closed their
    /// connections.
    void reconnect();

    /// Records that the request has begun to run; returns its receipt.
    std::string run(const message& request, const std::string& sender);
    /// Requests that have run, in their order.
    std::vector<arrival> runs() const;

    /// Answers like a sound replica: 200 with receipt, id and body; no body for HEAD.
    static bool answer(replica& self, connection& peer, const message& request);
    /// The bytes of such an answer.
    static std::string make_answer(const message& request, const std::string& receipt);
    /// Answers that the request was not run if it is meant for another replica.
    bool refuse_foreign(connection& peer, const message& request) const;

private:
    void accept_connections();
    void serve(const std::shared_ptr<connection>& peer);

    const std::string m_id;
    const std::string m_service;
    const std::string m_ip;
    record& m_log;
    const handler m_on_request;
    unsigned m_port = 0;
    mutable std::mutex m_mutex;
    // Notified when a partition ends.
    std::condition_variable m_woken;
    // Guarded by m_mutex, with the members below.
    int m_listener = -1;
    std::vector<std::shared_ptr<connection>> m_connections;
    std::vector<std::thread> m_threads;
    std::vector<arrival> m_runs;
    unsigned m_receipts = 0;
    bool m_is_cut_off = false;
    // Fill the listener's queue during a partition, so that the kernel drops further connections.
    std::vector<int> m_fillers;
};

/// One gateway process, started with the command of the deploy file.
struct gateway
{
    std::string name;
    std::string zone;
    std::string ip;
    std::string settings_path;
    std::string log_path;
    pid_t process = -1;
};

struct deployment_options
{
    std::size_t gateways = 1;
    /// Name of the program's file, relative to the root of the repository.
    std::string program = "target/bin/ospreystair-gateway";
};

/// All parts but the consumers. Ends its processes on destruction.
class deployment
{
public:
    static constexpr unsigned front_port = 8104;
    static constexpr unsigned readiness_port = 8108;

    deployment(const deployment_options& options, record& log);
    ~deployment();
    deployment(const deployment&) = delete;
    deployment& operator=(const deployment&) = delete;

    /// Adds a replica and its entry in the store.
    replica& add_replica(const std::string& service, replica::handler on_request);
    const std::vector<std::unique_ptr<replica>>& replicas() const { return m_replicas; }

    /// The operator's configuration, which `publish` writes.
    Json::Value& configuration() { return m_configuration; }
    Json::Value& add_route(const std::string& prefix, const std::string& service,
                           const std::string& type);
    void publish();

    /// Starts all gateways and waits until they are ready.
    void start();
    void start(std::size_t index);
    bool wait_until_ready(std::size_t index, milliseconds timeout);
    gateway& at(std::size_t index) { return m_gateways.at(index); }
    std::unique_ptr<connection> connect(std::size_t index);
    ospreystair::standins::store_standin& store() { return *m_store; }

private:
    void write_settings(gateway& item) const;
    void register_replica(const replica& item);

    const deployment_options m_options;
    record& m_log;
    std::string m_folder;
    std::string m_network;
    ospreystair::http::asio::io_context m_context;
    std::unique_ptr<ospreystair::standins::store_standin> m_store;
    std::thread m_store_thread;
    Json::Value m_configuration;
    std::uint64_t m_version = 0;
    std::vector<std::unique_ptr<replica>> m_replicas;
    std::vector<gateway> m_gateways;
};

constexpr const char* host = "search.example";

/// An id that no other request of this process has.
std::string make_id();
/// The head of a request without the empty line, and with the fields that each request has.
std::string make_head(const std::string& method, const std::string& target, const std::string& id,
                      milliseconds deadline = milliseconds{2'000});

} // namespace review

#endif
