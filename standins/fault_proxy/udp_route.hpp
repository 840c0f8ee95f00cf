// A UDP route: forwards the datagrams of each client to the target from a separate socket, so that
// the answers of the target can be assigned to their client.

#ifndef OSPREYSTAIR_STANDINS_FAULT_PROXY_UDP_ROUTE_HPP
#define OSPREYSTAIR_STANDINS_FAULT_PROXY_UDP_ROUTE_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <json/json.h>

#include "base/error.hpp"
#include "base/random.hpp"
#include "http/asio.hpp"
#include "standins/fault_proxy/route_behaviour.hpp"
#include "standins/fault_proxy/route_settings.hpp"

namespace ospreystair::fault_proxy
{

/// Runs on one io_context with a single thread, so its state needs no lock. Call every member but
/// create() on that thread.
class udp_route : public std::enable_shared_from_this<udp_route>
{
public:
    /// Binds the port and starts receiving; call it before `context` runs.
    /// Fails with address_in_use or invalid_settings.
    static std::optional<std::shared_ptr<udp_route>> create(http::asio::io_context& context,
                                                            const route_settings& settings,
                                                            std::uint64_t seed,
                                                            base::error& reason);

    std::optional<bool> apply(const Json::Value& change, base::error& reason)
    {
        return m_behaviour.apply(change, reason);
    }
    void reset_counts() { m_counts = {}; }
    Json::Value counts_to_json() const;

private:
    using endpoint = http::asio::ip::udp::endpoint;
    using socket_pointer = std::shared_ptr<http::asio::ip::udp::socket>;

    struct route_counts
    {
        std::uint64_t forward_datagrams = 0;
        std::uint64_t backward_datagrams = 0;
        std::uint64_t dropped_datagrams = 0;
    };

    udp_route(http::asio::io_context& context, const route_settings& settings, std::uint64_t seed);
    http::awaitable<void> receive_from_clients();
    http::awaitable<void> receive_from_target(socket_pointer socket, endpoint client);
    socket_pointer find_session(const endpoint& client);
    void relay_datagram(direction way, socket_pointer socket, endpoint destination,
                        std::string bytes);

    http::asio::io_context& m_context;
    const endpoint m_listen;
    const endpoint m_target;
    socket_pointer m_socket;
    route_behaviour m_behaviour;
    route_counts m_counts;
    base::seeded_random m_random;
    std::size_t m_delayed_count = 0;
    // The socket through which the datagrams of each client are sent to the target.
    std::map<endpoint, socket_pointer> m_sessions;
};

} // namespace ospreystair::fault_proxy

#endif
