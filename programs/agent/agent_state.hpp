// The state that the agent provides to its entry: configuration, indexes, drains and members.

#ifndef OSPREYSTAIR_PROGRAMS_AGENT_AGENT_STATE_HPP
#define OSPREYSTAIR_PROGRAMS_AGENT_AGENT_STATE_HPP

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <json/json.h>

#include "base/error.hpp"
#include "configuration/view.hpp"
#include "observe/event_log.hpp"

namespace ospreystair::agent
{

/// Text and version of the configuration that this agent has adopted.
struct configuration_object
{
    std::uint64_t version = 0;
    std::string text;
};

/// Thread-safe. The versions of the configuration and of each index never decrease.
class agent_state
{
public:
    explicit agent_state(observe::event_log& events);

    /// Adopts a configuration object of a higher version if the whole object is valid.
    /// `text` has the platform object's form. Returns whether it was adopted.
    bool adopt_configuration(std::uint64_t version, const std::string& text,
                             std::string_view source);
    /// Adopts an index object of a higher version if it is valid and its current index version is
    /// not lower than that of the index state adopted before. Returns whether it was adopted.
    bool adopt_index(const std::string& service, std::uint64_t version, const std::string& text,
                     std::string_view source);
    /// Replaces the upstreams that are draining according to gossip. The view also names those that
    /// operators drain in the configuration.
    void set_draining(std::set<std::string> names);
    /// Replaces the members. A change of only their configuration versions does not raise the
    /// revision, because each new revision makes the entry read the whole view again.
    void set_members(std::vector<configuration::member> members);

    /// The configuration in the platform's form, without its history.
    configuration_object current_configuration() const;
    configuration::view current_view() const;
    std::uint64_t configuration_version() const;
    std::uint64_t index_version(const std::string& service) const;
    std::string index_text(const std::string& service) const;
    bool is_replica(const std::string& name) const;
    std::optional<settings::socket_address> replica_address(const std::string& name) const;

    /// The result of the `view` method: the whole view, or `changed` false when `since` is the
    /// current revision.
    Json::Value view_since(std::uint64_t since) const;

private:
    struct versioned_index
    {
        std::uint64_t version = 0;
        configuration::index_state state;
    };

    // Sets m_view.draining to the upstreams drained by gossip or configuration; m_mutex must be
    // held.
    void update_draining();
    // m_view with the indexes of the configured services; m_mutex must be held.
    configuration::view make_view() const;

    // Logs a refused document once per version, so that polling it does not repeat the line.
    void log_refusal(std::string_view name, std::uint64_t version, std::string_view source,
                     const base::error& reason);

    observe::event_log& m_events;
    mutable std::mutex m_mutex;
    // All below are guarded by m_mutex. m_view.configuration_version never decreases, nor does the
    // version or the current index version of any versioned_index.
    configuration::view m_view;
    std::set<std::string> m_gossip_draining;
    std::map<std::string, settings::socket_address> m_replica_addresses;
    std::map<std::string, versioned_index> m_indexes;
    std::map<std::string, std::uint64_t> m_refused_versions;
};

} // namespace ospreystair::agent

#endif
