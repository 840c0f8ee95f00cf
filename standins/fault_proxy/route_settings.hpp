// Settings of a route, as given in the --routes setting.

#ifndef OSPREYSTAIR_STANDINS_FAULT_PROXY_ROUTE_SETTINGS_HPP
#define OSPREYSTAIR_STANDINS_FAULT_PROXY_ROUTE_SETTINGS_HPP

#include <optional>
#include <string>
#include <vector>

#include "base/error.hpp"
#include "settings/option_table.hpp"

namespace ospreystair::fault_proxy
{

enum class transport
{
    tcp,
    udp
};

struct route_settings
{
    transport protocol = transport::tcp;
    settings::socket_address listen;
    settings::socket_address target;

    /// The route's name on the control port: `<listen>` for TCP, `udp:<listen>` for UDP.
    std::string name() const;
};

/// Parses `127.0.0.1:9000=127.0.0.1:8000;udp:127.0.0.1:9001=127.0.0.1:8001`.
/// Fails with invalid_settings.
std::optional<std::vector<route_settings>> parse_routes(const std::string& text,
                                                        base::error& reason);

} // namespace ospreystair::fault_proxy

#endif
