// Verdicts about requests, and the exchange of evidence between VMs.

#include "routing/crash_ledger.hpp"

#include <algorithm>
#include <iterator>
#include <unordered_set>
#include <utility>

#include "base/random.hpp"

namespace ospreystair::routing
{

namespace
{

bool is_same_crash(const replica_crash& left, const replica_crash& right)
{
    return left.replica == right.replica &&
           std::chrono::abs(left.at - right.at) <= crash_ledger::same_crash_margin;
}

bool contains(const std::vector<replica_crash>& crashes, const replica_crash& crash)
{
    return std::any_of(crashes.begin(), crashes.end(),
                       [&crash](const replica_crash& other)
                       { return is_same_crash(other, crash); });
}

bool is_older(const replica_crash& left, const replica_crash& right)
{
    return left.at < right.at;
}

// Returns the number of the trial that each crash belongs to, from 1. The crashes are sorted, the
// oldest first, so that the numbers never fall.
std::vector<std::size_t> number_trials(const std::vector<replica_crash>& crashes)
{
    std::vector<std::size_t> result;
    result.reserve(crashes.size());
    std::size_t trial = 0;
    base::time_point trial_end{};
    for (const replica_crash& crash : crashes)
    {
        if (trial == 0 || crash.sent_at >= trial_end + crash_ledger::outage_spread)
        {
            ++trial;
            trial_end = crash.at;
        }
        result.push_back(trial);
    }
    return result;
}

} // namespace

std::size_t crash_ledger::count_trials(const std::vector<replica_crash>& crashes)
{
    return crashes.empty() ? 0 : number_trials(crashes).back();
}

bool crash_ledger::is_sufficient(const std::vector<replica_crash>& crashes)
{
    return crashes.size() >= min_crashes && count_trials(crashes) >= min_trials;
}

bool crash_ledger::is_explained(const base::fingerprint& request, const replica_crash& crash) const
{
    const std::size_t own_count = m_requests.at(request).crashes.size();
    const auto explains = [&](const auto& item)
    {
        const auto& [other_request, entry] = item;
        return other_request != request && entry.crashes.size() > own_count &&
               is_sufficient(entry.crashes) && contains(entry.crashes, crash);
    };
    return std::any_of(m_requests.begin(), m_requests.end(), explains);
}

crash_verdict crash_ledger::assess(const base::fingerprint& request, base::time_point now) const
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end())
        return crash_verdict::clear;
    std::vector<replica_crash> crashes;
    std::copy_if(found->second.crashes.begin(), found->second.crashes.end(),
                 std::back_inserter(crashes),
                 [&](const replica_crash& crash)
                 { return now - crash.at < evidence_lifetime && !is_explained(request, crash); });
    if (crashes.empty())
        return crash_verdict::clear;
    return is_sufficient(crashes) && now < blocked_until(request) ? crash_verdict::condemned
                                                                  : crash_verdict::suspected;
}

base::time_point crash_ledger::blocked_until(const base::fingerprint& request) const
{
    constexpr std::size_t max_doublings = 4;
    constexpr std::uint64_t jitter_steps = 1'000;
    // Up to half of the block is added.
    constexpr double jitter_divisor = 2.0 * jitter_steps;
    const auto found = m_requests.find(request);
    if (found == m_requests.end() || found->second.crashes.empty())
        return {};
    const std::vector<replica_crash>& crashes = found->second.crashes;
    const std::size_t trials = count_trials(crashes);
    const std::size_t doublings =
        std::min(max_doublings, trials > min_trials ? trials - min_trials : 0);
    const auto block = std::min(max_block, first_block * (1U << doublings));
    const std::uint64_t jitter = base::mix_bits(m_seed ^ request.low ^ trials) % jitter_steps;
    return crashes.back().at + std::chrono::duration_cast<base::duration>(
                                   block * (1 + static_cast<double>(jitter) / jitter_divisor));
}

base::time_point crash_ledger::next_trial_at(const base::fingerprint& request) const
{
    const auto found = m_requests.find(request);
    if (found == m_requests.end() || found->second.crashes.empty())
        return {};
    const auto jitter =
        static_cast<std::int64_t>(base::mix_bits(m_seed ^ request.high) %
                                  static_cast<std::uint64_t>(max_trial_jitter.count()));
    return found->second.crashes.back().at + outage_spread + std::chrono::milliseconds{jitter};
}

bool crash_ledger::add_crash(evidence& entry, const replica_crash& crash)
{
    std::vector<replica_crash>& crashes = entry.crashes;
    if (contains(crashes, crash) || (entry.answered_at && crash.at <= *entry.answered_at))
        return false;
    crashes.insert(std::upper_bound(crashes.begin(), crashes.end(), crash, is_older), crash);
    drop_surplus(crashes);
    return contains(crashes, crash);
}

void crash_ledger::drop_surplus(std::vector<replica_crash>& crashes)
{
    const std::vector<std::size_t> trials = number_trials(crashes);
    std::vector<replica_crash> kept;
    std::size_t of_trial = 0;
    for (std::size_t index = 0; index < crashes.size(); ++index)
    {
        const bool is_same_trial = index > 0 && trials[index] == trials[index - 1];
        of_trial = is_same_trial ? of_trial + 1 : 1;
        if (of_trial <= max_crashes_per_trial)
            kept.push_back(crashes[index]);
    }
    if (kept.size() > max_crashes)
        kept.erase(kept.begin(), kept.end() - max_crashes);
    crashes = std::move(kept);
}

void crash_ledger::clear_until(evidence& entry, base::time_point answered_at)
{
    entry.answered_at = std::max(entry.answered_at.value_or(answered_at), answered_at);
    std::erase_if(entry.crashes,
                  [&entry](const replica_crash& crash) { return crash.at <= *entry.answered_at; });
}

void crash_ledger::record_crash(const base::fingerprint& request, const replica_crash& crash)
{
    evidence& entry = find_or_create(request);
    if (add_crash(entry, crash))
        m_changed.insert(request);
    entry.updated_at = std::max(entry.updated_at, crash.at);
}

void crash_ledger::record_answer(const base::fingerprint& request, base::time_point now)
{
    m_answers.record(request, now);
    const auto found = m_requests.find(request);
    if (found == m_requests.end())
        return;
    // Only an answer that changes the verdict is news for other VMs.
    if (!found->second.crashes.empty())
        m_changed.insert(request);
    clear_until(found->second, now);
    found->second.updated_at = now;
}

bool crash_ledger::merge(const crash_report& report, base::time_point now)
{
    const bool is_known = m_requests.contains(report.request);
    if (!is_known && report.crashes.empty())
        return false;
    evidence& entry = find_or_create(report.request);
    const std::size_t before = entry.crashes.size();
    if (report.answered_at && *report.answered_at <= now)
        clear_until(entry, *report.answered_at);
    if (const auto answered_at = m_answers.find(report.request))
        clear_until(entry, *answered_at);
    bool is_changed = entry.crashes.size() != before;
    const bool is_refuted =
        std::any_of(report.crashes.begin(), report.crashes.end(),
                    [&entry](const replica_crash& crash)
                    { return entry.answered_at && crash.at <= *entry.answered_at; });
    // The sender has not heard of the answer.
    if (is_refuted && !(report.answered_at && *report.answered_at >= *entry.answered_at))
        m_changed.insert(report.request);
    for (const replica_crash& crash : report.crashes)
        if (crash.at <= now && now - crash.at < evidence_lifetime)
            is_changed = add_crash(entry, crash) || is_changed;
    if (is_changed)
    {
        entry.updated_at = now;
        m_changed.insert(report.request);
    }
    return is_changed;
}

crash_ledger::evidence& crash_ledger::find_or_create(const base::fingerprint& request)
{
    const auto found = m_requests.find(request);
    if (found != m_requests.end())
        return found->second;
    make_room();
    return m_requests[request];
}

void crash_ledger::make_room()
{
    if (m_requests.size() < max_requests)
        return;
    const auto is_less_useful = [](const auto& left, const auto& right)
    {
        return std::pair(is_sufficient(left.second.crashes), left.second.updated_at) <
               std::pair(is_sufficient(right.second.crashes), right.second.updated_at);
    };
    const auto oldest = std::min_element(m_requests.begin(), m_requests.end(), is_less_useful);
    m_changed.erase(oldest->first);
    m_requests.erase(oldest);
}

void crash_ledger::remove_expired(base::time_point now)
{
    std::erase_if(m_requests,
                  [&](auto& item)
                  {
                      const bool is_expired = now - item.second.updated_at >= evidence_lifetime;
                      if (is_expired)
                          m_changed.erase(item.first);
                      return is_expired;
                  });
}

crash_report crash_ledger::make_report(const base::fingerprint& request) const
{
    const evidence& entry = m_requests.at(request);
    return {request, entry.answered_at, entry.crashes};
}

std::vector<crash_report> crash_ledger::select(std::vector<base::fingerprint> requests,
                                               std::size_t limit) const
{
    std::sort(requests.begin(), requests.end(),
              [this](const base::fingerprint& left, const base::fingerprint& right)
              {
                  const evidence& first = m_requests.at(left);
                  const evidence& second = m_requests.at(right);
                  return std::pair(first.crashes.size(), first.updated_at) >
                         std::pair(second.crashes.size(), second.updated_at);
              });
    requests.resize(std::min(limit, requests.size()));
    std::vector<crash_report> result;
    result.reserve(requests.size());
    for (const base::fingerprint& request : requests)
        result.push_back(make_report(request));
    return result;
}

std::vector<crash_report> crash_ledger::take_changes(std::size_t limit)
{
    auto result = select({m_changed.begin(), m_changed.end()}, limit);
    for (const crash_report& report : result)
        m_changed.erase(report.request);
    return result;
}

std::vector<crash_report> crash_ledger::reports(std::size_t limit) const
{
    std::vector<base::fingerprint> requests;
    requests.reserve(m_requests.size());
    for (const auto& [request, entry] : m_requests)
        requests.push_back(request);
    return select(std::move(requests), limit);
}

std::uint64_t crash_ledger::digest() const
{
    // A sum, since a replica may have crashed twice. Not the times, which VMs notice differently.
    std::uint64_t result = 0;
    for (const auto& [request, entry] : m_requests)
        for (const replica_crash& crash : entry.crashes)
            result += base::mix_bits(request.low ^ crash.replica);
    return result;
}

} // namespace ospreystair::routing
