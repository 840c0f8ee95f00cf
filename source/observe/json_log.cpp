// Formatting, rate limits and non-blocking output of JSON log lines.

#include "observe/json_log.hpp"

#include <algorithm>
#include <climits>
#include <utility>

#include <poll.h>
#include <unistd.h>

#include <json/json.h>

namespace ospreystair::observe
{

json_field::json_field(std::string_view field_name, std::string_view text)
    : name(field_name), json(Json::valueToQuotedString(std::string(text).c_str()))
{
}

json_field::json_field(std::string_view field_name, base::duration value)
    : name(field_name),
      json(fmt::format("{:.1f}", std::chrono::duration<double, std::milli>(value).count()))
{
}

json_log::json_log(int descriptor, std::string vm, std::string data_centre, settings values,
                   log_level threshold)
    : m_descriptor(descriptor), m_vm(std::move(vm)), m_data_centre(std::move(data_centre)),
      m_settings(values), m_threshold(threshold)
{
}

void json_log::write(base::time_point now, log_level level, std::string_view event,
                     std::initializer_list<json_field> fields)
{
    if (level < m_threshold)
        return;
    const bool is_warning_or_error = level >= log_level::warning;
    const bool is_permitted =
        is_warning_or_error ? take_token(m_warning_bucket, m_settings.warning_lines_per_second, now)
                            : take_token(m_info_bucket, m_settings.info_lines_per_second, now);
    if (!is_permitted || m_pending.size() >= m_settings.max_pending_bytes)
    {
        ++m_dropped_since_last_line;
        ++m_dropped_total;
        return flush();
    }
    const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    m_pending +=
        fmt::format(R"({{"time_ms":{},"level":"{}","event":"{}","vm":"{}","data_centre":"{}")",
                    wall.count(), to_string(level), event, m_vm, m_data_centre);
    for (const json_field& item : fields)
        m_pending += fmt::format(R"(,"{}":{})", item.name, item.json);
    if (m_dropped_since_last_line > 0)
        m_pending +=
            fmt::format(R"(,"dropped_lines":{})", std::exchange(m_dropped_since_last_line, 0));
    m_pending += "}\n";
    if (m_pending.size() >= m_settings.batch_bytes)
        flush();
}

void json_log::flush()
{
    while (!m_pending.empty())
    {
        // A pipe that is ready for output accepts PIPE_BUF bytes without blocking.
        pollfd state{m_descriptor, POLLOUT, 0};
        if (::poll(&state, 1, 0) != 1 || (state.revents & POLLOUT) == 0)
            return;
        const std::size_t size = std::min<std::size_t>(m_pending.size(), PIPE_BUF);
        const ssize_t written = ::write(m_descriptor, m_pending.data(), size);
        if (written <= 0)
            return;
        m_pending.erase(0, static_cast<std::size_t>(written));
    }
}

bool json_log::take_token(token_bucket& bucket, double rate, base::time_point now) const
{
    const double capacity = rate * m_settings.burst_seconds;
    if (!bucket.is_initialised)
        bucket.tokens = capacity;
    else
        bucket.tokens = std::min(
            capacity,
            bucket.tokens + rate * std::chrono::duration<double>(now - bucket.refilled_at).count());
    bucket.is_initialised = true;
    bucket.refilled_at = now;
    if (bucket.tokens < 1)
        return false;
    bucket.tokens -= 1;
    return true;
}

} // namespace ospreystair::observe
