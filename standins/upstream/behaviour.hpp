// Behaviour of a replica: limits, service times, index versions, draining and faults. All of it can
// be changed at run time by a JSON document on the control port:
//
//     POST /control {"replicas":["a","b"] or "all","reset_counts":true,"set":{
//       "slots":2,"queue":16,"connections":25,"connect_ms":6,
//       "base_ms":2.5,"straggler_probability":0.01,"straggler_factor":10,
//       "cold_start_ms":3000,"cold_start_factor":5,     cold start from now on, for that time
//       "draining":true,"drain_refuse_after_ms":2000,   X-Draining at once, refusals later
//       "shed_probability":0.5,"retry_after_s":1,"request_limit":20,
//       "health":"auto"|"ok"|"failing","load":{…}|null, reported by GET /health and /load
//       "versions":{"7":["s0"],"8":["s0a"]},            replaces all versions
//       "publish":{"version":8,"shards":["s0a"]},"drop":[7],
//       "ignore_cancellation":true,                     continues after the connection is closed
//       "repeat_replies":true,                          each reply again after the next request
//       "frozen":true,                                  false also ends the faults "freeze"
//       "faults":[{"kind":"<fault_kind>","probability":1,"count":3,"only":"search"|"command",
//                  "delay_ms":500,"version":9}]}}       replaces all faults

#ifndef OSPREYSTAIR_STANDINS_UPSTREAM_BEHAVIOUR_HPP
#define OSPREYSTAIR_STANDINS_UPSTREAM_BEHAVIOUR_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <json/json.h>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "base/random.hpp"
#include "standins/upstream/replica_settings.hpp"

namespace ospreystair::standin_upstream
{

enum class fault_kind
{
    error_body,    ///< 200 with an `error` member beside the result's ids.
    empty,         ///< 200 with only an `error` member, as if nothing was found.
    wrong_version, ///< Answers with `version` instead of the version asked for.
    truncate,      ///< Sends half of the body, then closes the connection.
    freeze,        ///< Reads the request and does nothing until unfrozen.
    lose_reply,    ///< Executes the request, then closes the connection without a reply.
    late,          ///< Executes the request, then waits `delay` before it replies.
    shed,          ///< 503 with Retry-After and X-Not-Run.
    internal_error ///< 500 after the execution, so that the caller cannot tell whether it ran.
};

/// Which requests a fault applies to.
enum class request_kind
{
    search,
    command
};

struct fault
{
    fault_kind kind = fault_kind::error_body;
    double probability = 1;
    /// Number of requests still to be affected; no limit when empty.
    std::optional<std::uint64_t> remaining;
    /// Applies to both kinds of request when empty.
    std::optional<request_kind> applies_to;
    std::chrono::microseconds delay{0};
    std::uint64_t version = 0;
};

/// The changeable state of one replica. Not thread-safe.
class behaviour
{
public:
    behaviour(const replica_settings& settings, base::time_point now);

    /// Applies a `set` document as a whole or not at all. Fails with invalid_argument.
    std::optional<bool> apply(const Json::Value& change, base::time_point now, base::error& reason);

    /// Returns the first fault that applies to this request and decrements its remaining count.
    template<base::random_source Random>
    std::optional<fault> next_fault(request_kind request, Random& random)
    {
        for (fault& item : m_faults)
        {
            if ((item.applies_to && *item.applies_to != request) ||
                item.remaining == std::uint64_t{0} || !happens(item.probability, random))
                continue;
            if (item.remaining)
                --*item.remaining;
            return item;
        }
        return std::nullopt;
    }

    /// Returns the service time of the next request.
    template<base::random_source Random>
    std::chrono::microseconds next_service_time(base::time_point now, Random& random) const
    {
        double time = base_ms;
        if (straggler_probability > 0 && happens(straggler_probability, random))
            time *= straggler_factor;
        if (now < m_cold_until)
            time *= cold_start_factor;
        return to_microseconds(time);
    }

    bool is_draining() const { return m_drain_start.has_value(); }
    std::optional<base::time_point> drain_start() const { return m_drain_start; }
    /// Whether new requests are refused because the replica is draining.
    bool refuses_new_requests(base::time_point now) const
    {
        return m_drain_start && now >= *m_drain_start + to_microseconds(drain_refuse_after_ms);
    }

    bool holds_version(std::uint64_t version) const { return versions.contains(version); }
    bool holds_shard(std::uint64_t version, const std::string& shard) const;
    bool holds_shard_in_any_version(const std::string& shard) const;
    /// Returns the stored versions in the form of X-Index-Versions, for example `7,8`.
    std::string versions_text() const;

    static std::chrono::microseconds to_microseconds(double milliseconds)
    {
        return std::chrono::microseconds{static_cast<std::int64_t>(milliseconds * 1000)};
    }

    std::size_t slots;
    std::size_t queue;
    std::size_t connections;
    double connect_ms;
    double base_ms;
    double straggler_probability = 0;
    double straggler_factor = 10;
    double cold_start_factor = 1;
    double drain_refuse_after_ms = 1e9;
    double shed_probability = 0;
    std::uint64_t retry_after_s = 1;
    /// Requests a second that the replica takes from all VMs together, named in each reply while
    /// set.
    std::optional<double> request_limit;
    bool ignores_cancellation = false;
    /// Whether each reply is sent a second time when the next request on its connection has
    /// arrived, in front of the reply to that request.
    bool repeats_replies = false;
    bool is_frozen = false;
    /// Overrides the state that GET /health reports, when set.
    std::optional<bool> reported_health;
    /// Overrides the document that GET /load reports, when set.
    std::optional<Json::Value> reported_load;
    /// Shards stored in each index version.
    std::map<std::uint64_t, std::set<std::string>> versions;

    /// Returns true with the given probability (0 to 1).
    template<base::random_source Random>
    static bool happens(double probability, Random& random)
    {
        constexpr std::uint64_t resolution = 1'000'000;
        return static_cast<double>(random.below(resolution)) < probability * resolution;
    }

private:
    bool apply_member(const std::string& name, const Json::Value& value, base::time_point now);
    bool apply_versions(const std::string& name, const Json::Value& value);
    bool apply_faults(const Json::Value& value);

    std::vector<fault> m_faults;
    base::time_point m_cold_until;
    std::optional<base::time_point> m_drain_start;
};

} // namespace ospreystair::standin_upstream

#endif
