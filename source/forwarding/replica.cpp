// Passive health checks and latency estimates of a replica, from its replies.
//
// Failures to detect: replicas pause briefly, are slow for seconds, fail part of their requests
// while their health endpoint reports success, stop answering, or crash. In each case a replica
// must get no new requests after one overdue reply, and get them again within one or two seconds of
// recovery.

#include "forwarding/replica.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace ospreystair::forwarding
{

namespace
{

using std::chrono::milliseconds;

// Weight of a new sample in the moving average: three to four replies replace the old value.
constexpr double latency_ratio_weight = 0.3;
// Slow phases last 5 to 10 s: a replica that was slow gets requests again after a few seconds.
constexpr double latency_ratio_half_life_s = 4.0;
// Cost of a failed attempt until another replica has answered, in median latencies.
constexpr double failure_cost = 4.0;
// Cost of a refused attempt, in median latencies: the refusal comes at once, but each repeat uses
// up the budget that all VMs share.
constexpr double refusal_cost = 3.0;
constexpr double max_log_latency_ratio = 3.0;
constexpr double min_log_latency_ratio = -1.0;
constexpr milliseconds initial_refusal_backoff{20};
constexpr milliseconds initial_silence_backoff{150};
constexpr milliseconds max_backoff{1'000};
constexpr milliseconds initial_reconnect_backoff{100};
constexpr milliseconds max_reconnect_backoff{1'500};
constexpr unsigned max_doublings = 4;

double to_seconds(base::duration value)
{
    return std::chrono::duration<double>(value).count();
}

double decay(base::duration age, double half_life_s)
{
    return std::exp2(-std::max(0.0, to_seconds(age)) / half_life_s);
}

base::duration scale(base::duration value, double factor)
{
    return std::chrono::duration_cast<base::duration>(value * factor);
}

base::duration exponential_backoff(base::duration initial, unsigned doublings, base::duration limit)
{
    return std::min(limit, initial * (1U << std::min(doublings, max_doublings)));
}

} // namespace

replica::replica(registration registry_entry, base::time_point now) : m_last_contact(now)
{
    update(std::move(registry_entry), now);
}

void replica::update(registration registry_entry, base::time_point now)
{
    const bool was_draining = m_registry_entry.is_draining;
    // An entry that is read again says nothing new.
    const bool is_news = m_registry_entry != registry_entry;
    m_registry_entry = std::move(registry_entry);
    // A replica that drains stops; an entry that says otherwise is older.
    m_registry_entry.is_draining = m_registry_entry.is_draining || was_draining;
    if (is_news)
        record_warm_up(m_registry_entry.warm_up_left, now);
    m_is_listed = true;
    m_is_unconfirmed = false;
}

void replica::record_warm_up(std::chrono::milliseconds left, base::time_point now)
{
    if (left > left.zero() && !is_cold(now))
        m_pace.restart(now);
    m_warm_up_end = now + left;
}

void replica::record_sent(base::time_point sent_at)
{
    m_outstanding.push_back(sent_at);
    if (m_rate_share)
        m_rate_share->record_request(sent_at);
    if (m_warm_up_share && is_cold(sent_at))
        m_warm_up_share->record_request(sent_at);
    if (!m_silent_since)
        m_silent_since = sent_at;
}

void replica::remove_outstanding(base::time_point sent_at)
{
    const auto found = std::find(m_outstanding.begin(), m_outstanding.end(), sent_at);
    if (found != m_outstanding.end())
        m_outstanding.erase(found);
}

void replica::record_reply(base::time_point sent_at, base::time_point now,
                           const latency_baseline& baseline, bool is_failure)
{
    remove_outstanding(sent_at);
    m_last_contact = now;
    const bool was_silent =
        m_silent_since &&
        now - *m_silent_since > std::max<base::duration>(max_pause, baseline.overdue_after);
    if (was_silent)
        m_pace.restart(now);
    m_silent_since = m_outstanding.empty() ? std::nullopt : std::optional(now);
    m_failure_rate.record(is_failure, now);
    m_refusal_rate.record(false, now);
    if (is_failure)
        return;
    m_is_reopening = now < m_closed_until;
    m_backoff_count = 0;
    m_avoid_until = now;
    // The answer after a silence says how long it was, not how fast the replica is now.
    if (!was_silent)
        m_pace.record_answer(now - sent_at > baseline.overdue_after, now);
    update_latency_ratio(now - sent_at, now, baseline);
}

void replica::update_latency_ratio(base::duration latency, base::time_point now,
                                   const latency_baseline& baseline)
{
    const double ratio = to_seconds(latency) / std::max(1e-6, to_seconds(baseline.median));
    const double sample =
        std::clamp(std::log(std::max(1e-6, ratio)), min_log_latency_ratio, max_log_latency_ratio);
    const double current = std::log(latency_ratio(now));
    m_log_latency_ratio = current + latency_ratio_weight * (sample - current);
    m_latency_ratio_at = now;
}

void replica::record_refusal(base::time_point sent_at, base::time_point now)
{
    remove_outstanding(sent_at);
    m_last_contact = now;
    m_silent_since = m_outstanding.empty() ? std::nullopt : std::optional(now);
    m_refusal_rate.record(true, now);
    m_pace.record_refusal(now);
    back_off(now, initial_refusal_backoff);
}

void replica::record_closed(base::time_point end)
{
    m_closed_until = std::max(m_closed_until, end);
    m_is_reopening = true;
}

void replica::record_request_limit(double requests_per_second,
                                   const routing::fleet_position& position, base::time_point now)
{
    if (m_rate_share)
        m_rate_share->update(requests_per_second, position, now);
    else
        m_rate_share.emplace(requests_per_second, position, now);
}

void replica::set_warm_up_limit(const std::optional<routing::rate_limit>& limit,
                                const routing::fleet_position& position, base::time_point now)
{
    if (!limit)
        m_warm_up_share.reset();
    else if (m_warm_up_share)
        m_warm_up_share->update(*limit, position, now);
    else
        m_warm_up_share.emplace(*limit, position, now);
}

base::time_point replica::reopens_at(base::time_point now) const
{
    base::time_point result = m_closed_until;
    if (m_rate_share)
        result = std::max(result, m_rate_share->next(now));
    if (m_warm_up_share && is_cold(now))
        result = std::max(result, std::min(m_warm_up_end, m_warm_up_share->next(now)));
    return result;
}

void replica::record_connection_loss(base::time_point sent_at, base::time_point now)
{
    remove_outstanding(sent_at);
    m_last_failure = std::max(m_last_failure, sent_at);
    m_failure_rate.record(true, now);
}

void replica::record_abandoned(base::time_point sent_at, base::time_point now,
                               const latency_baseline& baseline)
{
    remove_outstanding(sent_at);
    // The replica has replied since, so only this request was slow.
    if (m_last_contact > sent_at)
        return;
    m_last_failure = std::max(m_last_failure, sent_at);
    back_off(now, initial_silence_backoff);
    // With many VMs, each sends a request to a given replica only every few seconds, which is after
    // the end of the backoff: the latency ratio keeps the replica avoided for longer.
    update_latency_ratio(now - sent_at, now, baseline);
}

void replica::record_load(const load_report& report, base::time_point now)
{
    m_load = report;
    m_load_at = now;
    m_pace.record_load(report.running, report.waiting, std::max(1U, m_registry_entry.slots), now);
}

void replica::record_connect_failure(base::time_point now)
{
    m_reconnect_at = now + exponential_backoff(initial_reconnect_backoff, m_connect_failures,
                                               max_reconnect_backoff);
    ++m_connect_failures;
    m_last_failure = now;
}

void replica::back_off(base::time_point now, base::duration initial)
{
    m_avoid_until = now + exponential_backoff(initial, m_backoff_count, max_backoff);
    ++m_backoff_count;
}

bool replica::is_suspect(base::time_point now, const latency_baseline& baseline) const
{
    if (now < m_avoid_until || is_unreachable() || m_is_unconfirmed)
        return true;
    return m_silent_since && !m_outstanding.empty() &&
           now - *m_silent_since > baseline.overdue_after;
}

bool replica::is_down(base::time_point now) const
{
    if (is_unreachable() || m_is_replaced)
        return true;
    const bool is_silent = m_silent_since && now - *m_silent_since > max_pause;
    return is_silent && (!m_outstanding.empty() || now < m_avoid_until);
}

double replica::latency_ratio(base::time_point now) const
{
    return std::exp(m_log_latency_ratio *
                    decay(now - m_latency_ratio_at, latency_ratio_half_life_s));
}

double replica::requests_ahead(base::time_point now, const latency_baseline& baseline) const
{
    const auto own_requests = static_cast<double>(m_outstanding.size());
    if (!m_load_at)
        return own_requests;
    // The reported requests are complete after about two median latencies.
    const double load_weight =
        decay(now - *m_load_at, 2 * std::max(1e-3, to_seconds(baseline.median)));
    return std::max(own_requests,
                    load_weight * static_cast<double>(m_load.running + m_load.waiting));
}

base::duration replica::expected_time(base::time_point now, const latency_baseline& baseline) const
{
    const double slots = std::max<double>(1, m_registry_entry.slots);
    const double ahead = requests_ahead(now, baseline);
    const double waiting = std::max(0.0, ahead - slots + 1) / slots;
    // Concurrent requests slow each other down slightly even while slots are free.
    constexpr double concurrency_cost = 0.15;
    double factor =
        latency_ratio(now) * (1 + waiting + concurrency_cost * std::min(ahead, slots) / slots);
    if (m_load_at && now - *m_load_at < max_pause)
        factor *= std::max(1.0, m_load.slowdown);
    factor += failure_cost * m_failure_rate.value(now) + refusal_cost * m_refusal_rate.value(now);
    return scale(baseline.median, factor);
}

} // namespace ospreystair::forwarding
