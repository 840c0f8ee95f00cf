// Counts and latencies of a load run.

#ifndef OSPREYSTAIR_STANDINS_LOAD_DRIVER_RESULTS_HPP
#define OSPREYSTAIR_STANDINS_LOAD_DRIVER_RESULTS_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "standins/load_driver/answer_check.hpp"

namespace ospreystair::load_driver
{

/// Results of one thread, or the sum of several. Not thread-safe.
class results
{
public:
    void add_offered() { ++m_offered; }
    /// Records an answer. `latency` is measured from the scheduled arrival.
    void add_answer(const answer_summary& answer, std::chrono::nanoseconds latency,
                    std::chrono::nanoseconds deadline);
    /// Records a request without a usable answer.
    void add_failure(const std::string& kind);
    void merge(const results& other);
    /// Returns one JSON document; rates are relative to `duration`.
    std::string to_json(std::chrono::duration<double> duration);

    /// Returns the value at `fraction` (0 to 1) of sorted samples by the nearest-rank method; 0
    /// when there are none.
    static double quantile(const std::vector<float>& sorted, double fraction);

private:
    std::uint64_t m_offered = 0;
    std::uint64_t m_answered = 0;
    std::uint64_t m_refused = 0;
    std::uint64_t m_failed = 0;
    std::uint64_t m_complete = 0;
    std::uint64_t m_partial = 0;
    std::uint64_t m_complete_in_time = 0;
    std::uint64_t m_late = 0;
    std::uint64_t m_mixed_versions = 0;
    std::uint64_t m_mismatched = 0;
    std::uint64_t m_refused_without_retry_after = 0;
    std::map<std::string, std::uint64_t> m_outcomes_by_kind;
    // In milliseconds, one sample per answer or refusal; the settings limit the number of requests.
    std::vector<float> m_latencies;
    std::vector<float> m_refusal_latencies;
};

} // namespace ospreystair::load_driver

#endif
