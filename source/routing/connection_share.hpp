// Bounds this VM's connections to each replica while the list of live VMs changes.

#ifndef OSPREYSTAIR_ROUTING_CONNECTION_SHARE_HPP
#define OSPREYSTAIR_ROUTING_CONNECTION_SHARE_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <deque>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.hpp"
#include "configuration/document.hpp"
#include "routing/connection_quota.hpp"

namespace ospreystair::routing
{

/// The share shrinks at once and grows after a delay: it is the smallest quota under all lists of
/// the last `grow_delay`, so that a VM does not take connections that VMs with an older list still
/// hold. For the first `grow_delay` after its start a VM uses only the reserved connections,
/// because the others may not know it yet. This keeps the sum over all VMs within the replica's
/// limit while one VM joins or leaves, as long as the lists agree again within the delay.
/// Thread-safe.
template<base::clock_source Clock>
class connection_share
{
public:
    /// The default delay exceeds the 3 s of the membership's suspicion timeout plus the time that
    /// gossip takes to spread.
    connection_share(const Clock& clock, std::string vm,
                     base::duration grow_delay = std::chrono::seconds{10})
        : m_clock(clock), m_vm(std::move(vm)), m_grow_delay(grow_delay), m_started_at(clock.now())
    {
    }

    /// Adopts a list of live VMs. This VM counts as live even if the list lacks it.
    void update(std::vector<std::string> live_vms)
    {
        live_vms.push_back(m_vm);
        std::sort(live_vms.begin(), live_vms.end());
        live_vms.erase(std::unique(live_vms.begin(), live_vms.end()), live_vms.end());
        const base::time_point now = m_clock.now();
        const std::unique_lock lock(m_mutex);
        if (!m_vm_lists.empty() && m_vm_lists.back().vms == live_vms)
            return;
        m_vm_lists.push_back({now, std::move(live_vms)});
        // The oldest list that is kept is the one in force `m_grow_delay` ago.
        while (m_vm_lists.size() > 1 && m_vm_lists[1].adopted_at <= now - m_grow_delay)
            m_vm_lists.pop_front();
    }

    /// Returns how many connections this VM may have open to `replica` now. Connections above the
    /// limit must be closed.
    std::uint32_t connection_limit(const configuration::replica& replica) const
    {
        const base::time_point now = m_clock.now();
        const std::shared_lock lock(m_mutex);
        if (m_vm_lists.empty())
            return 0;
        std::uint32_t share = quota(m_vm_lists.back(), replica);
        for (std::size_t index = m_vm_lists.size() - 1; index > 0; --index)
        {
            if (m_vm_lists[index].adopted_at <= now - m_grow_delay)
                break;
            share = std::min(share, quota(m_vm_lists[index - 1], replica));
        }
        if (now - m_started_at < m_grow_delay)
            share = std::min(share, reserved_connections(replica.connections));
        return share;
    }

private:
    struct vm_list
    {
        base::time_point adopted_at{};
        std::vector<std::string> vms;
    };

    std::uint32_t quota(const vm_list& list, const configuration::replica& replica) const
    {
        return connection_quota(m_vm, list.vms, replica.name, replica.connections);
    }

    const Clock& m_clock;
    std::string m_vm;
    base::duration m_grow_delay;
    base::time_point m_started_at;
    mutable std::shared_mutex m_mutex;
    // Guarded by m_mutex; the oldest first.
    std::deque<vm_list> m_vm_lists;
};

} // namespace ospreystair::routing

#endif
