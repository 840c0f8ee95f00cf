// Event log of one process: writes events to standard error and keeps the most recent ones in a
// ring buffer, which the timeline program reads.

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
/// Parses a value of the setting --log-level; fails with invalid_settings.
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

/// One event of a process.
struct event
{
    std::uint64_t sequence = 0;
    stamp timestamp;
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

    /// Records an event; an event below the threshold is stored in the ring buffer only.
    void write(log_level level, std::string_view name, std::string_view request_id,
               std::initializer_list<field> fields = {});

    /// Changes the lowest level that is written to standard error.
    void set_threshold(log_level threshold) { m_threshold.store(threshold); }

    /// Returns the events of the ring buffer with a sequence number above `sequence` as a JSON
    /// document.
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
    // Guarded by m_mutex. At most ring_capacity events, in ascending order of their sequence
    // numbers.
    std::deque<event> m_ring;
    std::uint64_t m_last_sequence = 0;
};

} // namespace ospreystair::observe

#endif
