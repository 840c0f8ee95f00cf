// Decides which VM gathers a query over many shards.
//
// Load pattern: a query over a hundred shards costs the VM that gathers it some milliseconds of a
// core. A VM with a small share of a core needs longer for that than callers want to wait, while
// another VM of its data centre, with a larger share, has time to spare.

#ifndef OSPREYSTAIR_FORWARDING_GATHER_PLACEMENT_HPP
#define OSPREYSTAIR_FORWARDING_GATHER_PLACEMENT_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.hpp"

namespace ospreystair::forwarding
{

/// A VM as a gatherer of queries.
struct gatherer
{
    std::string vm;
    std::string data_centre;
    /// Share of a core that the VM may use; 0 when unknown.
    double core_share = 0;
};

/// Returns the VMs that gather queries for others: those with at least twice the share of a core
/// that the smallest VM of their data centre has. VMs with the same list find the same gatherers.
std::set<std::string> find_gatherers(const std::vector<gatherer>& vms);

/// Chooses by the expected time until a query's parts are processed. Equal VMs gather for
/// themselves. A VM that refuses or loses queries is left out for a while, so that nobody depends
/// on it. Not thread-safe.
class gather_placement
{
public:
    /// Processor time for one part: sending it, reading and merging the reply.
    static constexpr std::chrono::microseconds cost_per_part{75};
    /// Network and processing of a handover, both ways.
    static constexpr std::chrono::milliseconds handover_time{6};
    /// Queries with fewer parts are gathered where they arrive.
    static constexpr std::size_t min_parts = 8;
    /// Queries of other VMs that one VM gathers at a time.
    static constexpr std::size_t max_running = 48;
    /// How long a VM that refused a query is left out, and one that lost it; the latter doubles.
    static constexpr std::chrono::milliseconds refusal_pause{500};
    static constexpr std::chrono::milliseconds initial_loss_pause{1'000};
    static constexpr std::chrono::milliseconds max_loss_pause{8'000};
    /// Reported loads count for this long.
    static constexpr std::chrono::milliseconds load_lifetime{2'000};

    /// Adopts the list of VMs, of which only those in this VM's data centre are used.
    void adopt(const gatherer& own, const std::vector<gatherer>& vms);

    /// Returns the VM that should gather a query with `parts` parts; empty to gather it here.
    std::optional<std::string> choose(std::size_t parts, base::time_point now) const;

    /// Returns a VM that lost a query and may be back. It gets queries again when it has answered a
    /// question, which `record_probed` reports.
    std::optional<std::string> start_probe(base::time_point now);
    void record_probed(const std::string& vm, bool has_answered, base::time_point now);

    /// Records the start and the end of a query that is gathered here for a caller of this VM.
    void record_started_here() { ++m_running_here; }
    void record_ended_here() { --m_running_here; }

    /// Records that a query was sent to a gatherer. One of the calls below follows.
    void record_sent(const std::string& vm);
    /// Records that it answered; `running` is the number of queries that it gathers for others.
    void record_answer(const std::string& vm, std::uint32_t running, base::time_point now);
    /// Records that it takes no queries now.
    void record_refusal(const std::string& vm, base::time_point now);
    /// Records that it gave no answer, or closed the connection.
    void record_loss(const std::string& vm, base::time_point now);
    /// Records that the query ended for a reason that says nothing about the gatherer.
    void record_cancelled(const std::string& vm);

    std::size_t candidate_count() const { return m_candidates.size(); }

private:
    struct candidate
    {
        double core_share = 0;
        // Queries of this VM that it gathers.
        std::uint32_t sent = 0;
        std::uint32_t reported = 0;
        base::time_point reported_at{};
        base::time_point avoid_until{};
        // Since the last answer.
        unsigned losses = 0;
        bool is_probed = false;
    };

    static base::duration processing_time(std::size_t parts, double core_share, double running);
    static double expected_running(const candidate& item, base::time_point now);
    candidate* end_query(const std::string& vm);
    static void count_loss(candidate& item, base::time_point now);

    double m_own_share = 0;
    std::uint32_t m_running_here = 0;
    // By name.
    std::map<std::string, candidate> m_candidates;
};

} // namespace ospreystair::forwarding

#endif
