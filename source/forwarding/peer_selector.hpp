// Chooses another VM that serves a request which this VM cannot serve.

#ifndef OSPREYSTAIR_FORWARDING_PEER_SELECTOR_HPP
#define OSPREYSTAIR_FORWARDING_PEER_SELECTOR_HPP

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.hpp"
#include "base/random.hpp"

namespace ospreystair::forwarding
{

/// What another VM reports about a route.
struct reach_report
{
    /// Whether it has enough live replicas, as far as it knows.
    bool can_serve = false;
    /// Time since a replica last answered it.
    base::duration contact_age{};
};

/// Requests are handed only to VMs that have just reported that they can serve them, so that no
/// caller waits for a VM that is cut off too. Reports are asked for while requests need them. A VM
/// that lost its replicas may not have noticed yet; this is why, after a complete loss, VMs are
/// preferred to which a replica replied after the loss. Where there is none, as in a quiet fleet,
/// one request at a time tries another VM. Not thread-safe.
template<base::random_source Random>
class peer_selector
{
public:
    /// VMs asked in one round. Of a fleet in which four in five VMs are cut off, a round finds
    /// another one nearly always.
    static constexpr std::size_t peers_per_round = 16;
    static constexpr std::chrono::milliseconds round_interval{250};
    /// Interval after rounds that found no VM. Short, since a VM may be unable to serve only until
    /// it has read the newest configuration.
    static constexpr std::chrono::milliseconds max_round_interval{500};
    /// How long a report is relied on.
    static constexpr std::chrono::milliseconds report_lifetime{1'500};
    /// A VM that was cut off at the same time may have had its last contact this much later.
    static constexpr std::chrono::milliseconds contact_margin{200};

    explicit peer_selector(Random& random) : m_random(random) {}

    /// Sets the names of the other VMs.
    void adopt(std::vector<std::string> peers) { m_peers = std::move(peers); }

    /// Returns the VMs to ask about the route now; empty when a round is not due.
    std::vector<std::string> start_round(const std::string& route, base::time_point now)
    {
        route_state& state = m_routes[route];
        if (now < state.next_round_at || m_peers.empty())
            return {};
        state.next_round_at = now + state.round_interval;
        state.round_interval =
            std::min<base::duration>(max_round_interval, state.round_interval * 2);
        // VMs that served before are asked again, so that their reports stay recent.
        std::vector<std::string> result;
        for (const auto& [peer, entry] : state.reports)
            if (entry.report.can_serve && result.size() < peers_per_round / 2 &&
                std::find(m_peers.begin(), m_peers.end(), peer) != m_peers.end())
                result.push_back(peer);
        std::vector<std::string> others = m_peers;
        while (result.size() < peers_per_round && !others.empty())
        {
            const std::size_t index = m_random.below(others.size());
            if (std::find(result.begin(), result.end(), others[index]) == result.end())
                result.push_back(others[index]);
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
        }
        return result;
    }

    void record_report(const std::string& route, const std::string& peer,
                       const reach_report& report, base::time_point now)
    {
        route_state& state = m_routes[route];
        report_entry& entry = state.reports[peer];
        entry.report = report;
        entry.received_at = now;
        if (report.can_serve)
        {
            state.round_interval = round_interval;
            state.is_last_round_fruitless = false;
        }
    }

    /// Records that the VM has served a request.
    void record_served(const std::string& route, const std::string& peer, base::time_point now)
    {
        record_report(route, peer, {true, base::duration{0}}, now);
    }

    /// Records that the VM did not answer, or could not serve a request.
    void record_failure(const std::string& route, const std::string& peer)
    {
        m_routes[route].reports.erase(peer);
    }

    /// Records that all VMs of a round have answered or did not answer in time.
    void end_round(const std::string& route, base::time_point now)
    {
        route_state& state = m_routes[route];
        state.is_last_round_fruitless =
            std::none_of(state.reports.begin(), state.reports.end(),
                         [now](const auto& item) {
                             return item.second.report.can_serve &&
                                    now - item.second.received_at < report_lifetime;
                         });
    }

    /// Whether a request should wait for the answers of a round: not when the last one found no VM.
    bool is_worth_waiting(const std::string& route)
    {
        return !m_routes[route].is_last_round_fruitless;
    }

    /// A VM that may be cut off too gets one request in this time.
    static constexpr std::chrono::milliseconds trial_interval{600};

    /// Returns a VM that can serve the route and is not in `excluded`; empty when none is known.
    /// `cut_off_since` is the time of the last reply of a replica if this VM has lost all of them.
    std::optional<std::string> choose(const std::string& route,
                                      std::optional<base::time_point> cut_off_since,
                                      const std::vector<std::string>& excluded,
                                      base::time_point now)
    {
        std::vector<std::string> connected;
        std::pair<const std::string, report_entry>* latest = nullptr;
        for (auto& item : m_routes[route].reports)
        {
            const report_entry& entry = item.second;
            if (!entry.report.can_serve || now - entry.received_at >= report_lifetime ||
                std::find(excluded.begin(), excluded.end(), item.first) != excluded.end())
                continue;
            if (!cut_off_since || entry.contact() > *cut_off_since + contact_margin)
                connected.push_back(item.first);
            else if (now >= entry.tried_at + trial_interval &&
                     (!latest || entry.contact() > latest->second.contact()))
                latest = &item;
        }
        if (!connected.empty())
            return connected[m_random.below(connected.size())];
        if (!latest)
            return std::nullopt;
        latest->second.tried_at = now;
        return latest->first;
    }

private:
    struct report_entry
    {
        base::time_point contact() const { return received_at - report.contact_age; }

        reach_report report;
        base::time_point received_at{};
        // When a request last tried the VM although it may be cut off.
        base::time_point tried_at{};
    };
    struct route_state
    {
        // By name of the VM.
        std::map<std::string, report_entry> reports;
        base::time_point next_round_at{};
        bool is_last_round_fruitless = false;
        base::duration round_interval = peer_selector::round_interval;
    };

    Random& m_random;
    std::vector<std::string> m_peers;
    // By name of the route.
    std::map<std::string, route_state> m_routes;
};

} // namespace ospreystair::forwarding

#endif
