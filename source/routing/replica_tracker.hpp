// Tracks the state of each replica as this process observes it: load, latency, failures, ejection
// and draining.

#ifndef OSPREYSTAIR_ROUTING_REPLICA_TRACKER_HPP
#define OSPREYSTAIR_ROUTING_REPLICA_TRACKER_HPP

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "base/sharded_map.hpp"
#include "configuration/document.hpp"
#include "routing/rate_share.hpp"

namespace ospreystair::routing
{

/// The load that a replica reports about itself. It may be outdated or wrong.
struct load_report
{
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    bool is_draining = false;
};

/// A replica's state at one point in time, as the selector reads it.
struct replica_snapshot
{
    std::uint32_t in_flight = 0;
    std::uint32_t slots = 1;
    /// Failures since the last usable reply.
    std::uint32_t failures = 0;
    /// Smoothed latency; empty until the first sample.
    std::optional<base::duration> latency;
    /// The replica is draining and receives no new work.
    bool is_draining = false;
    /// Ejected, and either not yet due for a probe or with a probe in flight.
    bool is_ejected = false;
    /// Ejected, and due for one request that probes whether it has recovered.
    bool is_probe_due = false;
    base::time_point ejected_until{};
    /// The replica shed a request within the last `shed_avoidance_time`.
    bool is_shedding = false;
    /// This VM's share of the limit that the replica names is used up for now.
    bool is_limited = false;
    /// Share of the normal load that the replica receives while it warms up, above 0 and up to 1.
    double warm_up_share = 1;
    /// The last report, while it is recent.
    std::optional<load_report> report;
};

/// Settings of the tracker.
struct tracker_settings
{
    std::uint32_t failures_before_ejection = 5;
    base::duration initial_ejection_time = std::chrono::seconds{1};
    base::duration max_ejection_time = std::chrono::seconds{30};
    /// After this long in use since its last ejection, a replica's ejection time starts again from
    /// the initial one.
    base::duration ejection_reset_time = std::chrono::seconds{60};
    base::duration warm_up_time = std::chrono::seconds{10};
    double initial_warm_up_share = 0.1;
    /// Half-life of the smoothed latency without samples, so that a replica that was slow is tried
    /// again.
    base::duration latency_half_life = std::chrono::seconds{5};
    /// Lowest weight of a new latency sample; the weight grows with the time since the last one.
    double min_latency_weight = 0.1;
    base::duration report_lifetime = std::chrono::seconds{2};
    /// For how long a replica that shed a request is used only when there is no other.
    base::duration shed_avoidance_time = std::chrono::milliseconds{200};
};

/// The observed state of all replicas, by name. Thread-safe: each shard of the map has its own
/// lock.
template<base::clock_source Clock>
class replica_tracker
{
public:
    explicit replica_tracker(const Clock& clock, tracker_settings settings = {})
        : m_clock(clock), m_settings(settings)
    {
    }

    /// Adopts a configuration and the set of draining replicas. Replicas that were not in the
    /// previous configuration warm up, except in the first configuration, where all replicas are
    /// new. Call from one thread at a time.
    void update(const configuration::document& document,
                const std::set<std::string>& draining_replicas)
    {
        std::unordered_set<std::string> names;
        for (const auto& [service_name, service] : document.services)
            for (const configuration::shard& shard : service.shards)
                for (const configuration::replica& replica : shard.replicas)
                {
                    names.insert(replica.name);
                    configure(replica, draining_replicas.contains(replica.name));
                }
        for (const auto& [name, ignored] : m_replicas.copy_all())
            if (!names.contains(name))
                remove(name);
        m_has_configuration = true;
    }

    /// Counts a request to the replica as in flight. Returns whether it is the probe of an ejected
    /// replica.
    bool begin(const std::string& name)
    {
        return update_state(name,
                            [this](replica_state& replica)
                            {
                                ++replica.in_flight;
                                if (replica.rate)
                                    replica.rate->record_request(m_clock.now());
                                const bool is_probe = is_probe_due(replica, m_clock.now());
                                if (is_probe)
                                    replica.is_probe_in_flight = true;
                                return is_probe;
                            });
    }

    /// Ends a request that `begin` counted. `result` is `none` after a usable reply; `unreachable`,
    /// `timeout`, `protocol` and `internal` count as failures of the replica; `overloaded` and
    /// `draining` set the corresponding state; other kinds do not affect its health. `latency` is
    /// the time since `begin`, for `cancelled` the time until the request was cancelled.
    void finish(const std::string& name, base::error_kind result, base::duration latency)
    {
        update_state(name,
                     [this, result, latency](replica_state& replica)
                     {
                         if (replica.in_flight > 0)
                             --replica.in_flight;
                         record_result(replica, result, latency);
                         return true;
                     });
    }

    /// Records that the replica reported in a reply that it is draining. It receives no new work
    /// until the view has listed it as draining and then no longer does, or until `clear_draining`
    /// is called.
    void mark_draining(const std::string& name)
    {
        update_state(name,
                     [](replica_state& replica) { return replica.has_reported_draining = true; });
    }

    /// Records that the replica serves again, for example after a restart; it warms up.
    void clear_draining(const std::string& name)
    {
        update_state(name,
                     [this](replica_state& replica)
                     {
                         replica.has_reported_draining = false;
                         replica.warm_up_since = m_clock.now();
                         return true;
                     });
    }

    /// Records the requests a second that the replica takes from all VMs together, as its last
    /// reply names them; empty when it names none.
    void record_request_limit(const std::string& name, std::optional<double> requests_per_second)
    {
        const fleet_position position = load_position();
        update_state(name,
                     [&](replica_state& replica)
                     {
                         if (!requests_per_second)
                             replica.rate.reset();
                         else if (replica.rate)
                             replica.rate->update(*requests_per_second, position, m_clock.now());
                         else
                             replica.rate.emplace(*requests_per_second, position, m_clock.now());
                         return true;
                     });
    }

    /// Sets this VM's place among the VMs that share the limits.
    void set_fleet_position(const fleet_position& position)
    {
        const std::scoped_lock lock(m_position_mutex);
        m_position = position;
    }

    /// Stores a load report. Reports only break ties and never override this process's own
    /// observations.
    void record_report(const std::string& name, const load_report& report)
    {
        update_state(name,
                     [this, &report](replica_state& replica)
                     {
                         replica.report = report;
                         replica.reported_at = m_clock.now();
                         return true;
                     });
    }

    /// Whether every replica that may get work is ejected and none is due for a probe: this VM has
    /// probably lost its links to the upstreams. Ends with the first ejection that does.
    bool are_all_ejected() const
    {
        const base::time_point now = m_clock.now();
        std::size_t ejected_count = 0;
        for (const auto& [name, replica] : m_replicas.copy_all())
        {
            if (!replica.is_configured || replica.is_draining_in_view ||
                replica.has_reported_draining)
                continue;
            if (!replica.is_ejected || is_probe_due(replica, now))
                return false;
            ++ejected_count;
        }
        return ejected_count > 0;
    }

    replica_snapshot snapshot(const std::string& name)
    {
        return update_state(name, [this](const replica_state& replica)
                            { return make_snapshot(replica); });
    }

private:
    struct replica_state
    {
        std::uint32_t in_flight = 0;
        std::uint32_t slots = 1;
        bool is_configured = false;
        double latency_ns = 0;
        // Empty until the first sample.
        std::optional<base::time_point> latency_updated_at;
        std::uint32_t failures = 0;
        // Invariant: is_probe_in_flight implies is_ejected.
        bool is_ejected = false;
        bool is_probe_in_flight = false;
        base::time_point ejected_until{};
        base::duration ejection_time{0};
        base::time_point returned_at{};
        std::optional<base::time_point> warm_up_since;
        // Drain state according to the view and to the replica's replies; either one stops new
        // work.
        bool is_draining_in_view = false;
        bool has_reported_draining = false;
        std::optional<base::time_point> last_shed_at;
        load_report report;
        std::optional<base::time_point> reported_at;
        // Present while the replica names a limit on its requests.
        std::optional<rate_share> rate;
    };

    fleet_position load_position() const
    {
        const std::scoped_lock lock(m_position_mutex);
        return m_position;
    }

    template<class Change>
    auto update_state(const std::string& name, Change operation)
    {
        return m_replicas.update(
            name, [] { return replica_state{}; }, operation);
    }

    void configure(const configuration::replica& replica, bool is_draining)
    {
        update_state(replica.name,
                     [&](replica_state& known)
                     {
                         const bool has_drain_ended = known.is_draining_in_view && !is_draining;
                         if (has_drain_ended)
                             known.has_reported_draining = false;
                         if (m_has_configuration && (has_drain_ended || !known.is_configured))
                             known.warm_up_since = m_clock.now();
                         known.is_configured = true;
                         known.slots = std::max<std::uint32_t>(1, replica.slots);
                         known.is_draining_in_view = is_draining;
                         return true;
                     });
    }

    void remove(const std::string& name)
    {
        // The state is kept while requests are in flight, so that they are still counted when the
        // replica is configured again in the meantime.
        const bool is_idle = update_state(name,
                                          [](replica_state& replica)
                                          {
                                              replica.is_configured = false;
                                              return replica.in_flight == 0;
                                          });
        if (is_idle)
            m_replicas.erase(name);
    }

    static bool is_probe_due(const replica_state& replica, base::time_point now)
    {
        return replica.is_ejected && !replica.is_probe_in_flight && now >= replica.ejected_until;
    }

    void record_result(replica_state& replica, base::error_kind result, base::duration latency)
    {
        switch (result)
        {
        case base::error_kind::none:
            record_success(replica);
            record_latency(replica, latency);
            break;
        case base::error_kind::timeout:
            record_latency(replica, latency);
            record_failure(replica);
            break;
        case base::error_kind::unreachable:
        case base::error_kind::protocol:
        case base::error_kind::internal:
            record_failure(replica);
            break;
        case base::error_kind::overloaded:
            replica.last_shed_at = m_clock.now();
            replica.is_probe_in_flight = false;
            break;
        case base::error_kind::draining:
            replica.has_reported_draining = true;
            replica.is_probe_in_flight = false;
            break;
        case base::error_kind::cancelled:
            // The time until the cancellation is a lower bound of the latency, so it is a sample
            // only when it exceeds the smoothed latency.
            if (latency > current_latency(replica, m_clock.now()))
                record_latency(replica, latency);
            replica.is_probe_in_flight = false;
            break;
        default:
            replica.is_probe_in_flight = false;
            break;
        }
    }

    void record_success(replica_state& replica)
    {
        replica.failures = 0;
        // Without a probe in flight, the reply belongs to a request sent before the ejection.
        if (!replica.is_ejected || !replica.is_probe_in_flight)
            return;
        replica.is_ejected = false;
        replica.is_probe_in_flight = false;
        replica.returned_at = m_clock.now();
        replica.warm_up_since = replica.returned_at;
    }

    void record_failure(replica_state& replica)
    {
        const base::time_point now = m_clock.now();
        if (replica.is_ejected)
        {
            // Failures of requests that were sent before the ejection do not prolong it.
            if (!replica.is_probe_in_flight)
                return;
            replica.is_probe_in_flight = false;
            eject(replica, now);
            return;
        }
        if (++replica.failures < m_settings.failures_before_ejection)
            return;
        if (now - replica.returned_at > m_settings.ejection_reset_time)
            replica.ejection_time = base::duration{0};
        eject(replica, now);
    }

    void eject(replica_state& replica, base::time_point now)
    {
        replica.failures = 0;
        replica.is_ejected = true;
        replica.ejection_time =
            std::clamp(replica.ejection_time * 2, m_settings.initial_ejection_time,
                       m_settings.max_ejection_time);
        replica.ejected_until = now + replica.ejection_time;
    }

    void record_latency(replica_state& replica, base::duration latency)
    {
        const base::time_point now = m_clock.now();
        const auto sample = static_cast<double>(std::chrono::nanoseconds{latency}.count());
        if (!replica.latency_updated_at)
            replica.latency_ns = sample;
        else
        {
            const double weight = std::max(m_settings.min_latency_weight,
                                           1 - decay_factor(now - *replica.latency_updated_at));
            replica.latency_ns += weight * (sample - replica.latency_ns);
        }
        replica.latency_updated_at = now;
    }

    double decay_factor(base::duration age) const
    {
        return std::exp2(-std::chrono::duration<double>(age).count() /
                         std::chrono::duration<double>(m_settings.latency_half_life).count());
    }

    base::duration current_latency(const replica_state& replica, base::time_point now) const
    {
        if (!replica.latency_updated_at)
            return base::duration{0};
        const double value = replica.latency_ns * decay_factor(now - *replica.latency_updated_at);
        return std::chrono::nanoseconds{static_cast<std::int64_t>(value)};
    }

    double warm_up_share(const replica_state& replica, base::time_point now) const
    {
        if (!replica.warm_up_since)
            return 1;
        const double progress =
            std::chrono::duration<double>(now - *replica.warm_up_since).count() /
            std::chrono::duration<double>(m_settings.warm_up_time).count();
        return std::min(1.0, m_settings.initial_warm_up_share +
                                 (1 - m_settings.initial_warm_up_share) * std::max(0.0, progress));
    }

    replica_snapshot make_snapshot(const replica_state& replica) const
    {
        const base::time_point now = m_clock.now();
        replica_snapshot result;
        result.in_flight = replica.in_flight;
        result.slots = replica.slots;
        result.failures = replica.failures;
        if (replica.latency_updated_at)
            result.latency = current_latency(replica, now);
        result.is_draining = replica.is_draining_in_view || replica.has_reported_draining;
        result.is_probe_due = is_probe_due(replica, now);
        result.is_ejected = replica.is_ejected && !result.is_probe_due;
        result.ejected_until = replica.ejected_until;
        result.is_shedding =
            replica.last_shed_at && now - *replica.last_shed_at < m_settings.shed_avoidance_time;
        result.is_limited = replica.rate && !replica.rate->allows_request(now);
        result.warm_up_share = warm_up_share(replica, now);
        if (replica.reported_at && now - *replica.reported_at < m_settings.report_lifetime)
            result.report = replica.report;
        return result;
    }

    const Clock& m_clock;
    tracker_settings m_settings;
    // Used by `update` only.
    bool m_has_configuration = false;
    base::sharded_map<std::string, replica_state> m_replicas;
    mutable std::mutex m_position_mutex;
    // Guarded by m_position_mutex.
    fleet_position m_position;
};

} // namespace ospreystair::routing

#endif
