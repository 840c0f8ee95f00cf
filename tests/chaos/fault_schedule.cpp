// Generates random faults and drops those that conflict with another fault.

#include "tests/chaos/fault_schedule.hpp"

#include <algorithm>
#include <array>

#include <fmt/format.h>

#include "base/random.hpp"

namespace ospreystair::chaos
{

namespace
{

using std::chrono::milliseconds;

constexpr std::array<std::string_view, 21> kind_names{
    "kill_entry",         "kill_agent",     "freeze_entry",    "freeze_agent",
    "cut_route",          "delay_route",    "platform_outage", "slow_platform",
    "lose_write_answers", "publish_index",  "repartition",     "upstream_fault",
    "drain_upstream",     "race_operators", "lose_replicas",   "limit_replica",
    "endless_replies",    "signal_series",  "deadly_requests", "crash_replicas",
    "stuttering_replicas"};
// The kinds before drain_upstream and race_operators, which are scheduled separately.
constexpr std::size_t random_kind_count = 12;
constexpr milliseconds min_gap{150};
constexpr milliseconds max_gap{700};
constexpr milliseconds min_length{300};
constexpr milliseconds max_length{2500};
constexpr milliseconds drain_length{4500};
constexpr milliseconds drain_interval{20'000};
// Time for processes that are restarted before a drain to become ready.
constexpr milliseconds drain_margin{1500};
constexpr milliseconds operator_interval{2500};
// Each race makes two changes, and the configuration's history has space for 32.
constexpr std::size_t max_operator_races = 14;
constexpr milliseconds initial_delay{300};

bool is_process_fault(fault_kind kind)
{
    return kind == fault_kind::kill_entry || kind == fault_kind::kill_agent ||
           kind == fault_kind::freeze_entry || kind == fault_kind::freeze_agent;
}
bool is_route_fault(fault_kind kind)
{
    return kind == fault_kind::cut_route || kind == fault_kind::delay_route;
}
bool has_replica_target(fault_kind kind)
{
    return is_route_fault(kind) || kind == fault_kind::upstream_fault;
}
bool is_index_change(fault_kind kind)
{
    return kind == fault_kind::publish_index || kind == fault_kind::repartition;
}
bool is_entry_fault(fault_kind kind)
{
    return kind == fault_kind::kill_entry || kind == fault_kind::freeze_entry;
}
bool is_platform_fault(fault_kind kind)
{
    return kind == fault_kind::platform_outage || kind == fault_kind::slow_platform;
}

// Whether two faults would affect the same process, route or setting at the same time.
bool conflicts(const scheduled_fault& left, const scheduled_fault& right)
{
    if (left.kind == fault_kind::race_operators || right.kind == fault_kind::race_operators)
        return false;
    const bool has_drain =
        left.kind == fault_kind::drain_upstream || right.kind == fault_kind::drain_upstream;
    const milliseconds margin = has_drain ? drain_margin : milliseconds{0};
    if (left.end() + margin <= right.start || right.end() + margin <= left.start)
        return false;
    if (has_drain)
    {
        const scheduled_fault& other = left.kind == fault_kind::drain_upstream ? right : left;
        return is_process_fault(other.kind) ||
               (is_route_fault(other.kind) && left.target == right.target);
    }
    if (is_process_fault(left.kind) && is_process_fault(right.kind))
        return left.target == right.target &&
               is_entry_fault(left.kind) == is_entry_fault(right.kind);
    if (is_route_fault(left.kind) && is_route_fault(right.kind))
        return left.target == right.target;
    if (left.kind == fault_kind::upstream_fault && right.kind == fault_kind::upstream_fault)
        return left.target == right.target;
    // An index is published by a write to the platform, which has to answer.
    const auto uses_platform = [](fault_kind kind)
    {
        return is_platform_fault(kind) || is_index_change(kind);
    };
    if (uses_platform(left.kind) && uses_platform(right.kind))
        return true;
    return left.kind == fault_kind::lose_write_answers && left.kind == right.kind;
}

class schedule_builder
{
public:
    schedule_builder(std::uint64_t seed, milliseconds duration, const schedule_options& options)
        : m_random(seed), m_duration(duration), m_options(options)
    {
    }

    std::vector<scheduled_fault> build()
    {
        add_drains();
        add_operator_races();
        for (milliseconds now = initial_delay; now < m_duration;
             now += m_options.pause_factor * random_between(min_gap, max_gap))
        {
            add_random_fault(now);
            // One fault in three is followed by another with the same start.
            constexpr std::uint64_t faults_per_pair = 3;
            if (m_random.below(faults_per_pair) == 0)
                add_random_fault(now);
        }
        std::stable_sort(m_faults.begin(), m_faults.end(),
                         [](const auto& left, const auto& right)
                         { return left.start < right.start; });
        return std::move(m_faults);
    }

private:
    milliseconds random_between(milliseconds low, milliseconds high)
    {
        return low + milliseconds(static_cast<std::int64_t>(
                         m_random.below(static_cast<std::uint64_t>((high - low).count()) + 1)));
    }

    void add_drains()
    {
        for (milliseconds from{0}; from < m_duration; from += drain_interval)
        {
            const milliseconds max_offset =
                std::min(drain_interval, m_duration - from) - drain_length - initial_delay;
            if (max_offset.count() <= 0)
                return;
            m_faults.emplace_back(
                scheduled_fault{from + initial_delay + random_between(milliseconds{0}, max_offset),
                                drain_length, fault_kind::drain_upstream,
                                static_cast<std::size_t>(m_random.below(m_options.replicas)), 0});
        }
    }

    void add_operator_races()
    {
        milliseconds now = initial_delay;
        for (std::size_t count = 0; count < max_operator_races && now < m_duration; ++count)
        {
            m_faults.emplace_back(
                scheduled_fault{now, milliseconds{0}, fault_kind::race_operators,
                                static_cast<std::size_t>(m_random.below(m_options.vms)),
                                1 + m_random.below(m_options.vms - 1)});
            now += random_between(operator_interval / 2, operator_interval);
        }
    }

    void add_random_fault(milliseconds start)
    {
        scheduled_fault value;
        value.start = start;
        value.length = random_between(min_length, max_length);
        value.kind = static_cast<fault_kind>(m_random.below(random_kind_count));
        value.target = static_cast<std::size_t>(
            m_random.below(has_replica_target(value.kind) ? m_options.replicas : m_options.vms));
        constexpr std::uint64_t variant_range = 1000;
        value.variant = m_random.below(variant_range);
        if (std::none_of(m_faults.begin(), m_faults.end(),
                         [&](const auto& other) { return conflicts(value, other); }))
            m_faults.push_back(value);
    }

    base::seeded_random m_random;
    const milliseconds m_duration;
    const schedule_options m_options;
    std::vector<scheduled_fault> m_faults;
};

} // namespace

std::vector<scheduled_fault> make_schedule(std::uint64_t seed, milliseconds duration,
                                           const schedule_options& options)
{
    return schedule_builder(seed, duration, options).build();
}

std::vector<scheduled_fault> make_fleet_schedule(std::uint64_t seed, milliseconds duration,
                                                 const schedule_options& options)
{
    constexpr milliseconds min_long_length{6'000};
    constexpr milliseconds max_long_length{9'500};
    constexpr milliseconds max_pause{5'000};
    // New kinds come last: the faults of the others stay the same.
    constexpr std::array kinds{fault_kind::lose_replicas,      fault_kind::limit_replica,
                               fault_kind::endless_replies,    fault_kind::signal_series,
                               fault_kind::deadly_requests,    fault_kind::crash_replicas,
                               fault_kind::stuttering_replicas};
    // A stream of its own, so that make_schedule gives the same faults with and without this one.
    base::seeded_random random(base::mix_bits(seed));
    const auto random_between = [&random](milliseconds low, milliseconds high)
    {
        return low + milliseconds(static_cast<std::int64_t>(
                         random.below(static_cast<std::uint64_t>((high - low).count()) + 1)));
    };
    std::vector<scheduled_fault> result;
    for (const fault_kind kind : kinds)
        for (milliseconds from = random_between(initial_delay, max_pause); from < duration;)
        {
            scheduled_fault fault;
            fault.kind = kind;
            fault.start = from;
            fault.length =
                std::min(random_between(min_long_length, max_long_length), duration - from);
            fault.target = random.below(options.replicas);
            fault.variant = random.below(1'000);
            result.push_back(fault);
            from = fault.end() + random_between(milliseconds{500}, max_pause);
        }
    return result;
}

std::string_view to_string(fault_kind kind)
{
    return kind_names.at(static_cast<std::size_t>(kind));
}

std::string to_text(const scheduled_fault& value)
{
    return fmt::format("{:>6} ms to {:>6} ms {} target={} variant={}", value.start.count(),
                       value.end().count(), to_string(value.kind), value.target, value.variant);
}

} // namespace ospreystair::chaos
