// Reads the configuration, the index objects and the list of VMs from the platform as they change,
// and extends or ends drains that are about to expire.

#ifndef OSPREYSTAIR_PROGRAMS_AGENT_PLATFORM_FOLLOWER_HPP
#define OSPREYSTAIR_PROGRAMS_AGENT_PLATFORM_FOLLOWER_HPP

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "agent_state.hpp"
#include "base/random.hpp"
#include "gossip_service.hpp"
#include "http/asio.hpp"
#include "objects/http_object_store.hpp"
#include "observe/event_log.hpp"
#include "observe/metrics.hpp"

namespace ospreystair::agent
{

/// An agent that is a watcher keeps one watch open, on the configuration, and lists the index
/// objects every second, which is one call whatever the number of services. All others read
/// everything about once a minute. All members are used on one strand.
class platform_follower
{
public:
    platform_follower(http::asio::io_context& context, objects::http_object_store& store,
                      std::set<std::string> seeds, agent_state& state, gossip_service& gossip,
                      observe::event_log& events, observe::metrics& metrics);

    void start();
    /// Reads the configuration and the indexes at once. Thread-safe.
    void refresh();

private:
    http::awaitable<void> follow_configuration();
    http::awaitable<void> follow_indexes();
    http::awaitable<void> follow_vms();
    http::awaitable<void> check_drains();

    http::awaitable<bool> read_configuration();
    http::awaitable<bool> watch_configuration();
    http::awaitable<bool> read_indexes();
    http::awaitable<void> check_drain(std::string upstream);
    void adopt_configuration(const objects::stored_object& object);
    void adopt_index(const std::string& service, const objects::stored_object& object);
    void apply_vm_list(const std::vector<objects::vm_entry>& vms);
    // Counts a call, and logs the first failure and the first success after it.
    void record_call(bool is_success, std::string_view call, const base::error& reason);
    // Waits between 0.5 and 1.5 times `time`.
    http::awaitable<void> wait_with_jitter(std::chrono::milliseconds time);
    // `watcher_period` on a watcher, about a minute on other agents.
    std::chrono::milliseconds poll_period(std::chrono::milliseconds watcher_period) const;

    http::asio::io_context& m_context;
    http::asio::strand<http::asio::io_context::executor_type> m_strand;
    objects::http_object_store& m_store;
    const std::set<std::string> m_seeds;
    agent_state& m_state;
    gossip_service& m_gossip;
    observe::event_log& m_events;
    observe::counter& m_calls;
    observe::counter& m_failures;
    base::seeded_random m_random;
    bool m_is_reachable = true;
    // Highest versions read, including refused ones, so that those are not read repeatedly.
    std::uint64_t m_read_configuration_version = 0;
    std::map<std::string, std::uint64_t> m_read_index_versions;
};

} // namespace ospreystair::agent

#endif
