// Log lines as JSON on standard output, with a bounded volume and without ever blocking.

#ifndef OSPREYSTAIR_OBSERVE_JSON_LOG_HPP
#define OSPREYSTAIR_OBSERVE_JSON_LOG_HPP

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include <fmt/format.h>

#include "base/clock.hpp"
#include "observe/event_log.hpp"

namespace ospreystair::observe
{

/// One member of a log line. Numbers and truth values are written as such.
struct json_field
{
    json_field(std::string_view field_name, std::string_view text);
    json_field(std::string_view field_name, const char* text)
        : json_field(field_name, std::string_view(text))
    {
    }
    json_field(std::string_view field_name, const std::string& text)
        : json_field(field_name, std::string_view(text))
    {
    }
    json_field(std::string_view field_name, bool value)
        : name(field_name), json(value ? "true" : "false")
    {
    }
    template<class Number>
    requires std::is_arithmetic_v<Number> json_field(std::string_view field_name, Number value)
        : name(field_name), json(fmt::format("{}", value))
    {
    }
    /// Written in milliseconds; the name should end in `_ms`.
    json_field(std::string_view field_name, base::duration value);

    std::string_view name;
    std::string json;
};

/// Not thread-safe. Lines beyond the rate, and lines that the reader of the output does not take in
/// time, are dropped; the next line that is written says how many.
class json_log
{
public:
    struct settings
    {
        /// Lines a second for `info` and below, and for `warning` and above. A line costs some 10
        /// microseconds of processor time: 0.3% of a core at both bounds.
        double ordinary_per_second = 60;
        double failures_per_second = 240;
        /// Lines may come this many seconds ahead of their rate.
        double burst_seconds = 2;
        /// Lines that wait for the reader.
        std::size_t most_pending_bytes = 64U << 10U;
        /// Lines are handed over together, once this much waits or by `flush`.
        std::size_t batch_bytes = 2U << 10U;
    };

    json_log(int descriptor, std::string vm, std::string data_centre, settings values,
             log_level threshold);

    void write(base::time_point now, log_level level, std::string_view event,
               std::initializer_list<json_field> fields);

    /// Hands pending lines to the output as far as it takes them at once.
    void flush();

    std::uint64_t dropped() const { return m_dropped_total; }

private:
    struct allowance
    {
        double tokens = 0;
        base::time_point filled_at{};
        bool is_started = false;
    };

    bool take(allowance& source, double rate, base::time_point now) const;

    const int m_descriptor;
    const std::string m_vm;
    const std::string m_data_centre;
    const settings m_settings;
    const log_level m_threshold;
    allowance m_ordinary;
    allowance m_failures;
    std::string m_pending;
    std::uint64_t m_dropped_since_line = 0;
    std::uint64_t m_dropped_total = 0;
};

} // namespace ospreystair::observe

#endif
