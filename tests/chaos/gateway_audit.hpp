// What callers of the platform's program saw in a chaos run, checked against its promises.

#ifndef OSPREYSTAIR_TESTS_CHAOS_GATEWAY_AUDIT_HPP
#define OSPREYSTAIR_TESTS_CHAOS_GATEWAY_AUDIT_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "tests/chaos/disturbance_log.hpp"
#include "tests/gateway/platform_fleet.hpp"

namespace ospreystair::chaos
{

/// Part names in the disturbance log.
inline const std::string store_part = "store";
std::string vm_part(std::size_t vm);
/// For planned stops, during which requests are still answered.
std::string stop_part(std::size_t vm);

enum class request_kind
{
    gathered, ///< "/all/"
    single,   ///< "/one/"
    once      ///< "/once/", which must not be repeated.
};

/// One request of a caller with its answer.
struct seen_exchange
{
    request_kind kind = request_kind::gathered;
    std::string id;
    std::size_t vm = 0;
    /// Counts the starts of the VM's process.
    unsigned incarnation = 0;
    disturbance_log::time_point sent_at;
    disturbance_log::time_point ended_at;
    testing_support::caller_answer answer;
    /// On a connection that had carried a request before.
    bool is_kept = false;
    /// The caller closed its connection before its deadline, without an answer.
    bool has_left = false;
};

/// Thread-safe.
class gateway_audit
{
public:
    using time_point = disturbance_log::time_point;

    /// The bounds of the settings that the fleet writes.
    static constexpr std::chrono::milliseconds apply_bound{3'000};
    static constexpr std::chrono::milliseconds drain_bound{3'000};
    static constexpr std::chrono::milliseconds stable_window{4'000};
    static constexpr std::chrono::milliseconds downgrade_slack{250};
    static constexpr std::chrono::milliseconds departure_slack{500};
    static constexpr std::chrono::milliseconds repeat_window{10'000};
    static constexpr double repeat_ratio = 0.2;
    static constexpr std::size_t repeat_slack = 58;

    explicit gateway_audit(disturbance_log& disturbances) : m_disturbances(disturbances) {}

    /// The store has acknowledged a configuration that gathers from these services.
    void add_generation(std::vector<std::string> shards, time_point published_at);
    void add_exchange(const seen_exchange& seen);
    /// Counts a check that was made, so that a run shows what it has covered.
    void count_check(const std::string& what);
    void add_violation(const std::string& promise, std::string text);

    /// After the run: how often the replicas ran each request.
    void check_executions(const std::map<std::string, unsigned>& executions);
    /// After the run: when a replica was last at work on each request.
    void check_departures(const std::map<std::string, time_point>& work_ends);
    /// After the run: arrivals at a service beyond its requests, in every window.
    void check_repeats(const std::string& service, std::vector<time_point> arrivals);

    std::vector<std::string> violations(const std::string& promise) const;
    std::string summary() const;

private:
    struct generation
    {
        std::vector<std::string> shards;
        time_point published_at;
    };

    struct sighting
    {
        time_point ended_at;
        std::size_t generation = 0;
    };

    /// Whether the VM was neither killed nor frozen.
    bool has_run(const seen_exchange& seen) const;
    /// Whether the VM was not stopped either.
    bool is_calm(const seen_exchange& seen, time_point to) const;

    // These members need m_mutex.
    void check_gathered(const seen_exchange& seen);
    void check_single(const seen_exchange& seen);
    std::string check_parts(const seen_exchange& seen, std::vector<std::string>& services) const;
    void check_generation(const seen_exchange& seen, const std::vector<std::string>& services);
    std::size_t find_due_generation(const seen_exchange& seen) const;
    void violate(const std::string& promise, const seen_exchange& seen, const std::string& text);
    std::size_t count_requests(const std::string& service, time_point from, time_point to) const;

    disturbance_log& m_disturbances;
    mutable std::mutex m_mutex;
    // Guarded by m_mutex, like all that follows.
    std::vector<generation> m_generations;
    std::vector<seen_exchange> m_exchanges;
    // By VM and incarnation.
    std::map<std::pair<std::size_t, unsigned>, std::vector<sighting>> m_sightings;
    std::map<std::string, std::vector<std::string>> m_violations;
    std::map<unsigned, std::size_t> m_statuses;
    std::map<std::string, std::size_t> m_checks;
};

} // namespace ospreystair::chaos

#endif
