// A TCP route: a listening port whose connections are forwarded to a target.

#ifndef OSPREYSTAIR_STANDINS_FAULT_PROXY_TCP_ROUTE_HPP
#define OSPREYSTAIR_STANDINS_FAULT_PROXY_TCP_ROUTE_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

#include <json/json.h>

#include "base/error.hpp"
#include "http/asio.hpp"
#include "standins/fault_proxy/route_behaviour.hpp"
#include "standins/fault_proxy/route_settings.hpp"

namespace ospreystair::fault_proxy
{

/// Runs on one io_context with a single thread, so its state needs no lock. Call every member but
/// create() on that thread.
class tcp_route : public std::enable_shared_from_this<tcp_route>
{
public:
    /// Binds the port and starts accepting; call it before `context` runs.
    /// Fails with address_in_use or invalid_settings.
    static std::optional<std::shared_ptr<tcp_route>>
    create(http::asio::io_context& context, const route_settings& settings, base::error& reason);

    std::optional<bool> apply(const Json::Value& change, base::error& reason);
    void reset_counts() { m_counts = {}; }
    Json::Value counts_to_json() const;

private:
    struct pipe;
    struct tunnel;

    struct route_counts
    {
        std::uint64_t connections = 0;
        std::uint64_t resets = 0;
        std::uint64_t unreachable = 0;
        std::uint64_t replies_lost = 0;
        std::uint64_t forward_bytes = 0;
        std::uint64_t backward_bytes = 0;
        std::uint64_t dropped_bytes = 0;
    };

    tcp_route(http::asio::io_context& context, const route_settings& settings);
    bool bind(boost::system::error_code& code);
    void refuse_connections();
    void start_accepting();
    http::awaitable<void> accept_connections();
    http::awaitable<void> serve(std::shared_ptr<tunnel> current_tunnel);
    http::awaitable<bool> connect_target(std::shared_ptr<tunnel> current_tunnel);
    http::awaitable<void> receive(std::shared_ptr<tunnel> current_tunnel, direction way);
    http::awaitable<void> send_queued(std::shared_ptr<tunnel> current_tunnel, direction way);
    /// Queues received bytes for sending, or drops them by the mode of the route. Returns false
    /// when the connection must be reset.
    bool enqueue(tunnel& current_tunnel, direction way, std::string bytes);
    void make_half_open(tunnel& current_tunnel);
    void reset(tunnel& current_tunnel);
    void wake_all();

    http::asio::io_context& m_context;
    const http::tcp::endpoint m_listen;
    const http::tcp::endpoint m_target;
    http::tcp::acceptor m_acceptor;
    // Whether accept_connections() runs; it ends when the mode becomes `cut`.
    bool m_is_accepting = false;
    route_behaviour m_behaviour;
    route_counts m_counts;
    std::unordered_set<std::shared_ptr<tunnel>> m_tunnels;
};

} // namespace ospreystair::fault_proxy

#endif
