// How far a team may exceed its quota, and how that margin is divided.

#ifndef OSPREYSTAIR_TEAMS_QUOTA_BOUNDS_HPP
#define OSPREYSTAIR_TEAMS_QUOTA_BOUNDS_HPP

#include <algorithm>
#include <chrono>

#include "teams/quota_window.hpp"
#include "teams/team.hpp"

namespace ospreystair::teams
{

/// In each window, all VMs together send at most (rate x window + burst) x (1 + excess) + slack
/// requests of a team. Of the margin beyond rate x window + burst, 30 percent are for a standby
/// keeper, of which two may be in use beside the keeper while links are cut, and some is the
/// reserve of VMs that reach none of them. A quarter is granted by the keeper too, so that small
/// teams are not refused for uneven arrivals. The rest covers requests that the keeper does not
/// know of yet.
struct quota_bounds
{
    std::chrono::milliseconds window{5'000};
    double excess = 0;
    double slack = 0;

    /// A request may be sent this long after it was counted, and VMs learn of a new keeper within
    /// about this time, so that keepers count that much longer than the window.
    static constexpr std::chrono::milliseconds settle_time{300};

    bool operator==(const quota_bounds&) const = default;

    double window_seconds() const { return std::chrono::duration<double>(window).count(); }

    /// Requests beyond the quota that all VMs together may send in a window.
    double margin(const request_quota& quota) const
    {
        return (quota.requests_per_second * window_seconds() + quota.burst) * excess + slack;
    }

    /// What the keeper grants. A successor grants four fifths of the quota's rate, which is more
    /// than most teams ask for, in its first window.
    quota_grant keeper_grant(const request_quota& quota) const
    {
        constexpr double margin_share = 0.25;
        constexpr double takeover_share = 0.8;
        quota_grant result;
        result.window = window + settle_time;
        result.capacity = std::max(min_capacity, quota.requests_per_second * window_seconds() +
                                                     quota.burst + margin(quota) * margin_share);
        result.takeover_rate =
            std::max(min_rate, std::min(quota.requests_per_second * takeover_share,
                                        (result.capacity - 1) / result.window_seconds()));
        return result;
    }

    /// What a standby keeper grants: a tenth of the margin at once after a quiet time, and three
    /// tenths of it in each window.
    quota_grant standby_grant(const request_quota& quota) const
    {
        constexpr double share_in_window = 0.3;
        constexpr double takeover_share = 0.2;
        quota_grant result;
        result.window = window + settle_time;
        result.capacity = std::max(min_capacity, margin(quota) * share_in_window);
        result.takeover_rate =
            std::max(min_rate, margin(quota) * takeover_share / result.window_seconds());
        return result;
    }

    /// Rate of the requests that VMs without a keeper send together; 0 when the margin is too small
    /// for any.
    double reserve_rate(const request_quota& quota) const
    {
        constexpr double reserve_share = 0.15;
        // A routing::rate_share also issues the permits of a second, and some more.
        constexpr double extra_seconds = 1;
        constexpr double extra_permits = 3.5;
        constexpr double min_reserve_rate = 0.25;
        const double rate =
            (margin(quota) * reserve_share - extra_permits) / (window_seconds() + extra_seconds);
        return rate < min_reserve_rate ? 0 : rate;
    }

private:
    // Whatever the quota, one request is granted at some time.
    static constexpr double min_rate = 1e-3;
    static constexpr double min_capacity = 1.1;
};

} // namespace ospreystair::teams

#endif
