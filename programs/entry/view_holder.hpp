// The view in use, replaced as a whole so that a query keeps the one it started with.

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

/// Thread-safe.
class view_holder
{
public:
    /// How long a drain seen in a reply counts without being seen again, unless the agent's views
    /// name it: then it ends with the agent's. An upstream that is leaving is gone by then; one
    /// that came back at the same address gets work again.
    static constexpr std::chrono::seconds drain_memory{60};

    /// Returns the view in use; null before the first one.
    std::shared_ptr<const configuration::view> current() const;

    /// Adopts a view, but keeps the configuration or any index of the one in use where that is
    /// newer: an agent that restarted may know less than this entry. Returns the view in use; null
    /// while no agent has had a configuration.
    std::shared_ptr<const configuration::view> adopt(configuration::view candidate,
                                                     base::time_point now);

    /// Marks a replica as draining at once, before the agent's next view says so.
    void mark_draining(const std::string& replica_name, base::time_point now);

    /// Forgets drains that this process alone has seen and whose time is over. Returns the view in
    /// use; null before the first one.
    std::shared_ptr<const configuration::view> expire_drains(base::time_point now);

    /// Takes the names of replicas that were marked since the last call.
    std::vector<std::string> take_new_drains();
    /// Puts a name back whose report failed.
    void retry_drain_report(const std::string& replica_name);

private:
    // A drain seen in a reply.
    struct own_drain
    {
        base::time_point end;
        // The agent's view has named it since. When a later view does not, the upstream is back.
        bool is_known_to_agent = false;
    };

    mutable std::mutex m_mutex;
    // Guarded by m_mutex. Neither its configuration version nor any current index version ever
    // decreases.
    std::shared_ptr<const configuration::view> m_view;
    std::map<std::string, own_drain> m_own_drains;
    std::vector<std::string> m_new_drains;
};

} // namespace ospreystair::entry

#endif
