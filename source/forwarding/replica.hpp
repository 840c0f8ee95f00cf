// A replica's state as seen by this VM: its registry entry, and its health and latency.

#ifndef OSPREYSTAIR_FORWARDING_REPLICA_HPP
#define OSPREYSTAIR_FORWARDING_REPLICA_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/clock.hpp"
#include "forwarding/event_rate.hpp"
#include "forwarding/registration.hpp"
#include "forwarding/replica_pace.hpp"
#include "routing/rate_share.hpp"

namespace ospreystair::forwarding
{

/// Load that a replica reports in a reply.
struct load_report
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    /// Current execution time on the replica's machine as a multiple of the normal one.
    double slowdown = 1;
};

/// Latencies of one kind of request over all replicas, to which those of one replica are compared.
struct latency_baseline
{
    /// Median latency of an attempt.
    base::duration median{0};
    /// An attempt without a reply after this time is overdue.
    base::duration overdue_after{0};
};

/// State of one incarnation of a replica. Not thread-safe: used by one dispatcher.
class replica
{
public:
    explicit replica(registration registry_entry, base::time_point now);

    const registration& registry_entry() const { return m_registry_entry; }
    /// Adopts a newer registry entry of the same incarnation.
    void update(registration registry_entry, base::time_point now);

    /// Whether the replica is listed in the registry and not about to stop, as far as the registry
    /// or the replica itself says, and its data centre is not evacuated.
    bool is_ready() const { return is_available() && !m_is_evacuated; }
    /// Whether operators have asked that the replicas of its data centre get no requests.
    bool is_evacuated() const { return m_is_evacuated; }
    void set_evacuated(bool is_evacuated) { m_is_evacuated = is_evacuated; }
    /// Like `is_ready`, but for an evacuation.
    bool is_available() const
    {
        return m_is_listed && !m_registry_entry.is_draining && !m_is_leaving;
    }
    void set_listed(bool is_listed) { m_is_listed = is_listed; }
    /// Whether the registry entry is missing but may come back, for example after an outage.
    bool is_unconfirmed() const { return m_is_unconfirmed; }
    void set_unconfirmed(bool is_unconfirmed) { m_is_unconfirmed = is_unconfirmed; }

    /// Records that an attempt was sent. Each call must be followed by one of `record_reply`,
    /// `record_refusal`, `record_not_sent`, `record_connection_loss` and `record_abandoned` with
    /// the same `sent_at`.
    void record_sent(base::time_point sent_at);
    /// Records a complete reply from the replica. `baseline` is that of the request's kind.
    void record_reply(base::time_point sent_at, base::time_point now,
                      const latency_baseline& baseline, bool is_failure);
    /// Records that the replica refused the request without running it.
    void record_refusal(base::time_point sent_at, base::time_point now);
    /// Records that the attempt ended before any byte was sent, for a reason that says nothing
    /// about the replica's health.
    void record_not_sent(base::time_point sent_at) { remove_outstanding(sent_at); }
    /// Records that the connection was lost before a complete reply.
    void record_connection_loss(base::time_point sent_at, base::time_point now);
    /// Records that the attempt was dropped without a reply. Its latency is at least the time until
    /// `now`.
    void record_abandoned(base::time_point sent_at, base::time_point now,
                          const latency_baseline& baseline);
    void record_load(const load_report& report, base::time_point now);

    /// Records that the replica announced in a reply that it is about to stop. Holds for this
    /// incarnation, whatever the registry says: the registry may be out of reach or late.
    void record_leaving() { m_is_leaving = true; }
    bool is_leaving() const { return m_is_leaving; }

    /// Records that the replica wants no requests from this VM until `end`. An earlier end of a
    /// later reply does not shorten the time.
    void record_closed(base::time_point end);
    /// Whether a new request must not be sent now: the replica wants none, or did so before and has
    /// not yet answered the one request that checks whether it serves again, or this VM's share of
    /// its limit is used up. All VMs that waited return at the same time, so each starts with one.
    bool is_closed(base::time_point now) const
    {
        return now < m_closed_until || (m_is_reopening && !m_outstanding.empty()) ||
               (m_rate_share && !m_rate_share->allows_request(now)) ||
               (m_warm_up_share && is_cold(now) && !m_warm_up_share->allows_request(now));
    }
    /// When a closed replica takes a request again.
    base::time_point reopens_at(base::time_point now) const;

    /// Records that the replica takes `requests_per_second` from all VMs together, of which this VM
    /// sends its share.
    void record_request_limit(double requests_per_second, const routing::fleet_position& position,
                              base::time_point now);
    /// Records that the replica names no limit any more.
    void clear_request_limit() { m_rate_share.reset(); }
    bool has_request_limit() const { return m_rate_share.has_value(); }

    /// Sets the requests that the replica takes from all VMs together while it is cold; empty for
    /// any number.
    void set_warm_up_limit(const std::optional<routing::rate_limit>& limit,
                           const routing::fleet_position& position, base::time_point now);

    /// Records that another replica answered at this address: this one no longer exists, even if
    /// the registry still lists it.
    void record_replaced() { m_is_replaced = true; }
    bool is_replaced() const { return m_is_replaced; }

    /// Records that a connection could not be opened. The replica is unreachable until one is.
    void record_connect_failure(base::time_point now);
    /// Records that the replica closed a new connection at once, as at its connection limit.
    void record_rejection(base::time_point now) { m_last_failure = now; }
    void record_connected(base::time_point now)
    {
        if (is_unreachable())
            m_pace.restart(now);
        m_connect_failures = 0;
        m_last_contact = now;
    }
    /// Forgets failures to connect that turned out to be rejections at the connection limit.
    void clear_connect_failures() { m_connect_failures = 0; }
    bool is_unreachable() const { return m_connect_failures > 0; }
    /// Time of the next connection attempt after failures.
    base::time_point reconnect_at() const { return m_reconnect_at; }

    /// Records that the replica stays cold for `left`; 0 when it is warm.
    void record_warm_up(std::chrono::milliseconds left, base::time_point now);
    bool is_cold(base::time_point now) const { return now < m_warm_up_end; }
    /// How much of its usual work the replica should get now.
    const replica_pace& pace() const { return m_pace; }

    std::size_t outstanding() const { return m_outstanding.size(); }
    /// When the last attempt without a reply was sent, or the last connection failed.
    base::time_point last_failure() const { return m_last_failure; }
    /// Whether an attempt sent at `since` or later has been waiting for longer than `max_pause`.
    bool is_silent_since(base::time_point since, base::time_point now) const
    {
        return !m_outstanding.empty() && m_outstanding.back() >= since &&
               now - m_outstanding.back() > max_pause;
    }
    /// Time of the last reply or new connection.
    base::time_point last_contact() const { return m_last_contact; }

    /// Whether other replicas are preferred for new requests: a reply is overdue, the replica is in
    /// backoff after a refusal or a dropped attempt, is unreachable, or is unconfirmed.
    bool is_suspect(base::time_point now, const latency_baseline& baseline) const;
    /// Whether the replica is down: unreachable, replaced by another, or silent for longer than
    /// `max_pause`. After a backoff a silent replica may be probed with one request.
    bool is_down(base::time_point now) const;

    /// Expected latency of a new request of this kind, without the network.
    base::duration expected_time(base::time_point now, const latency_baseline& baseline) const;

    /// Longest pause of a live replica; one that is silent for longer counts as down.
    static constexpr std::chrono::milliseconds max_pause{400};

private:
    static constexpr double failure_weight = 0.15;
    // Refusals are sent at once and seldom come alone.
    static constexpr double refusal_weight = 0.35;

    void remove_outstanding(base::time_point sent_at);
    void update_latency_ratio(base::duration latency, base::time_point now,
                              const latency_baseline& baseline);
    void back_off(base::time_point now, base::duration initial);
    double latency_ratio(base::time_point now) const;
    double requests_ahead(base::time_point now, const latency_baseline& baseline) const;

    registration m_registry_entry;
    bool m_is_listed = true;
    bool m_is_unconfirmed = false;
    bool m_is_replaced = false;
    bool m_is_evacuated = false;
    bool m_is_leaving = false;
    base::time_point m_closed_until{};
    // Whether no request has succeeded since m_closed_until.
    bool m_is_reopening = false;
    // Present while the replica names a limit on its requests.
    std::optional<routing::rate_share> m_rate_share;
    // Present while the replica's service limits the requests to cold replicas; applies until
    // m_warm_up_end.
    std::optional<routing::rate_share> m_warm_up_share;
    // End of the slow phase after the replica's start, by the newest statement of the replica.
    base::time_point m_warm_up_end{};
    replica_pace m_pace;
    // Send times of outstanding attempts, oldest first.
    std::vector<base::time_point> m_outstanding;
    base::time_point m_last_contact;
    base::time_point m_last_failure{};
    // Start of the current silence: the first send since the last reply, or that reply if attempts
    // were outstanding then.
    std::optional<base::time_point> m_silent_since;
    // End of the backoff after refusals and abandoned attempts; other replicas are preferred
    // before.
    base::time_point m_avoid_until{};
    unsigned m_backoff_count = 0;
    unsigned m_connect_failures = 0;
    base::time_point m_reconnect_at{};
    // Natural logarithm of the ratio of the replica's latency to the median of all replicas.
    double m_log_latency_ratio = 0;
    base::time_point m_latency_ratio_at{};
    event_rate m_failure_rate{failure_weight};
    event_rate m_refusal_rate{refusal_weight};
    load_report m_load;
    std::optional<base::time_point> m_load_at;
};

} // namespace ospreystair::forwarding

#endif
