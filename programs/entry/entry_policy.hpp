// Binds the routing decisions to the process: which replica a sub-request goes to, and when it is
// retried or hedged.

#ifndef OSPREYSTAIR_PROGRAMS_ENTRY_ENTRY_POLICY_HPP
#define OSPREYSTAIR_PROGRAMS_ENTRY_ENTRY_POLICY_HPP

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "base/identifier.hpp"
#include "base/random.hpp"
#include "base/sharded_map.hpp"
#include "observe/metrics.hpp"
#include "programs/entry/view_holder.hpp"
#include "query/request_record.hpp"
#include "query/sub_request.hpp"
#include "routing/connection_share.hpp"
#include "routing/deadline_budget.hpp"
#include "routing/hedge_policy.hpp"
#include "routing/replica_selector.hpp"
#include "routing/replica_tracker.hpp"
#include "routing/retry_policy.hpp"

namespace ospreystair::entry
{

using steady_clock = base::steady_clock_source;

/// The hedge and retry budgets and the estimated latency of one service. Thread-safe.
struct service_policy
{
    service_policy(const steady_clock& clock, const configuration::service& service)
        : hedge_percent(service.hedge_percent), retry_percent(service.retry_percent),
          hedges(clock, service.hedge_percent), retries(clock, service.retry_percent)
    {
    }

    const std::uint32_t hedge_percent;
    const std::uint32_t retry_percent;
    routing::hedge_policy<steady_clock> hedges;
    routing::retry_policy<steady_clock> retries;
    // When a replica of the service last shed a request or a query had to wait for admission, in
    // ticks of the steady clock.
    std::atomic<base::duration::rep> last_overload{0};
};

class query_decisions;

/// Routing state of the process: replica health, connection limits, and budgets of each service.
/// Thread-safe.
class entry_policy
{
public:
    entry_policy(const steady_clock& clock, view_holder& views, observe::metrics& metrics,
                 const base::process_identity& identity, std::uint64_t seed);

    /// Adopts a view: replicas, drains, and the live VMs that share connections.
    void apply(const configuration::view& view);

    /// Connections that this VM may open to a replica now.
    std::size_t connection_limit(const configuration::replica& target) const;

    /// Returns the observed state of a replica.
    routing::replica_snapshot replica_snapshot_of(const std::string& replica_name)
    {
        return m_tracker.snapshot(replica_name);
    }

    /// Whether this VM reaches none of the upstreams.
    bool is_cut_off() const { return m_tracker.are_all_ejected(); }

    /// Returns the decisions for one query; empty when the service takes commands, which must be
    /// neither retried nor hedged.
    std::optional<query_decisions> make_decisions(const configuration::service& service,
                                                  const routing::deadline_budget& deadline,
                                                  base::error& reason);

    /// Chooses a replica for a command; the calling code reports the attempt with begin() and
    /// finish().
    const configuration::replica* choose(const configuration::shard& shard,
                                         const std::vector<std::string>& tried,
                                         base::error& reason);
    void begin(const configuration::replica& target);
    void finish(const configuration::replica& target, const query::sub_reply& reply,
                base::duration elapsed);

private:
    friend class query_decisions;

    std::shared_ptr<service_policy> find_service(const configuration::service& service);

    const steady_clock& m_clock;
    view_holder& m_views;
    routing::replica_tracker<steady_clock> m_tracker;
    routing::replica_selector<steady_clock> m_selector;
    routing::connection_share<steady_clock> m_share;
    const std::string m_vm;
    base::sharded_map<std::string, std::shared_ptr<service_policy>> m_services;
    std::atomic<std::uint64_t> m_next_seed;
    observe::counter& m_sub_request_count;
    observe::counter& m_hedge_count;
    observe::counter& m_retry_count;
};

/// The routing decisions for one query; satisfies query::query_policy. Used on one strand.
class query_decisions
{
public:
    query_decisions(entry_policy& owner, std::shared_ptr<service_policy> service,
                    routing::idempotent_request request, routing::deadline_budget deadline,
                    std::uint64_t seed);

    const configuration::replica* choose(const configuration::shard& shard,
                                         const std::vector<std::string>& tried,
                                         base::error& reason);
    void begin(const configuration::replica& target, query::attempt_kind kind);
    void finish(const configuration::replica& target, query::attempt_kind kind,
                const query::sub_reply& reply, base::duration elapsed, bool is_sample);
    std::optional<base::duration> hedge_delay(base::time_point sent_at, std::uint32_t hedge_count);
    bool allow_hedge(const configuration::shard& shard, const std::vector<std::string>& tried,
                     base::time_point sent_at, std::uint32_t hedge_count);
    /// Records that the service is at its capacity, which suspends hedges for a short time.
    void record_overload();
    bool allow_retry(const configuration::shard& shard, const std::vector<std::string>& tried,
                     const query::sub_reply& reply);

private:
    routing::hedge_context make_hedge_context(base::time_point sent_at,
                                              std::uint32_t hedge_count) const;

    entry_policy* m_owner;
    std::shared_ptr<service_policy> m_service;
    routing::idempotent_request m_request;
    routing::deadline_budget m_deadline;
    base::request_random m_random;
};

} // namespace ospreystair::entry

#endif
