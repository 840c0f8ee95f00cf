// Events of one process: a line on standard error for each, and a ring of recent ones that the
// time line program reads.

#ifndef OSPREYSTAIR_OBSERVE_EVENT_LOG_HPP
#define OSPREYSTAIR_OBSERVE_EVENT_LOG_HPP

#include <atomic>
#include <cstdint>
#include <deque>
#include <initializer_list>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>

#include "base/error.hpp"
#include "base/identifier.hpp"
#include "observe/hybrid_clock.hpp"

namespace ospreystair::observe
{

enum class log_level
{
    debug,
    info,
    warning,
    error
};

std::string_view to_string(log_level level);
/// Reads a level as the setting --log-level has it; fails with invalid_settings.
std::optional<log_level> parse_log_level(std::string_view text, base::error& reason);

/// One key=value pair of an event.
struct field
{
    template<class Value>
    field(std::string_view field_name, const Value& field_value)
        : name(field_name), value(fmt::format("{}", field_value))
    {
    }

    std::string name;
    std::string value;
};

/// One thing that happened in a process.
struct event
{
    std::uint64_t sequence = 0;
    stamp when;
    log_level level = log_level::info;
    std::string name;
    std::string request_id;
    std::vector<field> fields;
};

/// Records events. Thread-safe.
class event_log
{
public:
    static constexpr std::size_t ring_capacity = 8192;

    /// `process` is the program's role, for example "entry".
    event_log(std::string process, base::process_identity identity, log_level threshold);

    /// Records an event; events below the threshold go to the ring only.
    void write(log_level level, std::string_view name, std::string_view request_id,
               std::initializer_list<field> fields = {});

    /// Changes the lowest level that is written to standard error.
    void set_threshold(log_level threshold) { m_threshold.store(threshold); }

    /// Returns the ring's events with a sequence above `sequence` as a JSON document.
    std::string to_json(std::uint64_t sequence) const;

    hybrid_clock& clock() { return m_clock; }
    const base::process_identity& identity() const { return m_identity; }

private:
    std::string format_line(const event& entry) const;

    const std::string m_process;
    const base::process_identity m_identity;
    std::atomic<log_level> m_threshold;
    hybrid_clock m_clock;
    mutable std::mutex m_mutex;
    // Guarded by m_mutex. Holds at most ring_capacity events in rising sequence.
    std::deque<event> m_ring;
    std::uint64_t m_last_sequence = 0;
};

} // namespace ospreystair::observe

#endif
