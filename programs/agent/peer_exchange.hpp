// Compares and fetches state between agents by JSON-RPC.

#ifndef OSPREYSTAIR_PROGRAMS_AGENT_PEER_EXCHANGE_HPP
#define OSPREYSTAIR_PROGRAMS_AGENT_PEER_EXCHANGE_HPP

#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/thread_pool.hpp>
#include <json/json.h>

#include "agent_state.hpp"
#include "base/error.hpp"
#include "base/random.hpp"
#include "gossip_service.hpp"
#include "http/asio.hpp"
#include "observe/event_log.hpp"
#include "observe/metrics.hpp"
#include "settings/option_table.hpp"

namespace ospreystair::agent
{

/// Thread-safe.
class peer_exchange
{
public:
    peer_exchange(agent_state& state, gossip_service& gossip, observe::event_log& events,
                  observe::metrics& metrics);

    /// Answers the method `fetch` with the members, and with the registers and the configuration of
    /// which this agent has a newer version than the parameters name. With a `digest` it only says
    /// whether this agent's digest is equal.
    std::optional<Json::Value> answer_fetch(const Json::Value& parameters, base::error& reason);

    /// Fetches from one agent in the background, unless such a fetch is queued already.
    void fetch_from(const std::string& address);

    /// Fetches from `seeds` until a configuration is known, then compares digests with a random
    /// member every 10 s.
    http::awaitable<void> run(std::vector<settings::socket_address> seeds);

    /// Ends run(), and waits for the current call to end.
    void stop();

private:
    // compare(), fetch() and call() block and run on m_worker.
    void compare(const std::string& address);
    void fetch(const std::string& address);
    std::optional<Json::Value> call(const std::string& address, Json::Value parameters);
    void adopt(const Json::Value& result);
    // Returns the address of a random other member that is alive, or an empty string when there is
    // none.
    std::string pick_random_member();

    agent_state& m_state;
    gossip_service& m_gossip;
    observe::event_log& m_events;
    observe::counter& m_calls;
    observe::counter& m_failures;
    observe::counter& m_bytes;
    std::atomic<bool> m_is_stopping{false};
    std::mutex m_mutex;
    // Guarded by m_mutex.
    base::seeded_random m_random;
    // Addresses whose fetch is queued and has not begun.
    std::set<std::string> m_pending_fetches;
    http::asio::thread_pool m_worker{1};
};

} // namespace ospreystair::agent

#endif
