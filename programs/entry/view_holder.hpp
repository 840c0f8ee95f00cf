// The current view, replaced as a whole so that a query keeps the one it started with.

#ifndef OSPREYSTAIR_PROGRAMS_ENTRY_VIEW_HOLDER_HPP
#define OSPREYSTAIR_PROGRAMS_ENTRY_VIEW_HOLDER_HPP

#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "configuration/view.hpp"

namespace ospreystair::entry
{

/// Holds the current view. Thread-safe.
class view_holder
{
public:
    /// How long a drain observed in a reply counts without being observed again, unless the agent's
    /// views contain it: then it ends when they no longer do. By then a draining upstream has
    /// stopped; one that restarted at the same address gets requests again.
    static constexpr std::chrono::seconds observed_drain_lifetime{60};

    /// Returns the current view; null before the first one.
    std::shared_ptr<const configuration::view> current() const;

    /// Adopts a view, but keeps the configuration or any index of the current one where that is
    /// newer: a restarted agent may have older versions than this entry. Returns the current view;
    /// null while no agent has had a configuration.
    std::shared_ptr<const configuration::view> adopt(configuration::view candidate,
                                                     base::time_point now);

    /// Marks a replica as draining at once, before the agent's next view says so.
    void mark_draining(const std::string& replica_name, base::time_point now);

    /// Removes expired drains that only this process has observed. Returns the current view; null
    /// before the first one.
    std::shared_ptr<const configuration::view> expire_drains(base::time_point now);

    /// Takes the names of replicas that were marked as draining since the last call.
    std::vector<std::string> take_new_drains();
    /// Queues a replica name again after its report failed.
    void retry_drain_report(const std::string& replica_name);

private:
    // A drain observed in a reply.
    struct observed_drain
    {
        base::time_point end;
        // The agent's view has contained the drain. When a later view does not, the drain is over
        // and the upstream takes requests again.
        bool is_known_to_agent = false;
    };

    mutable std::mutex m_mutex;
    // Guarded by m_mutex. Neither its configuration version nor any current index version ever
    // decreases.
    std::shared_ptr<const configuration::view> m_view;
    std::map<std::string, observed_drain> m_observed_drains;
    std::vector<std::string> m_new_drains;
};

} // namespace ospreystair::entry

#endif
