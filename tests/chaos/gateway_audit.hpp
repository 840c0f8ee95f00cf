// Checks what callers of the gateway observe in a chaos run against the gateway's guarantees.

#ifndef OSPREYSTAIR_TESTS_CHAOS_GATEWAY_AUDIT_HPP
#define OSPREYSTAIR_TESTS_CHAOS_GATEWAY_AUDIT_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tests/chaos/disturbance_log.hpp"
#include "tests/gateway/platform_fleet.hpp"

namespace ospreystair::chaos
{

/// Names of components in the disturbance log.
inline const std::string store_component = "store";
std::string vm_component(std::size_t vm);
/// For planned stops, during which requests are still answered.
std::string stop_component(std::size_t vm);
/// For the links between a VM and the replicas.
std::string links_component(std::size_t vm);

/// A time in which VMs had lost all replicas.
struct reach_loss
{
    std::set<std::size_t> vms;
    /// Number of all VMs.
    std::size_t vm_count = 0;
    disturbance_log::time_point from;
    disturbance_log::time_point to;
};

enum class request_kind
{
    gathered, ///< "/all/"
    single,   ///< "/one/"
    once      ///< "/once/", which must not be repeated.
};

/// One request of a caller with its answer.
struct caller_exchange
{
    request_kind kind = request_kind::gathered;
    std::string id;
    std::size_t vm = 0;
    /// Counts the starts of the VM's process.
    unsigned incarnation = 0;
    disturbance_log::time_point sent_at;
    disturbance_log::time_point ended_at;
    testing_support::caller_answer answer;
    /// Names a request that crashes the replicas which run it, the same for all its copies; empty
    /// for others.
    std::string deadly_content;
    /// The connection had carried a request before.
    bool is_connection_reused = false;
    /// The caller closed its connection before its deadline, without an answer.
    bool has_disconnected = false;
    /// The caller sent the id more than once, so that runs counted by id cover several exchanges.
    bool is_id_repeated = false;
    /// False for attempts after the first with one id.
    bool is_first_try = true;
};

/// Thread-safe.
class gateway_audit
{
public:
    using time_point = disturbance_log::time_point;
    /// Returns the VM whose requests come from an address; empty when that is not known.
    using sender_finder = std::function<std::optional<std::size_t>(const std::string&)>;

    /// Bounds from the settings that the fleet writes.
    static constexpr std::chrono::milliseconds apply_bound{3'000};
    static constexpr std::chrono::milliseconds drain_bound{3'000};
    static constexpr std::chrono::milliseconds stable_window{4'000};
    static constexpr std::chrono::milliseconds downgrade_slack{250};
    static constexpr std::chrono::milliseconds disconnect_slack{500};
    static constexpr std::chrono::milliseconds repeat_window{10'000};
    static constexpr double repeat_ratio = 0.2;
    static constexpr std::size_t repeat_slack = 58;
    /// Time for which refusing replicas want no requests, and the part of it in which requests that
    /// are on their way may still arrive.
    static constexpr std::chrono::milliseconds closed_time{900};
    static constexpr std::chrono::milliseconds closing_time{500};
    static constexpr std::size_t max_arrivals_while_closed = 2;
    /// Windows in which a limit is checked, and what a replica bears in one of them.
    static constexpr std::chrono::milliseconds limit_window{4'000};
    static constexpr std::chrono::milliseconds limit_notice{500};
    static constexpr double limit_factor = 1.5;
    static constexpr double limit_slack = 5;
    /// VMs without replicas are served badly when they serve less than this share of what the
    /// others do, and more requests than this fail.
    static constexpr double min_reach_share = 2.0 / 3;
    static constexpr std::size_t reach_slack = 10;
    static constexpr std::size_t reach_slack_divisor = 50;
    /// Copies of a request that crashes replicas which may still arrive once it has crashed so many
    /// and the stable window has passed.
    static constexpr std::size_t crashes_before_stop = 3;
    static constexpr std::size_t max_deadly_copies = 3;

    explicit gateway_audit(disturbance_log& disturbances) : m_disturbances(disturbances) {}

    /// Adds a configuration that gathers from these services, and the time of its publication.
    void add_generation(std::vector<std::string> shards, time_point published_at);
    void add_exchange(const caller_exchange& exchange);
    /// Counts a check that was made; the summary prints the counts.
    void count_check(const std::string& what);
    void add_violation(const std::string& invariant, std::string text);

    /// Called after the run with the number of times that the replicas ran each request.
    void check_executions(const std::map<std::string, unsigned>& executions);
    /// Called after the run with the times at which a replica last worked on each request.
    void check_disconnects(const std::map<std::string, time_point>& work_ends);
    /// Called after the run: checks in every window that the arrivals at a service stay within its
    /// requests and the budget of repeats.
    void check_repeats(const std::string& service, std::vector<time_point> arrivals);

    /// Called after the run with the answers of all replicas: checks that each success is the
    /// answer to a sending of its own attempt, which arrived after the caller began it.
    void check_sources(const std::vector<standins::replica_answer>& answers);
    /// Found by `check_sources`: successes of single requests of which a later sending to the same
    /// replica did not succeed, with all answers of that replica.
    std::vector<std::string> successes_before_failures() const;

    /// The replica announces its stop in all its answers from `begin_leaving` to `end_leaving`.
    void begin_leaving(const std::string& replica, time_point now);
    void end_leaving(const std::string& replica, time_point now);
    /// Called after the run with the requests that arrived at a replica: checks that a VM which had
    /// an answer of the leaving replica sent it no further requests, and none while the replica
    /// wanted none.
    void check_announcements(const std::string& replica,
                             const std::vector<standins::request_arrival>& arrivals,
                             const sender_finder& find_sender);

    /// The replica names its limit in all its answers from `begin_limit` to `end_limit`.
    void begin_limit(const std::string& replica, double requests_per_second, time_point now);
    void end_limit(const std::string& replica, time_point now);
    /// Called after the run with the requests that arrived at a replica: checks that the VMs which
    /// had passed on one of its answers together kept to its limit. `find_sender` returns the VM
    /// with an address.
    void check_limits(const std::string& replica,
                      const std::vector<standins::request_arrival>& arrivals,
                      const sender_finder& find_sender);

    /// Called after the run with what happened at all replicas: checks that VMs stop to send
    /// requests that crash replicas.
    void check_deadly_requests(std::vector<standins::request_crash> crashes,
                               const std::vector<standins::request_arrival>& arrivals,
                               const sender_finder& find_sender);

    void add_reach_loss(reach_loss loss);
    /// Called after the run: checks that callers of VMs without replicas were served nearly as well
    /// as those of the others.
    void check_reach_losses();

    std::vector<std::string> violations(const std::string& invariant) const;
    std::string summary() const;

private:
    struct generation
    {
        std::vector<std::string> shards;
        time_point published_at;
    };

    struct observed_generation
    {
        time_point ended_at;
        std::size_t generation = 0;
    };

    /// Whether the VM was neither killed nor frozen.
    bool was_running(const caller_exchange& exchange) const;
    /// Whether the VM was not stopped either.
    bool is_undisturbed(const caller_exchange& exchange, time_point to) const;

    struct leaving_time
    {
        std::string replica;
        time_point from;
        time_point to;
    };
    using vm_process = std::pair<std::size_t, unsigned>;
    struct limited_time
    {
        std::string replica;
        double requests_per_second = 0;
        time_point from;
        time_point to;
    };
    struct service_count
    {
        std::size_t requests = 0;
        std::size_t served = 0;
        double share() const
        {
            return requests == 0 ? 1 : static_cast<double>(served) / static_cast<double>(requests);
        }
    };

    // The caller of these functions has locked m_mutex.
    void check_leaving(const leaving_time& leaving,
                       const std::vector<standins::request_arrival>& arrivals);
    bool has_connected_vm(const reach_loss& loss, const caller_exchange& exchange) const;
    void check_limit(const limited_time& limited,
                     const std::vector<standins::request_arrival>& arrivals,
                     const sender_finder& find_sender);
    // When each VM had passed on an answer in which the replica names its limit.
    std::map<std::size_t, time_point>
    find_told_times(const limited_time& limited,
                    const std::vector<standins::request_arrival>& arrivals,
                    const sender_finder& find_sender) const;
    void check_closing(const std::string& replica,
                       const std::vector<standins::request_arrival>& arrivals);
    // Returns null when the id was sent more than once.
    const caller_exchange* find_exchange(const std::string& id) const;
    void check_gathered(const caller_exchange& exchange);
    void check_single(const caller_exchange& exchange);
    std::string check_parts(const caller_exchange& exchange,
                            std::vector<std::string>& services) const;
    void check_generation(const caller_exchange& exchange,
                          const std::vector<std::string>& services);
    std::size_t find_due_generation(const caller_exchange& exchange) const;
    void record_violation(const std::string& invariant, const caller_exchange& exchange,
                          const std::string& text);
    std::size_t count_requests(const std::string& service, time_point from, time_point to) const;

    disturbance_log& m_disturbances;
    mutable std::mutex m_mutex;
    // Guarded by m_mutex, like all that follows.
    std::vector<generation> m_generations;
    std::vector<caller_exchange> m_exchanges;
    // By VM and incarnation.
    std::map<std::pair<std::size_t, unsigned>, std::vector<observed_generation>>
        m_observed_generations;
    std::map<std::string, std::vector<std::string>> m_violations;
    std::vector<leaving_time> m_leaving_times;
    std::vector<limited_time> m_limited_times;
    std::vector<reach_loss> m_reach_losses;
    // Indexes into m_exchanges by request id.
    std::map<std::string, std::size_t> m_exchange_of;
    std::map<unsigned, std::size_t> m_statuses;
    std::map<std::string, std::size_t> m_checks;
    std::vector<std::string> m_successes_before_failures;
};

} // namespace ospreystair::chaos

#endif
