// Latency histograms on Boost.Histogram, and the text exposition format.

#include "observe/metrics.hpp"

#include <functional>
#include <thread>
#include <utility>

#include <boost/histogram.hpp>
#include <fmt/format.h>

namespace ospreystair::observe
{

namespace
{

using log_axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using histogram_type = decltype(boost::histogram::make_histogram(std::declval<log_axis>()));

constexpr unsigned bucket_count = 120;
constexpr double min_seconds = 0.00005;
constexpr double max_seconds = 100;

histogram_type make_latency_histogram()
{
    return boost::histogram::make_histogram(log_axis(bucket_count, min_seconds, max_seconds));
}

std::string_view base_name(std::string_view name)
{
    return name.substr(0, name.find('{'));
}

template<class Map>
void append_values(std::string& text, const Map& values, std::string_view type)
{
    std::string_view previous;
    for (const auto& [name, value] : values)
    {
        if (base_name(name) != previous)
            text += fmt::format("# TYPE {} {}\n", base_name(name), type);
        previous = base_name(name);
        text += fmt::format("{} {}\n", name, value->value());
    }
}

} // namespace

struct latency_histogram::stripe
{
    std::mutex mutex;
    // Guarded by mutex.
    histogram_type counts = make_latency_histogram();
    double sum_seconds = 0;
};

latency_histogram::latency_histogram()
{
    for (auto& item : m_stripes)
        item = std::make_unique<stripe>();
}

latency_histogram::~latency_histogram() = default;

void latency_histogram::record(std::chrono::nanoseconds value)
{
    const double seconds = std::chrono::duration<double>(value).count();
    const std::size_t index =
        std::hash<std::thread::id>{}(std::this_thread::get_id()) % stripe_count;
    stripe& own_stripe = *m_stripes[index];
    const std::scoped_lock lock(own_stripe.mutex);
    own_stripe.counts(seconds);
    own_stripe.sum_seconds += seconds;
}

std::uint64_t latency_histogram::count() const
{
    double total = 0;
    for (const auto& item : m_stripes)
    {
        const std::scoped_lock lock(item->mutex);
        total += boost::histogram::algorithm::sum(item->counts);
    }
    return static_cast<std::uint64_t>(total);
}

std::chrono::nanoseconds latency_histogram::quantile(double fraction) const
{
    histogram_type merged = make_latency_histogram();
    for (const auto& item : m_stripes)
    {
        const std::scoped_lock lock(item->mutex);
        merged += item->counts;
    }
    const double total = boost::histogram::algorithm::sum(merged);
    if (total == 0)
        return std::chrono::nanoseconds{0};
    double cumulative = 0;
    double bound = min_seconds;
    for (auto&& bucket : boost::histogram::indexed(merged, boost::histogram::coverage::all))
    {
        cumulative += *bucket;
        if (bucket.bin().upper() <= max_seconds)
            bound = bucket.bin().upper();
        if (cumulative >= fraction * total)
            break;
    }
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(bound));
}

void latency_histogram::append_text(std::string& text, const std::string& name) const
{
    histogram_type merged = make_latency_histogram();
    double sum = 0;
    for (const auto& item : m_stripes)
    {
        const std::scoped_lock lock(item->mutex);
        merged += item->counts;
        sum += item->sum_seconds;
    }
    text += fmt::format("# TYPE {} histogram\n", name);
    double cumulative = merged.at(-1);
    for (unsigned index = 0; index < bucket_count; ++index)
    {
        const double bucket_value = merged.at(static_cast<int>(index));
        cumulative += bucket_value;
        if (bucket_value != 0)
            text += fmt::format("{}_bucket{{le=\"{:.6g}\"}} {}\n", name,
                                merged.axis().bin(static_cast<int>(index)).upper(), cumulative);
    }
    cumulative += merged.at(bucket_count);
    text += fmt::format("{0}_bucket{{le=\"+Inf\"}} {1}\n{0}_sum {2:.6f}\n{0}_count {1}\n", name,
                        cumulative, sum);
}

metrics::metrics() = default;
metrics::~metrics() = default;

namespace
{

template<class Map>
auto& find_or_create(std::mutex& mutex, Map& map, const std::string& name)
{
    const std::scoped_lock lock(mutex);
    auto& slot = map[name];
    if (!slot)
        slot = std::make_unique<typename Map::mapped_type::element_type>();
    return *slot;
}

} // namespace

counter& metrics::find_counter(const std::string& name)
{
    return find_or_create(m_mutex, m_counters, name);
}

gauge& metrics::find_gauge(const std::string& name)
{
    return find_or_create(m_mutex, m_gauges, name);
}

latency_histogram& metrics::find_histogram(const std::string& name)
{
    return find_or_create(m_mutex, m_histograms, name);
}

std::string metrics::to_text() const
{
    const std::scoped_lock lock(m_mutex);
    std::string text;
    append_values(text, m_counters, "counter");
    append_values(text, m_gauges, "gauge");
    for (const auto& [name, histogram] : m_histograms)
        histogram->append_text(text, name);
    return text;
}

} // namespace ospreystair::observe
