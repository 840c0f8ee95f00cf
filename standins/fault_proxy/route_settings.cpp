// Parses the --routes setting.

#include "standins/fault_proxy/route_settings.hpp"

#include <set>
#include <string_view>

#include <fmt/format.h>

namespace ospreystair::fault_proxy
{

namespace
{

constexpr std::string_view udp_prefix = "udp:";

std::optional<route_settings> parse_route(std::string_view text)
{
    route_settings route;
    if (text.starts_with(udp_prefix))
    {
        route.protocol = transport::udp;
        text.remove_prefix(udp_prefix.size());
    }
    const std::size_t equals = text.find('=');
    if (equals == std::string_view::npos)
        return std::nullopt;
    const auto listen = settings::socket_address::from_text(text.substr(0, equals));
    const auto target = settings::socket_address::from_text(text.substr(equals + 1));
    if (!listen || !target)
        return std::nullopt;
    route.listen = *listen;
    route.target = *target;
    return route;
}

} // namespace

std::string route_settings::name() const
{
    return protocol == transport::udp ? std::string(udp_prefix) + listen.to_text()
                                      : listen.to_text();
}

std::optional<std::vector<route_settings>> parse_routes(const std::string& text,
                                                        base::error& reason)
{
    std::vector<route_settings> routes;
    std::set<std::string> names;
    std::string_view rest = text;
    while (!rest.empty())
    {
        const std::size_t end = rest.find(';');
        const std::string_view entry = rest.substr(0, end);
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
        if (entry.empty())
            continue;
        const auto route = parse_route(entry);
        if (!route || !names.insert(route->name()).second)
            return base::fail(reason, base::error_kind::invalid_settings,
                              fmt::format("--routes has the malformed or repeated entry \"{}\"; "
                                          "give ip:port=ip:port or udp:ip:port=ip:port",
                                          entry));
        routes.push_back(*route);
    }
    if (routes.empty())
        return base::fail(reason, base::error_kind::invalid_settings,
                          "--routes is empty; give ip:port=ip:port, separated by semicolons");
    return routes;
}

} // namespace ospreystair::fault_proxy
