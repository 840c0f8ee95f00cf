// Metrics of one process: counters, gauges and latency histograms (Boost.Histogram), written in the
// text exposition format.

#ifndef OSPREYSTAIR_OBSERVE_METRICS_HPP
#define OSPREYSTAIR_OBSERVE_METRICS_HPP

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace ospreystair::observe
{

/// A value that only increases. Thread-safe.
class counter
{
public:
    void add(std::uint64_t amount = 1) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value{0};
};

/// A value that can increase and decrease. Thread-safe.
class gauge
{
public:
    void set(std::int64_t value) { m_value.store(value, std::memory_order_relaxed); }
    void add(std::int64_t amount) { m_value.fetch_add(amount, std::memory_order_relaxed); }
    std::int64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::int64_t> m_value{0};
};

/// Distribution of durations between 0.05 ms and 100 s on a logarithmic axis. Thread-safe: threads
/// record into different stripes, each under its own lock.
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();

    void record(std::chrono::nanoseconds value);
    std::uint64_t count() const;
    /// Returns an upper bound of the given quantile (0 to 1), or zero when nothing was recorded.
    std::chrono::nanoseconds quantile(double fraction) const;
    /// Appends buckets, sum and count in the text exposition format, in seconds.
    void append_text(std::string& text, const std::string& name) const;

private:
    struct stripe;
    static constexpr std::size_t stripe_count = 8;
    std::array<std::unique_ptr<stripe>, stripe_count> m_stripes;
};

/// All metrics of a process by name; a metric is created when it is first looked up. References
/// stay valid as long as this object. Thread-safe. A name may contain labels:
/// `ospreystair_refusals_total{kind="overloaded"}`.
class metrics
{
public:
    metrics();
    ~metrics();

    counter& find_counter(const std::string& name);
    gauge& find_gauge(const std::string& name);
    latency_histogram& find_histogram(const std::string& name);
    std::string to_text() const;

private:
    mutable std::mutex m_mutex;
    // Guarded by m_mutex; the metrics themselves are not.
    std::map<std::string, std::unique_ptr<counter>> m_counters;
    std::map<std::string, std::unique_ptr<gauge>> m_gauges;
    std::map<std::string, std::unique_ptr<latency_histogram>> m_histograms;
};

} // namespace ospreystair::observe

#endif
