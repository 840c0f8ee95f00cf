// Evidence that a request crashes the replicas that run it.
//
// Load pattern: one request crashes each replica that begins to run it, and callers send it again
// at any VM. Replicas also crash for other reasons, while they run requests that are not the cause.

#ifndef OSPREYSTAIR_ROUTING_CRASH_LEDGER_HPP
#define OSPREYSTAIR_ROUTING_CRASH_LEDGER_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/clock.hpp"
#include "base/fingerprint.hpp"
#include "routing/recent_answers.hpp"

namespace ospreystair::routing
{

/// One crash of a replica while it ran a request.
struct replica_crash
{
    /// Hash of the replica's id.
    std::uint64_t replica = 0;
    /// When the request was sent.
    base::time_point sent_at{};
    base::time_point at{};
};

/// What VMs tell each other about one request.
struct crash_report
{
    base::fingerprint request;
    /// When a replica last answered it.
    std::optional<base::time_point> answered_at;
    std::vector<replica_crash> crashes;
};

enum class crash_verdict
{
    clear,     ///< No crash since the last answer.
    suspected, ///< May be sent to one replica at a time until one answers.
    condemned  ///< Must not be sent.
};

constexpr std::string_view to_string(crash_verdict verdict)
{
    switch (verdict)
    {
    case crash_verdict::clear:
        return "clear";
    case crash_verdict::suspected:
        return "suspected";
    case crash_verdict::condemned:
        return "condemned";
    }
    return "clear";
}

/// A request is condemned when replicas crashed under it in two trials and none has answered it
/// since. Attempts belong to one trial, on whatever VMs, if they may have met the same outage: they
/// were sent before the first crash of the trial or shortly after. The second trial is sent to one
/// replica alone, so that a coincidence is unlikely: an outage that spans many replicas makes a
/// request suspected, but the next replica answers it.
///
/// An answer of a replica clears a request at once. So do answers that other VMs got: a VM that
/// loses its links may take that for crashes, while others go on. Crashes that a condemned request
/// explains are not held against others with fewer crashes that ran on the same replica.
///
/// Evidence expires. A condemned request may be tried again after a time that grows with the
/// number of trials, for the replicas may have been repaired. Memory is bounded: when there are too
/// many requests, the one without news for the longest time is forgotten, condemned ones last.
///
/// Merging reports is idempotent and commutative. Not thread-safe.
class crash_ledger
{
public:
    static constexpr std::size_t max_requests = 256;
    /// Crashes kept for one request, and of these for one trial.
    static constexpr std::size_t max_crashes = 8;
    static constexpr std::size_t max_crashes_per_trial = 3;
    /// Evidence from which on a request is condemned.
    static constexpr std::size_t min_crashes = 3;
    static constexpr std::size_t min_trials = 2;
    /// Time in which all VMs notice the crashes of one outage.
    static constexpr std::chrono::milliseconds outage_spread{150};
    /// VMs with different seeds start trials up to this much apart, so that the first one settles
    /// it.
    static constexpr std::chrono::milliseconds max_trial_jitter{100};
    /// Time without tries after the last crash; doubled for each further trial.
    static constexpr std::chrono::seconds first_block{60};
    static constexpr std::chrono::seconds max_block{600};
    /// Outlives the longest block, so that one crash is enough to condemn the request again.
    static constexpr std::chrono::seconds evidence_lifetime{1'200};
    /// Crashes of one replica, as seen by different VMs, are at most this far apart.
    static constexpr std::chrono::seconds same_crash_margin{2};

    /// VMs with different seeds try a condemned request again at different times.
    explicit crash_ledger(std::uint64_t seed) : m_seed(seed) {}

    crash_verdict assess(const base::fingerprint& request, base::time_point now) const;
    /// When a condemned request may be tried again.
    base::time_point blocked_until(const base::fingerprint& request) const;

    /// When a suspected request may be sent again: a crash before would belong to the last trial.
    base::time_point next_trial_at(const base::fingerprint& request) const;

    void record_crash(const base::fingerprint& request, const replica_crash& crash);
    /// Records that a replica has run the request and answered it.
    void record_answer(const base::fingerprint& request, base::time_point now);

    /// Adopts what another VM reports. Returns whether anything was new.
    bool merge(const crash_report& report, base::time_point now);
    /// Returns up to `limit` reports that have changed since they were last taken, those with the
    /// most crashes first.
    std::vector<crash_report> take_changes(std::size_t limit);
    bool has_changes() const { return !m_changed.empty(); }
    /// Returns up to `limit` reports, those with the most crashes first.
    std::vector<crash_report> reports(std::size_t limit) const;
    /// Equal on VMs that know of the same crashes; 0 without any.
    std::uint64_t digest() const;

    void remove_expired(base::time_point now);
    std::size_t size() const { return m_requests.size(); }

private:
    // Invariant: `crashes` are newer than `answered_at`, the oldest first, and at most max_crashes.
    struct evidence
    {
        std::optional<base::time_point> answered_at;
        std::vector<replica_crash> crashes;
        base::time_point updated_at{};
    };

    static bool is_sufficient(const std::vector<replica_crash>& crashes);
    static std::size_t count_trials(const std::vector<replica_crash>& crashes);
    // Keeps what the trials rest on.
    static void drop_surplus(std::vector<replica_crash>& crashes);
    // Returns whether the crash is new.
    static bool add_crash(evidence& entry, const replica_crash& crash);
    static void clear_until(evidence& entry, base::time_point answered_at);
    bool is_explained(const base::fingerprint& request, const replica_crash& crash) const;
    evidence& find_or_create(const base::fingerprint& request);
    void make_room();
    crash_report make_report(const base::fingerprint& request) const;
    // Puts those with the most crashes first, and cuts the rest.
    std::vector<crash_report> select(std::vector<base::fingerprint> requests,
                                     std::size_t limit) const;

    const std::uint64_t m_seed;
    std::unordered_map<base::fingerprint, evidence> m_requests;
    recent_answers m_answers;
    // Requests whose evidence has not been reported yet.
    std::unordered_set<base::fingerprint> m_changed;
};

} // namespace ospreystair::routing

#endif
