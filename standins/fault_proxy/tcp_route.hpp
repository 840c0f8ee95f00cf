// A TCP route: a listening port whose connections are carried to a target.

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

/// Runs on one context that a single thread runs, so that its state needs no lock. Call every
/// member on that thread, except create().
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
    void refuse_new();
    void accept_new();
    http::awaitable<void> accept_connections();
    http::awaitable<void> carry(std::shared_ptr<tunnel> current);
    http::awaitable<bool> connect_target(std::shared_ptr<tunnel> current);
    http::awaitable<void> receive(std::shared_ptr<tunnel> current, direction way);
    http::awaitable<void> deliver(std::shared_ptr<tunnel> current, direction way);
    bool take_in(tunnel& current, direction way, std::string bytes);
    void open_half(tunnel& current);
    void reset(tunnel& current);
    void wake_all();

    http::asio::io_context& m_context;
    const http::tcp::endpoint m_listen;
    const http::tcp::endpoint m_target;
    http::tcp::acceptor m_acceptor;
    // Whether accept_connections() runs; it ends when the route is cut.
    bool m_is_accepting = false;
    route_behaviour m_behaviour;
    route_counts m_counts;
    std::unordered_set<std::shared_ptr<tunnel>> m_tunnels;
};

} // namespace ospreystair::fault_proxy

#endif
