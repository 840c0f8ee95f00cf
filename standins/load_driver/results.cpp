// Accumulates results and writes them as JSON.

#include "standins/load_driver/results.hpp"

#include <algorithm>
#include <cmath>

#include <json/json.h>

namespace ospreystair::load_driver
{

namespace
{

std::string to_rounded_text(const Json::Value& value)
{
    constexpr int decimals = 3;
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["precision"] = decimals;
    builder["precisionType"] = "decimal";
    return Json::writeString(builder, value);
}

} // namespace

void results::add_answer(const answer_summary& answer, std::chrono::nanoseconds latency,
                         std::chrono::nanoseconds deadline)
{
    const float latency_ms = std::chrono::duration<float, std::milli>(latency).count();
    ++m_outcomes_by_kind[answer.kind];
    m_mixed_versions += answer.has_mixed_versions;
    m_mismatched += answer.is_mismatched;
    m_refused_without_retry_after += answer.lacks_retry_after;
    if (answer.outcome == outcome_class::failed)
        ++m_failed;
    else if (answer.outcome == outcome_class::refused)
    {
        ++m_refused;
        m_refusal_latencies.push_back(latency_ms);
    }
    else
    {
        ++m_answered;
        m_complete += answer.is_complete;
        m_partial += answer.is_partial;
        m_complete_in_time += answer.is_complete && latency <= deadline;
        m_late += latency > deadline;
        m_latencies.push_back(latency_ms);
    }
}

void results::add_failure(const std::string& kind)
{
    ++m_failed;
    ++m_outcomes_by_kind[kind];
}

void results::merge(const results& other)
{
    m_offered += other.m_offered;
    m_answered += other.m_answered;
    m_refused += other.m_refused;
    m_failed += other.m_failed;
    m_complete += other.m_complete;
    m_partial += other.m_partial;
    m_complete_in_time += other.m_complete_in_time;
    m_late += other.m_late;
    m_mixed_versions += other.m_mixed_versions;
    m_mismatched += other.m_mismatched;
    m_refused_without_retry_after += other.m_refused_without_retry_after;
    for (const auto& [kind, count] : other.m_outcomes_by_kind)
        m_outcomes_by_kind[kind] += count;
    m_latencies.insert(m_latencies.end(), other.m_latencies.begin(), other.m_latencies.end());
    m_refusal_latencies.insert(m_refusal_latencies.end(), other.m_refusal_latencies.begin(),
                               other.m_refusal_latencies.end());
}

double results::quantile(const std::vector<float>& sorted, double fraction)
{
    if (sorted.empty())
        return 0;
    const double rank = std::ceil(fraction * static_cast<double>(sorted.size()));
    const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    return sorted[std::min(index, sorted.size() - 1)];
}

std::string results::to_json(std::chrono::duration<double> duration)
{
    std::sort(m_latencies.begin(), m_latencies.end());
    std::sort(m_refusal_latencies.begin(), m_refusal_latencies.end());
    Json::Value body;
    const auto put = [&body](const char* name, std::uint64_t value)
    {
        body[name] = static_cast<Json::UInt64>(value);
    };
    put("offered", m_offered);
    put("answered", m_answered);
    put("refused", m_refused);
    put("failed", m_failed);
    put("whole", m_complete);
    put("partial", m_partial);
    put("late", m_late);
    put("mixed_version", m_mixed_versions);
    put("mismatched", m_mismatched);
    put("refused_without_retry_after", m_refused_without_retry_after);
    body["seconds"] = duration.count();
    body["goodput_per_s"] =
        static_cast<double>(m_complete_in_time) / std::max(duration.count(), 1e-9);
    body["latency_ms"]["p50"] = quantile(m_latencies, 0.5);
    body["latency_ms"]["p90"] = quantile(m_latencies, 0.9);
    body["latency_ms"]["p99"] = quantile(m_latencies, 0.99);
    body["latency_ms"]["p99.9"] = quantile(m_latencies, 0.999);
    body["latency_ms"]["max"] = quantile(m_latencies, 1);
    body["refusal_latency_ms"]["p50"] = quantile(m_refusal_latencies, 0.5);
    body["outcomes"] = Json::objectValue;
    for (const auto& [kind, count] : m_outcomes_by_kind)
        body["outcomes"][kind] = static_cast<Json::UInt64>(count);
    return to_rounded_text(body);
}

} // namespace ospreystair::load_driver
