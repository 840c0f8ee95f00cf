// Runs the membership state machine (SWIM) on a UDP socket and a timer, and copies the members,
// indexes and drains that it reports into the agent's state.

#ifndef OSPREYSTAIR_PROGRAMS_AGENT_GOSSIP_SERVICE_HPP
#define OSPREYSTAIR_PROGRAMS_AGENT_GOSSIP_SERVICE_HPP

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "agent_settings.hpp"
#include "agent_state.hpp"
#include "base/clock.hpp"
#include "base/random.hpp"
#include "drain_register.hpp"
#include "http/asio.hpp"
#include "membership/swim.hpp"
#include "observe/event_log.hpp"
#include "observe/metrics.hpp"

namespace ospreystair::agent
{

/// Thread-safe.
class gossip_service
{
public:
    /// Called with the control address of a member that has a newer version of a register.
    using fetch_function = std::function<void(const std::string& holder)>;

    /// Binds the UDP port. Fails with address_in_use or invalid_settings.
    static std::optional<std::unique_ptr<gossip_service>>
    create(http::asio::io_context& context, const agent_settings& settings, agent_state& state,
           observe::event_log& events, observe::metrics& metrics, base::error& reason);

    /// Starts probing. `fetch` must not block.
    void start(fetch_function fetch);
    /// Sends the leave message to other members and stops probing.
    void leave();

    /// Disseminates a register to the other members.
    void publish(const protocol::register_item& item);
    /// Publishes that an upstream is draining or serving, unless its register already says so.
    /// A drain that is about to expire is extended.
    void publish_drain(const std::string& upstream, bool is_draining);
    /// Makes the configuration version known to the other members.
    void announce_configuration(std::uint64_t version);
    void merge_members(const std::vector<protocol::member_record>& records);
    void set_seeds(std::set<std::string> addresses);

    std::vector<protocol::member_record> members() const;
    std::map<std::string, std::uint64_t> register_versions() const;
    std::vector<protocol::register_item>
    newer_registers(const std::map<std::string, std::uint64_t>& known_versions) const;
    /// A hash of the live members and the register versions, equal on agents with the same state.
    std::string digest() const;
    /// Whether this agent watches the platform for its data centre.
    bool is_watcher() const;
    /// The drains that are in force, by the name of the upstream.
    std::map<std::string, drain_register> drains() const;
    /// Whether this agent performs `task` at present: no other member that is alive or suspect has
    /// a lower hash of the task and its VM name. Agents with the same member list agree on it.
    bool is_responsible_for(const std::string& task) const;

private:
    using swim_machine = membership::swim<base::steady_clock_source, base::seeded_random>;

    gossip_service(http::asio::io_context& context, const agent_settings& settings,
                   agent_state& state, observe::event_log& events, observe::metrics& metrics);
    bool bind(const settings::socket_address& address, base::error& reason);
    http::awaitable<void> receive_loop();
    http::awaitable<void> tick_loop();
    void receive(std::string_view bytes);
    // Sends the datagrams of `output`, logs and adopts its changes, and starts its register
    // fetches. m_mutex must not be held.
    void apply(membership::swim_output output);
    void send(membership::outgoing_datagram item);
    void log_changes(const membership::swim_output& output);
    void refresh_state();

    agent_state& m_state;
    observe::event_log& m_events;
    observe::counter& m_sent_bytes;
    observe::counter& m_sent_datagrams;
    observe::counter& m_received_bytes;
    observe::counter& m_refused_datagrams;
    observe::gauge& m_live_members;
    const base::steady_clock_source m_clock{};
    http::asio::strand<http::asio::io_context::executor_type> m_strand;
    // Used on m_strand only.
    http::asio::ip::udp::socket m_socket;
    http::asio::steady_timer m_timer;
    fetch_function m_fetch;
    mutable std::mutex m_mutex;
    // Guarded by m_mutex.
    base::seeded_random m_random;
    swim_machine m_swim;
    bool m_is_name_taken = false;
};

} // namespace ospreystair::agent

#endif
