// How far a team may exceed its quota, and how that margin is divided.

#ifndef OSPREYSTAIR_TEAMS_QUOTA_BOUNDS_HPP
#define OSPREYSTAIR_TEAMS_QUOTA_BOUNDS_HPP

#include <algorithm>
#include <chrono>

#include "teams/team.hpp"

namespace ospreystair::teams
{

/// In each window, all VMs together send at most (rate x window + burst) x (1 + excess) + slack
/// requests of a team. Of the margin beyond rate x window + burst, 30 percent are for a standby
/// keeper, of which two may be in use beside the keeper while links are cut, and some is the
/// reserve of VMs that reach none of them. A quarter makes buckets deeper, so that small teams are
/// not refused for uneven arrivals. The rest covers requests that the keeper does not know of yet.
struct quota_bounds
{
    std::chrono::milliseconds window{5'000};
    double excess = 0;
    double slack = 0;

    bool operator==(const quota_bounds&) const = default;

    double window_seconds() const { return std::chrono::duration<double>(window).count(); }

    /// Requests beyond the quota that all VMs together may send in a window.
    double margin(const request_quota& quota) const
    {
        return (quota.requests_per_second * window_seconds() + quota.burst) * excess + slack;
    }

    /// Requests that a team may send at once after a quiet time.
    double bucket_depth(const request_quota& quota) const
    {
        constexpr double depth_share = 0.25;
        return std::max(1.0, quota.burst + margin(quota) * depth_share);
    }

    /// What a standby keeper grants: at once after a quiet time, and as a rate.
    double standby_depth(const request_quota& quota) const
    {
        constexpr double depth_share = 0.1;
        return margin(quota) * depth_share;
    }
    double standby_rate(const request_quota& quota) const
    {
        constexpr double rate_share = 0.2;
        return margin(quota) * rate_share / window_seconds();
    }

    /// Rate of the requests that VMs without a keeper send together; 0 when the margin is too small
    /// for any.
    double reserve_rate(const request_quota& quota) const
    {
        constexpr double reserve_share = 0.15;
        // A routing::rate_share also issues the permits of a second, and some more.
        constexpr double extra_seconds = 1;
        constexpr double extra_permits = 3.5;
        constexpr double min_rate = 0.25;
        const double rate =
            (margin(quota) * reserve_share - extra_permits) / (window_seconds() + extra_seconds);
        return rate < min_rate ? 0 : rate;
    }
};

} // namespace ospreystair::teams

#endif
