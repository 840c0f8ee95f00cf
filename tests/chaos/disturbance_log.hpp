// When the parts of a system were disturbed. Bounds of time hold for calm parts only.

#ifndef OSPREYSTAIR_TESTS_CHAOS_DISTURBANCE_LOG_HPP
#define OSPREYSTAIR_TESTS_CHAOS_DISTURBANCE_LOG_HPP

#include <algorithm>
#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace ospreystair::chaos
{

/// Thread-safe. Disturbances of one part may overlap.
class disturbance_log
{
public:
    using time_point = std::chrono::steady_clock::time_point;

    void begin(const std::string& part, time_point at)
    {
        const std::scoped_lock lock(m_mutex);
        m_spans[part].push_back({at, time_point::max()});
    }

    /// Ends the newest disturbance of the part that has no end yet.
    void end(const std::string& part, time_point at)
    {
        const std::scoped_lock lock(m_mutex);
        std::vector<span>& spans = m_spans[part];
        const auto open =
            std::find_if(spans.rbegin(), spans.rend(),
                         [](const span& each) { return each.end == time_point::max(); });
        if (open != spans.rend())
            open->end = at;
    }

    bool is_calm(const std::string& part, time_point from, time_point to) const
    {
        const std::scoped_lock lock(m_mutex);
        const auto found = m_spans.find(part);
        return found == m_spans.end() ||
               std::none_of(found->second.begin(), found->second.end(),
                            [&](const span& each) { return each.begin <= to && each.end >= from; });
    }

private:
    struct span
    {
        time_point begin;
        time_point end;
    };

    mutable std::mutex m_mutex;
    // Guarded by m_mutex.
    std::map<std::string, std::vector<span>> m_spans;
};

} // namespace ospreystair::chaos

#endif
