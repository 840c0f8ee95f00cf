// Adapts the routing package to queries and commands.

#include "programs/entry/entry_policy.hpp"

#include <utility>

namespace ospreystair::entry
{

namespace
{

// No hedges are sent for this long after a replica of the service shed a request or a query waited
// for admission: more load would take slots from waiting queries.
constexpr std::chrono::milliseconds hedge_pause_after_overload{100};

// The minimum time in which another replica can answer.
constexpr std::chrono::milliseconds min_retry_time{1};

// Whether a failure is unrelated to load: the replica is unreachable or doesn't serve the requested
// shard and version. The retry budget prevents retries from amplifying an overload; after these
// failures it would only lose shards that another replica can answer. Each replica is tried at most
// once, which bounds these retries.
bool is_exempt_from_retry_budget(query::sub_result result)
{
    switch (result)
    {
    case query::sub_result::unreachable:
    case query::sub_result::version_not_held:
    case query::sub_result::wrong_version:
    case query::sub_result::wrong_shard:
        return true;
    default:
        return false;
    }
}

base::error_kind to_error_kind(const query::sub_reply& reply)
{
    switch (reply.result)
    {
    case query::sub_result::answered:
        return base::error_kind::none;
    case query::sub_result::timeout:
        return base::error_kind::timeout;
    case query::sub_result::unreachable:
    case query::sub_result::no_replica:
        return base::error_kind::unreachable;
    case query::sub_result::overloaded:
        return base::error_kind::overloaded;
    case query::sub_result::version_not_held:
    case query::sub_result::wrong_version:
        return base::error_kind::version_not_held;
    case query::sub_result::wrong_shard:
        return base::error_kind::not_found;
    case query::sub_result::mismatched:
    case query::sub_result::failed:
        return base::error_kind::protocol;
    case query::sub_result::cancelled:
        return base::error_kind::cancelled;
    }
    return base::error_kind::internal;
}

} // namespace

entry_policy::entry_policy(const steady_clock& clock, view_holder& views, observe::metrics& metrics,
                           const base::process_identity& identity, std::uint64_t seed)
    : m_clock(clock), m_views(views), m_tracker(clock), m_selector(m_tracker, identity.data_centre),
      m_share(clock, identity.vm), m_vm(identity.vm), m_next_seed(seed),
      m_sub_request_count(metrics.find_counter("ospreystair_sub_requests_total")),
      m_hedge_count(metrics.find_counter("ospreystair_hedges_total")),
      m_retry_count(metrics.find_counter("ospreystair_retries_total"))
{
}

void entry_policy::apply(const configuration::view& view)
{
    std::vector<std::string> live_vms;
    for (const configuration::member& item : view.members)
        if (item.is_live())
            live_vms.push_back(item.vm);
    m_tracker.set_fleet_position(routing::find_fleet_position(m_vm, live_vms, base::unix_epoch()));
    m_share.update(std::move(live_vms));
    m_tracker.update(view.configuration, view.draining);
}

std::size_t entry_policy::connection_limit(const configuration::replica& target) const
{
    return m_share.connection_limit(target);
}

std::optional<query_decisions>
entry_policy::make_decisions(const configuration::service& service,
                             const routing::deadline_budget& deadline, base::error& reason)
{
    const auto request = routing::idempotent_request::create(service, reason);
    if (!request)
        return std::nullopt;
    return query_decisions(*this, find_service(service), *request, deadline,
                           base::mix_bits(m_next_seed.fetch_add(1)));
}

std::shared_ptr<service_policy> entry_policy::find_service(const configuration::service& service)
{
    const auto make = [&]
    {
        return std::make_shared<service_policy>(m_clock, service);
    };
    return m_services.update(service.name, make,
                             [&](std::shared_ptr<service_policy>& known)
                             {
                                 if (known->hedge_percent != service.hedge_percent ||
                                     known->retry_percent != service.retry_percent)
                                     known = make();
                                 return known;
                             });
}

const configuration::replica* entry_policy::choose(const configuration::shard& shard,
                                                   const std::vector<std::string>& tried,
                                                   base::error& reason)
{
    base::request_random random(m_next_seed.fetch_add(1));
    return m_selector.choose(shard, tried, random, reason);
}

void entry_policy::begin(const configuration::replica& target)
{
    m_sub_request_count.add();
    m_tracker.begin(target.name);
}

void entry_policy::finish(const configuration::replica& target, const query::sub_reply& reply,
                          base::duration elapsed)
{
    m_tracker.finish(target.name, to_error_kind(reply), elapsed);
    if (reply.is_complete)
        m_tracker.record_request_limit(target.name, reply.request_limit);
    if (!reply.is_draining)
        return;
    m_tracker.mark_draining(target.name);
    m_views.mark_draining(target.name, m_clock.now());
}

query_decisions::query_decisions(entry_policy& owner, std::shared_ptr<service_policy> service,
                                 routing::idempotent_request request,
                                 routing::deadline_budget deadline, std::uint64_t seed)
    : m_owner(&owner), m_service(std::move(service)), m_request(request), m_deadline(deadline),
      m_random(seed)
{
}

const configuration::replica* query_decisions::choose(const configuration::shard& shard,
                                                      const std::vector<std::string>& tried,
                                                      base::error& reason)
{
    return m_owner->m_selector.choose(shard, tried, m_random, reason);
}

void query_decisions::begin(const configuration::replica& target, query::attempt_kind kind)
{
    m_owner->begin(target);
    switch (kind)
    {
    case query::attempt_kind::first:
        m_service->hedges.record_request();
        m_service->retries.record_request();
        break;
    case query::attempt_kind::retry:
        m_owner->m_retry_count.add();
        break;
    case query::attempt_kind::hedge:
        m_owner->m_hedge_count.add();
        break;
    }
}

void query_decisions::finish(const configuration::replica& target, query::attempt_kind kind,
                             const query::sub_reply& reply, base::duration elapsed, bool is_sample)
{
    m_owner->finish(target, reply, elapsed);
    if (kind == query::attempt_kind::first && is_sample)
        m_service->hedges.record_latency(elapsed);
    if (reply.result == query::sub_result::overloaded)
        record_overload();
}

routing::hedge_context query_decisions::make_hedge_context(base::time_point sent_at,
                                                           std::uint32_t hedge_count) const
{
    const base::duration since_overload =
        m_owner->m_clock.now().time_since_epoch() - base::duration{m_service->last_overload.load()};
    return {m_deadline, sent_at, hedge_count, since_overload < hedge_pause_after_overload, true};
}

std::optional<base::duration> query_decisions::hedge_delay(base::time_point sent_at,
                                                           std::uint32_t hedge_count)
{
    return m_service->hedges.next_delay(m_request, make_hedge_context(sent_at, hedge_count));
}

bool query_decisions::allow_hedge(const configuration::shard& shard,
                                  const std::vector<std::string>& tried, base::time_point sent_at,
                                  std::uint32_t hedge_count)
{
    routing::hedge_context context = make_hedge_context(sent_at, hedge_count);
    context.has_other_replica = m_owner->m_selector.has_usable_replica(shard, tried);
    base::error ignored;
    return m_service->hedges.try_hedge(m_request, context, ignored);
}

void query_decisions::record_overload()
{
    m_service->last_overload.store(m_owner->m_clock.now().time_since_epoch().count());
}

bool query_decisions::allow_retry(const configuration::shard& shard,
                                  const std::vector<std::string>& tried,
                                  const query::sub_reply& reply)
{
    if (is_exempt_from_retry_budget(reply.result))
        return m_deadline.remaining(m_owner->m_clock.now()) > min_retry_time &&
               m_owner->m_selector.has_usable_replica(shard, tried);
    base::error ignored;
    const base::duration expected =
        m_service->hedges.latency_estimate().value_or(base::duration::zero());
    // The budget bounds the extra load on upstreams, and a refused connection puts none on them.
    // When a replica of every shard stops at once, the budget alone would leave shards unanswered
    // until all of these replicas are ejected. Each query tries a replica at most once.
    if (reply.is_unsent && m_deadline.remaining(m_owner->m_clock.now()) > expected)
        return m_owner->m_selector.has_usable_replica(shard, tried);
    return m_service->retries.try_retry(m_request, to_error_kind(reply), m_deadline, expected,
                                        m_owner->m_selector.has_usable_replica(shard, tried),
                                        ignored);
}

} // namespace ospreystair::entry
