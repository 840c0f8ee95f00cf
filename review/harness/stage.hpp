// A small deployment on loopback addresses for the cases of this review: gateways as processes of
// their own, and the platform's store, replicas and callers as stand-ins in the case's process.

#ifndef OSPREYSTAIR_REVIEW_STAGE_HPP
#define OSPREYSTAIR_REVIEW_STAGE_HPP

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <json/json.h>
#include <sys/types.h>

#include <boost/asio/executor_work_guard.hpp>

#include "standins/users_platform/store_standin.hpp"

namespace review
{

using clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Time since the case began.
double seconds_since_start();
void sleep_for(milliseconds time);

/// Writes record.txt: one line for each event, with the seconds since the case began. Thread-safe.
class record
{
public:
    explicit record(const std::string& path);
    ~record();
    void write(const std::string& line);
    /// Writes a line to the record and to standard output.
    void say(const std::string& line);

private:
    std::mutex m_mutex;
    int m_descriptor = -1;
};

/// A request or an answer as it stands on the wire. Names of header fields are in lower case.
struct message
{
    std::string first_line;
    std::map<std::string, std::string> fields;
    std::string body;

    std::string field(const std::string& name) const;
    /// With a request.
    std::string method() const;
    std::string path() const;
    /// With an answer; 0 when there is none.
    int status() const;
};

/// A socket that closes itself, with the bytes that were read and not used yet.
class wire
{
public:
    explicit wire(int descriptor) : m_descriptor(descriptor) {}
    ~wire() { close(); }
    wire(const wire&) = delete;
    wire& operator=(const wire&) = delete;

    static std::unique_ptr<wire> connect(const std::string& ip, unsigned port,
                                         milliseconds timeout);
    bool is_open() const { return m_descriptor >= 0; }
    void close();
    /// Ends blocking calls of other threads.
    void shut_down();
    /// Like shut_down(), with a reset in place of an orderly end where bytes are left.
    void reset();
    bool send(const std::string& text);
    /// Reads what has arrived; empty when the other side has closed.
    std::string read_some();
    /// Reads one message; empty when the other side has closed or the time is over.
    std::optional<message> read(milliseconds timeout, bool has_body = true);
    /// Whether the last read failed because the time was over.
    bool is_late() const { return m_is_late; }

private:
    bool read_more(clock::time_point end);

    std::atomic<int> m_descriptor;
    std::string m_buffer;
    bool m_is_late = false;
};

/// A replica: it listens on a loopback address, and a handler answers each request in the
/// connection's own thread.
class replica
{
public:
    /// One connection from a gateway. `memory` is the handler's own, for example an answer that is
    /// sent once more later.
    struct session
    {
        wire& link;
        std::string memory;
    };
    using handler = std::function<void(replica&, session&, const message&)>;

    replica(std::string id, std::string ip, handler on_request);
    ~replica();

    const std::string& id() const { return m_id; }
    std::string address() const;
    /// Ends the process of the replica: nothing listens, and all its connections are reset.
    void crash();
    /// Listens at the same address again.
    void restart();
    /// An answer with Request-Id and a length, and a receipt if the request has run.
    std::string make_answer(const message& request, const std::string& status, bool has_run,
                            const std::string& body);

private:
    void accept();

    const std::string m_id;
    const std::string m_ip;
    const handler m_on_request;
    int m_listener = -1;
    unsigned m_port = 0;
    std::atomic<bool> m_is_stopping{false};
    std::atomic<unsigned> m_receipts{0};
    std::thread m_thread;
    std::mutex m_mutex;
    // Guarded by m_mutex.
    std::vector<std::shared_ptr<wire>> m_links;
    std::vector<std::thread> m_sessions;
};

/// Passes bytes on between a VM and the others, later by the time that the network takes one way.
class delaying_link
{
public:
    delaying_link(std::string ip, milliseconds delay);
    ~delaying_link();

    /// Where the other VMs reach the VM.
    std::string address() const;
    void set_target(std::string ip, unsigned port);

private:
    void accept();
    void pass_on(std::shared_ptr<wire> from, std::shared_ptr<wire> to);

    const std::string m_ip;
    const milliseconds m_delay;
    int m_listener = -1;
    unsigned m_port = 0;
    std::atomic<bool> m_is_stopping{false};
    std::thread m_thread;
    std::mutex m_mutex;
    // Guarded by m_mutex, like the next two members.
    std::string m_target_ip;
    unsigned m_target_port = 0;
    std::vector<std::shared_ptr<wire>> m_links;
    std::atomic<unsigned> m_passing{0};
};

/// One gateway process, started with the command of the deploy file.
struct gateway
{
    std::string name;
    std::string zone;
    std::string ip;
    unsigned caller_port = 0;
    unsigned readiness_port = 0;
    unsigned peer_port = 0;
    std::string settings;
    std::string log;
    pid_t pid = -1;
};

/// The deployment. Ends all processes that it has started.
class stage
{
public:
    /// `folder` is the folder of the case, in which record.txt is written.
    explicit stage(const std::string& folder);
    ~stage();

    record& log() { return m_record; }
    ospreystair::standins::store_standin& store() { return *m_store; }

    /// The address of the next stand-in or gateway.
    std::string next_ip();
    replica& add_replica(const std::string& service, const std::string& zone, unsigned slots,
                         const replica::handler& on_request);
    /// Writes the operator's configuration with the next version.
    void publish(const Json::Value& routes, const Json::Value& tenants = {},
                 unsigned max_connections = 26);
    static Json::Value make_route(const std::string& name, const std::string& prefix,
                                  const std::string& type, int timeout_ms, int objective_ms,
                                  unsigned max_attempts);

    /// Lets what VMs send each other take this long one way. To be called before add_gateway().
    void delay_peers(milliseconds one_way);
    /// Adds a VM and starts its gateway.
    gateway& add_gateway(const std::string& name, const std::string& zone, bool is_first_start);
    void start(gateway& vm);
    bool is_ready(const gateway& vm) const;
    /// Waits until all gateways are ready; ends the case with status 2 otherwise.
    void wait_until_ready();
    /// How the gateway's process ended; empty while it runs.
    std::optional<std::string> find_end(gateway& vm);
    std::vector<std::unique_ptr<gateway>>& gateways() { return m_gateways; }

    /// A new id for a request.
    std::string make_id();

private:
    std::string make_settings(const gateway& vm, bool is_first_start) const;

    record m_record;
    std::string m_folder;
    std::string m_run_line;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    std::unique_ptr<ospreystair::standins::store_standin> m_store;
    std::thread m_thread;
    std::optional<boost::asio::ip::tcp::endpoint> m_edited_store;
    milliseconds m_peer_delay{0};
    std::mutex m_mutex;
    // Guarded by m_mutex: what stands for the addresses of VMs in the list of VMs.
    std::map<std::string, std::string> m_replaced_addresses;
    std::vector<std::unique_ptr<delaying_link>> m_peer_links;
    std::vector<std::unique_ptr<replica>> m_replicas;
    std::vector<std::unique_ptr<gateway>> m_gateways;
    std::uint64_t m_version = 10;
    unsigned m_next_ip = 0;
    std::atomic<unsigned> m_next_id{0};
};

/// What a caller sends.
struct call
{
    std::string id;
    std::string method = "GET";
    std::string path;
    std::string body;
    std::string key;
    int deadline_ms = 1'000;
};

/// A caller that keeps its connection and sends one request at a time.
class caller
{
public:
    enum class outcome
    {
        answered,
        closed,   ///< The connection ended without an answer to a request that was sent.
        not_sent, ///< No connection, or it had ended before.
        no_answer ///< No answer within the deadline and a second.
    };
    struct result
    {
        outcome end = outcome::not_sent;
        message answer;
        /// Whether the connection had carried an answer before.
        bool is_kept_connection = false;
    };

    explicit caller(const gateway& vm) : m_vm(&vm) {}
    result send(const call& wanted);

private:
    const gateway* m_vm;
    std::unique_ptr<wire> m_link;
    unsigned m_answers = 0;
};

/// Whether the disruption is to be left out (TROUBLE=0).
bool has_trouble();

} // namespace review

#endif
