// A TCP or UDP route behind the interface that the control port needs.

#ifndef OSPREYSTAIR_STANDINS_FAULT_PROXY_ROUTE_HPP
#define OSPREYSTAIR_STANDINS_FAULT_PROXY_ROUTE_HPP

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "standins/fault_proxy/tcp_route.hpp"
#include "standins/fault_proxy/udp_route.hpp"

namespace ospreystair::fault_proxy
{

/// Satisfies standins::controllable.
class route
{
public:
    /// Fails with address_in_use or invalid_settings.
    static std::optional<std::shared_ptr<route>> create(http::asio::io_context& context,
                                                        const route_settings& settings,
                                                        std::uint64_t seed, base::error& reason)
    {
        if (settings.protocol == transport::udp)
            return wrap(context, settings, udp_route::create(context, settings, seed, reason));
        return wrap(context, settings, tcp_route::create(context, settings, reason));
    }

    const std::string& name() const { return m_name; }
    http::asio::io_context& context() { return m_context; }

    std::optional<bool> apply(const Json::Value& change, base::error& reason)
    {
        return std::visit([&](const auto& item) { return item->apply(change, reason); }, m_route);
    }
    void reset_counts()
    {
        std::visit([](const auto& item) { item->reset_counts(); }, m_route);
    }
    Json::Value counts_to_json() const
    {
        return std::visit([](const auto& item) { return item->counts_to_json(); }, m_route);
    }

private:
    using route_variant = std::variant<std::shared_ptr<tcp_route>, std::shared_ptr<udp_route>>;

    route(http::asio::io_context& context, std::string name, route_variant item)
        : m_name(std::move(name)), m_context(context), m_route(std::move(item))
    {
    }

    template<class Item>
    static std::optional<std::shared_ptr<route>> wrap(http::asio::io_context& context,
                                                      const route_settings& settings,
                                                      std::optional<std::shared_ptr<Item>> item)
    {
        if (!item)
            return std::nullopt;
        return std::shared_ptr<route>(new route(context, settings.name(), std::move(*item)));
    }

    const std::string m_name;
    http::asio::io_context& m_context;
    const route_variant m_route;
};

} // namespace ospreystair::fault_proxy

#endif
