// A stand-in for one replica of the users' platform with configurable replies, delays and faults.
// It records the requests that it has run.

#ifndef OSPREYSTAIR_STANDINS_USERS_PLATFORM_REPLICA_STANDIN_HPP
#define OSPREYSTAIR_STANDINS_USERS_PLATFORM_REPLICA_STANDIN_HPP

#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/error.hpp"
#include "base/random.hpp"
#include "http/asio.hpp"

namespace ospreystair::standins
{

/// Faults that a replica has at random, each in a share of its requests.
struct stutter_settings
{
    /// Requests that are refused, and requests that fail after they were run.
    unsigned refused_percent = 0;
    unsigned failed_percent = 0;
    /// Answers that are sent a second time: in front of the answer to the next request on their
    /// connection, or after up to `max_copy_delay` when there is none before.
    unsigned repeated_percent = 0;
    std::chrono::milliseconds max_copy_delay{0};
    /// Second answers that are cut off anywhere. Their connections stay open.
    unsigned cut_percent = 0;
    /// Whether refusals and failures are sent a second time too.
    bool repeats_failures = false;
    /// Added to the latency of a request, at random.
    std::chrono::milliseconds max_further_latency{0};
};

/// How a replica handles each request.
struct replica_behaviour
{
    std::chrono::milliseconds latency{2};
    /// Status of its answers; 2xx are successes.
    unsigned status = 200;
    /// Answers 503 with a header field which states that the request was not run.
    bool refuses = false;
    /// Value of Retry-After in refusals; none when empty.
    std::string retry_after = {};
    /// States in every answer that the replica is about to stop.
    bool is_leaving = false;
    /// Value of the header field that names the requests a second which the replica takes from all
    /// VMs together; none when empty.
    std::string request_limit = {};
    /// Reads and runs requests but never answers.
    bool never_answers = false;
    /// Runs requests, then closes the connection without an answer.
    bool loses_answers = false;
    /// Closes the connection in the middle of the body.
    bool truncates = false;
    /// Sends a second answer to the same request after a short delay.
    bool repeats_answers = false;
    /// Sends each answer a second time, in front of the answer to the next request on its
    /// connection.
    bool repeats_answers_late = false;
    /// Statuses of the answers to the next requests, in their order; 503 is a refusal.
    std::deque<unsigned> next_statuses = {};
    /// Sends bytes that do not belong to an HTTP reply after each answer.
    bool appends_garbage = false;
    /// Sends no Content-Length; closing the connection marks the end of the body.
    bool is_unframed = false;
    /// Sends a head without end until the other side closes the connection.
    bool has_endless_head = false;
    /// Sends a body without end until the other side closes the connection.
    bool has_endless_body = false;
    /// Closes the connection after each answer.
    bool closes = false;
    /// A request whose target or body contains this text crashes the replica; none when empty.
    std::string crash_text = {};
    /// Time from a crash until the replica listens again.
    std::chrono::milliseconds restart_delay{1000};
    std::string body = "0123456789abcdef";
    /// Writes the number of the receipt into the body, so that no two bodies are equal.
    bool numbers_bodies = false;
    stutter_settings stutter = {};
};

/// One request that arrived at a replica.
struct request_arrival
{
    std::chrono::steady_clock::time_point time;
    std::string request_id;
    /// Address that the request came from.
    std::string sender;
    /// Whether it was refused with a time for which the replica wants no requests.
    bool has_closed = false;
    /// The header fields as received, a line each.
    std::string fields = {};
    std::string body = {};
};

/// An answer as a replica made it, whether it was sent whole or not.
struct replica_answer
{
    std::string replica;
    /// Empty when the request was not run.
    std::string receipt;
    std::string request_id;
    /// Number of the request among all that arrived at the replica, from 1.
    std::uint64_t arrival = 0;
    std::chrono::steady_clock::time_point arrived_at;
    /// Address that the request came from.
    std::string sender;
    unsigned status = 0;
    std::string body;
};

/// A crash under a request.
struct request_crash
{
    std::chrono::steady_clock::time_point time;
    std::string request_id;
};

struct replica_identity
{
    std::string id;
    http::tcp::endpoint address;
};

/// Runs on the context's thread; the public members may be called from any thread.
class replica_standin : public std::enable_shared_from_this<replica_standin>
{
public:
    static std::optional<std::shared_ptr<replica_standin>>
    create(http::asio::io_context& context, replica_identity identity, base::error& reason);

    const std::string& id() const { return m_id; }
    http::tcp::endpoint address() const { return m_address; }
    /// "ip:port"
    std::string address_text() const;

    void set_behaviour(replica_behaviour behaviour);
    /// `action` is called on the context's thread when a crash begins and when the replica listens
    /// again. Call this before any crash.
    void on_listening(std::function<void(bool is_listening)> action);
    /// Simulates another replica at the same address: requests for the old id get 421.
    void change_id(std::string id);
    /// Stops accepting and resets all connections.
    void stop();
    /// Resets all connections, and listens again after `restart_delay`.
    void crash(std::chrono::milliseconds restart_delay);

    /// Number of executions by request id.
    std::map<std::string, unsigned> executions() const;
    /// Statuses of the replica's answers to a request, in their order, without second copies.
    std::vector<unsigned> statuses_of(const std::string& request_id) const;
    /// All answers in their order, without second copies.
    std::vector<replica_answer> answers() const;
    /// Second copies of answers that were sent late.
    std::uint64_t second_copies() const;
    /// Requests that arrived, run or not.
    std::uint64_t arrivals() const;
    /// Requests whose connection was closed before they were answered.
    std::uint64_t abandoned() const;
    std::size_t open_connections() const;
    /// Number of crashes so far.
    std::uint64_t crashes() const;
    std::vector<request_crash> request_crashes() const;
    std::vector<std::chrono::milliseconds> deadlines() const;
    std::vector<std::chrono::steady_clock::time_point> arrival_times() const;
    std::vector<request_arrival> request_arrivals() const;
    /// End of the last work on each request, by request id; requests still in progress are missing.
    std::map<std::string, std::chrono::steady_clock::time_point> work_ends() const;

private:
    struct session;

    replica_standin(http::asio::io_context& context, std::string id);
    bool listen(const http::tcp::endpoint& address, base::error& reason);
    http::awaitable<void> accept();
    void close_all();
    http::awaitable<void> restart(std::chrono::milliseconds delay);
    http::awaitable<void> serve(std::shared_ptr<session> client_session);
    http::awaitable<bool> serve_one(std::shared_ptr<session> client_session);
    http::awaitable<bool> send(std::shared_ptr<session> client_session, std::string text);
    http::awaitable<void> send_endless_reply(std::shared_ptr<session> client_session,
                                             bool has_endless_body);
    replica_behaviour record_arrival(session& client_session, const http::request& message);
    // Changes the behaviour for one request. The caller has locked m_mutex.
    void choose_faults(replica_behaviour& behaviour);
    // Keeps the answer, to be sent once more.
    void schedule_copy(const std::shared_ptr<session>& client_session, const std::string& text,
                       const replica_behaviour& behaviour);
    http::awaitable<void> send_copy(std::shared_ptr<session> client_session,
                                    std::chrono::milliseconds delay);
    void record_work_end(const http::request& message);
    http::awaitable<bool> handle_request(std::shared_ptr<session> client_session,
                                         const http::request& message);
    std::string make_reply_text(const session& client_session, const http::request& message,
                                const replica_behaviour& behaviour);

    http::asio::io_context& m_context;
    http::tcp::acceptor m_acceptor;
    http::tcp::endpoint m_address;
    mutable std::mutex m_mutex;
    // This and all following members are guarded by m_mutex.
    std::string m_id;
    replica_behaviour m_behaviour;
    std::map<std::string, unsigned> m_executions;
    std::map<std::string, std::vector<unsigned>> m_statuses;
    std::vector<replica_answer> m_answers;
    std::uint64_t m_second_copies = 0;
    base::seeded_random m_random;
    std::set<std::shared_ptr<session>> m_sessions;
    std::uint64_t m_arrivals = 0;
    std::uint64_t m_abandoned = 0;
    std::uint64_t m_crashes = 0;
    std::function<void(bool)> m_on_listening;
    std::vector<request_crash> m_request_crashes;
    std::uint64_t m_receipts = 0;
    std::vector<std::chrono::milliseconds> m_deadlines;
    std::vector<request_arrival> m_request_arrivals;
    std::map<std::string, std::chrono::steady_clock::time_point> m_work_ends;
};

} // namespace ospreystair::standins

#endif
