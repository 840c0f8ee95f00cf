// Non-blocking, rate-limited log of JSON lines.

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

/// One JSON member of a log line. Numbers and booleans are written as JSON numbers and booleans.
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
    /// Writes the duration in milliseconds; the name should end in `_ms`.
    json_field(std::string_view field_name, base::duration value);

    std::string_view name;
    std::string json;
};

/// Not thread-safe. Lines beyond the rate, and lines that exceed the buffer because the output is
/// not read fast enough, are dropped; the next line that is written contains their number.
class json_log
{
public:
    struct settings
    {
        /// Maximum lines per second for `info` and below, and for `warning` and above. A line takes
        /// about 10 microseconds of processor time: 0.3% of a core at both limits.
        double info_lines_per_second = 60;
        double warning_lines_per_second = 240;
        /// Size of a burst, in seconds of the permitted rate.
        double burst_seconds = 2;
        /// Limit of the lines that wait until the output accepts them.
        std::size_t max_pending_bytes = 64U << 10U;
        /// Pending lines are written together, once they have this size or by `flush`.
        std::size_t batch_bytes = 2U << 10U;
    };

    json_log(int descriptor, std::string vm, std::string data_centre, settings values,
             log_level threshold);

    void write(base::time_point now, log_level level, std::string_view event,
               std::initializer_list<json_field> fields);

    /// Writes pending lines as far as the output accepts them without blocking.
    void flush();

    std::uint64_t dropped() const { return m_dropped_total; }

private:
    struct token_bucket
    {
        double tokens = 0;
        base::time_point refilled_at{};
        bool is_initialised = false;
    };

    bool take_token(token_bucket& bucket, double rate, base::time_point now) const;

    const int m_descriptor;
    const std::string m_vm;
    const std::string m_data_centre;
    const settings m_settings;
    const log_level m_threshold;
    token_bucket m_info_bucket;
    token_bucket m_warning_bucket;
    std::string m_pending;
    std::uint64_t m_dropped_since_last_line = 0;
    std::uint64_t m_dropped_total = 0;
};

} // namespace ospreystair::observe

#endif
