// Checks of answers, of executions and of arrivals.

#include "tests/chaos/gateway_audit.hpp"

#include <algorithm>
#include <set>

#include <fmt/format.h>

namespace ospreystair::chaos
{

namespace
{

using time_point = disturbance_log::time_point;

constexpr unsigned ok = 200;
constexpr unsigned too_many_requests = 429;
constexpr unsigned unavailable = 503;

/// A receipt of the replica stand-in: "<service>-<index>.<count>.<request>".
struct receipt
{
    std::string service;
    std::string replica;
    std::string request;
};

std::optional<receipt> parse_receipt(const std::string& text)
{
    const std::size_t first = text.find('.');
    const std::size_t second = text.find('.', first + 1);
    const std::size_t dash = text.rfind('-', first);
    if (first == std::string::npos || second == std::string::npos || dash == std::string::npos)
        return std::nullopt;
    return receipt{text.substr(0, dash), text.substr(0, first), text.substr(second + 1)};
}

// The record that the fleet gives to a replica.
std::string record_of(const receipt& from)
{
    return "0123456789abcde" + from.replica.substr(from.replica.size() - 1);
}

// Statuses of its own that end a proper request wrongly.
bool is_denial(unsigned status)
{
    constexpr unsigned first_redirect = 300;
    constexpr unsigned first_server_error = 500;
    constexpr unsigned timeout = 408;
    constexpr unsigned misdirected = 421;
    return status >= first_redirect && status < first_server_error && status != timeout &&
           status != misdirected && status != too_many_requests;
}

} // namespace

std::string vm_part(std::size_t vm)
{
    return fmt::format("vm {}", vm);
}

std::string stop_part(std::size_t vm)
{
    return fmt::format("stop of vm {}", vm);
}

bool gateway_audit::has_run(const seen_exchange& seen) const
{
    return m_disturbances.is_calm(vm_part(seen.vm), seen.sent_at - stable_window, seen.ended_at);
}

bool gateway_audit::is_calm(const seen_exchange& seen, time_point to) const
{
    const time_point from = seen.sent_at - stable_window;
    return m_disturbances.is_calm(vm_part(seen.vm), from, to) &&
           m_disturbances.is_calm(stop_part(seen.vm), from, to);
}

void gateway_audit::add_generation(std::vector<std::string> shards, time_point published_at)
{
    std::sort(shards.begin(), shards.end());
    const std::scoped_lock lock(m_mutex);
    m_generations.push_back({std::move(shards), published_at});
}

void gateway_audit::add_violation(const std::string& promise, std::string text)
{
    const std::scoped_lock lock(m_mutex);
    m_violations[promise].push_back(std::move(text));
}

void gateway_audit::count_check(const std::string& what)
{
    const std::scoped_lock lock(m_mutex);
    ++m_checks[what];
}

void gateway_audit::violate(const std::string& promise, const seen_exchange& seen,
                            const std::string& text)
{
    m_violations[promise].push_back(
        fmt::format("{} at vm {}, status {}: {}", seen.id, seen.vm, seen.answer.status, text));
}

void gateway_audit::add_exchange(const seen_exchange& seen)
{
    const std::scoped_lock lock(m_mutex);
    m_exchanges.push_back(seen);
    ++m_statuses[seen.answer.status];
    // A request that crosses the closing of a kept connection was not read.
    if (seen.answer.status == 0 && seen.answer.is_sent && has_run(seen) && !seen.is_kept &&
        !seen.has_left)
        violate("every request is answered", seen, seen.answer.reason);
    if (is_denial(seen.answer.status))
        violate("proper requests are not denied", seen, seen.answer.body);
    if (seen.answer.status != ok)
        return;
    if (seen.kind == request_kind::gathered)
        check_gathered(seen);
    else
        check_single(seen);
}

void gateway_audit::check_single(const seen_exchange& seen)
{
    const auto stamp = seen.answer.fields.find("Response-Stamp");
    const auto from =
        stamp == seen.answer.fields.end() ? std::nullopt : parse_receipt(stamp->second);
    if (!from || from->request != seen.id)
        return violate("answers are whole and their own", seen, "no receipt of this request");
    if (seen.answer.body != record_of(*from))
        violate("answers are whole and their own", seen, "the body is not the replica's");
}

void gateway_audit::check_gathered(const seen_exchange& seen)
{
    std::vector<std::string> services;
    const std::string fault = check_parts(seen, services);
    if (!fault.empty())
        return violate("answers are whole and their own", seen, fault);
    check_generation(seen, services);
}

std::string gateway_audit::check_parts(const seen_exchange& seen,
                                       std::vector<std::string>& services) const
{
    std::vector<std::string> records;
    for (const std::string& text : seen.answer.receipts())
    {
        const auto from = parse_receipt(text);
        if (!from || from->request != seen.id)
            return fmt::format("receipt \"{}\" is not of this request", text);
        services.push_back(from->service);
        records.push_back(record_of(*from));
    }
    std::sort(services.begin(), services.end());
    if (std::adjacent_find(services.begin(), services.end()) != services.end())
        return "two parts are of one shard";
    std::sort(records.rbegin(), records.rend());
    std::string body;
    for (const std::string& record : records)
        body += record;
    return body == seen.answer.body ? "" : "the body is not made of the parts that are named";
}

void gateway_audit::check_generation(const seen_exchange& seen,
                                     const std::vector<std::string>& services)
{
    const auto covers = [&](const generation& each)
    {
        return std::includes(each.shards.begin(), each.shards.end(), services.begin(),
                             services.end()) &&
               services.size() + static_cast<std::size_t>(seen.answer.missing_parts()) ==
                   each.shards.size();
    };
    const auto found = std::find_if(m_generations.rbegin(), m_generations.rend(), covers);
    if (found == m_generations.rend())
        return violate(
            "parts and missing parts are one configuration's shards", seen,
            fmt::format("{} parts, {} missing", services.size(), seen.answer.missing_parts()));
    const auto number = static_cast<std::size_t>(m_generations.rend() - found - 1);
    const std::size_t due = find_due_generation(seen);
    if (due > 0)
        ++m_checks["answers with a newer generation due"];
    if (number < due)
        violate("configurations are in force in time", seen,
                fmt::format("generation {} instead of {}", number, due));
    std::vector<sighting>& sightings = m_sightings[{seen.vm, seen.incarnation}];
    const bool is_vm_calm = is_calm(seen, seen.ended_at);
    for (const sighting& earlier : sightings)
        if (is_vm_calm && earlier.ended_at + downgrade_slack < seen.sent_at &&
            earlier.generation > number)
            return violate("configurations never revert", seen,
                           fmt::format("generation {} after {}", number, earlier.generation));
    sightings.push_back({seen.ended_at, number});
}

std::size_t gateway_audit::find_due_generation(const seen_exchange& seen) const
{
    if (!is_calm(seen, seen.sent_at))
        return 0;
    for (std::size_t number = m_generations.size(); number-- > 1;)
    {
        const time_point published_at = m_generations[number].published_at;
        if (published_at + apply_bound < seen.sent_at &&
            m_disturbances.is_calm(store_part, published_at - stable_window, seen.sent_at))
            return number;
    }
    return 0;
}

void gateway_audit::check_executions(const std::map<std::string, unsigned>& executions)
{
    const std::scoped_lock lock(m_mutex);
    std::set<std::string> sent;
    for (const seen_exchange& seen : m_exchanges)
    {
        sent.insert(seen.id);
        const auto found = executions.find(seen.id);
        const unsigned count = found == executions.end() ? 0 : found->second;
        if (seen.kind == request_kind::once && count > 1)
            violate("at most once", seen, fmt::format("ran {} times", count));
        const bool is_refusal =
            seen.answer.status == unavailable || seen.answer.status == too_many_requests;
        const bool is_lost = seen.answer.status == 0 && seen.is_kept && !seen.has_left;
        if (is_lost && count > 0 && has_run(seen))
            violate("every request is answered", seen, seen.answer.reason);
        if (is_refusal && count > 0)
            violate("refused requests have not run", seen, fmt::format("ran {} times", count));
    }
    for (const auto& [id, count] : executions)
        if (!sent.contains(id))
            m_violations["only callers' requests run"].push_back(id);
}

void gateway_audit::check_departures(const std::map<std::string, time_point>& work_ends)
{
    const std::scoped_lock lock(m_mutex);
    for (const seen_exchange& seen : m_exchanges)
    {
        const auto found = work_ends.find(seen.id);
        if (!seen.has_left || found == work_ends.end())
            continue;
        ++m_checks["callers that left"];
        if (found->second > seen.ended_at + departure_slack && is_calm(seen, found->second))
            violate("no work for callers that left", seen,
                    fmt::format("a replica was at work {} ms later",
                                std::chrono::duration_cast<std::chrono::milliseconds>(
                                    found->second - seen.ended_at)
                                    .count()));
    }
}

std::size_t gateway_audit::count_requests(const std::string& service, time_point from,
                                          time_point to) const
{
    return static_cast<std::size_t>(
        std::count_if(m_exchanges.begin(), m_exchanges.end(),
                      [&](const seen_exchange& seen)
                      {
                          const bool is_for_service =
                              (service == "single") != (seen.kind == request_kind::gathered);
                          return is_for_service && seen.sent_at >= from && seen.sent_at <= to;
                      }));
}

void gateway_audit::check_repeats(const std::string& service, std::vector<time_point> arrivals)
{
    constexpr std::chrono::milliseconds step{500};
    // Requests that were sent a little before the window arrive in it.
    constexpr std::chrono::milliseconds way{1'000};
    const std::scoped_lock lock(m_mutex);
    std::sort(arrivals.begin(), arrivals.end());
    if (arrivals.empty())
        return;
    for (time_point from = arrivals.front(); from < arrivals.back(); from += step)
    {
        const time_point to = from + repeat_window;
        const auto count =
            static_cast<std::size_t>(std::upper_bound(arrivals.begin(), arrivals.end(), to) -
                                     std::lower_bound(arrivals.begin(), arrivals.end(), from));
        const std::size_t requests = count_requests(service, from - way, to);
        const std::size_t counted =
            std::max(requests, count_requests(service, from - repeat_window, from));
        const auto most = requests + repeat_slack +
                          static_cast<std::size_t>(repeat_ratio * static_cast<double>(counted));
        if (count > most)
            m_violations["repeats stay within their budget"].push_back(fmt::format(
                "{}: {} arrivals, {} requests, {} allowed", service, count, requests, most));
    }
}

std::vector<std::string> gateway_audit::violations(const std::string& promise) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_violations.find(promise);
    return found == m_violations.end() ? std::vector<std::string>() : found->second;
}

std::string gateway_audit::summary() const
{
    const std::scoped_lock lock(m_mutex);
    std::string result = fmt::format(
        "{} requests, {} index generations; answers:", m_exchanges.size(), m_generations.size());
    for (const auto& [status, count] : m_statuses)
        result += fmt::format(" {} x {}", count, status == 0 ? "none" : std::to_string(status));
    result += "; checks made in calm spans:";
    for (const auto& [what, count] : m_checks)
        result += fmt::format(" {} {}", count, what);
    return result;
}

} // namespace ospreystair::chaos
