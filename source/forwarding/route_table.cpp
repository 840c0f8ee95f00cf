// Validation of route tables, and the lookup of a request's route.

#include "forwarding/route_table.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include <fmt/format.h>

namespace ospreystair::forwarding
{

namespace
{

bool check_route(const route& item, base::error& reason)
{
    const auto reject = [&](const char* problem)
    {
        base::fail(reason, base::error_kind::invalid_argument,
                   fmt::format("route \"{}\": {}", item.name, problem));
        return false;
    };
    if (item.host.empty())
        return reject("the host is empty; name the host that callers send");
    if (normalize_host(item.host) != item.host)
        return reject("the host has more than one colon; name it without a port");
    if (item.path_prefix.empty() || item.path_prefix.front() != '/' ||
        item.path_prefix.back() != '/')
        return reject("the path prefix must begin and end with a slash");
    // The part of a request target after a question mark is the query string.
    if (item.path_prefix.find('?') != std::string::npos)
        return reject("the path prefix must not contain a question mark");
    if (item.services.empty() == item.shards.empty())
        return reject("name either one or more services, or shards");
    if (item.max_attempts == 0)
        return reject("at least one attempt must be allowed");
    if (item.timeout.count() <= 0 || item.objective.count() <= 0)
        return reject("the timeout and the objective must be above 0 ms");
    if (item.is_gather() && !item.is_idempotent)
        return reject("a request over shards must be idempotent");
    if (item.is_gather() && !(item.min_coverage >= 0 && item.min_coverage <= 1))
        return reject("the least coverage must lie between 0 and 1");
    double total = 0;
    for (const weighted_service& part : item.services)
    {
        if (!(part.weight >= 0) || !std::isfinite(part.weight))
            return reject("weights must be finite and not below 0");
        total += part.weight;
    }
    if (!item.services.empty() && total <= 0)
        return reject("at least one weight must be above 0");
    return true;
}

} // namespace

std::size_t route::min_parts() const
{
    // Without the tolerance, a share such as 0.95 of 20 could be rounded up to 20 of 20.
    constexpr double rounding_tolerance = 1e-9;
    const double share = min_coverage * static_cast<double>(shards.size());
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::ceil(share - rounding_tolerance)),
                                   1, std::max<std::size_t>(1, shards.size()));
}

std::string normalize_host(std::string_view host)
{
    const std::size_t colon = host.rfind(':');
    if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos)
        host = host.substr(0, colon);
    std::string result(host);
    for (char& letter : result)
        if (letter >= 'A' && letter <= 'Z')
            letter = static_cast<char>(letter - 'A' + 'a');
    return result;
}

std::optional<route_table> route_table::create(std::uint64_t version, std::vector<route> routes,
                                               std::vector<service_limits> services,
                                               caller_limits limits, base::error& reason)
{
    route_table result;
    result.m_version = version;
    result.m_routes = std::move(routes);
    result.m_services = std::move(services);
    result.m_limits = limits;
    for (std::size_t index = 0; index < result.m_services.size(); ++index)
        result.m_service_of_name.emplace(result.m_services[index].name, index);
    for (std::size_t index = 0; index < result.m_routes.size(); ++index)
    {
        route& item = result.m_routes[index];
        item.host = normalize_host(item.host);
        if (!check_route(item, reason))
            return std::nullopt;
        result.m_routes_of_host[item.host].push_back(index);
        result.m_route_of_name.emplace(item.name, index);
    }
    for (auto& [host, indexes] : result.m_routes_of_host)
    {
        const auto prefix = [&](std::size_t index) -> const std::string&
        {
            return result.m_routes[index].path_prefix;
        };
        std::sort(indexes.begin(), indexes.end(),
                  [&](std::size_t left, std::size_t right)
                  { return prefix(left) < prefix(right); });
        const auto duplicate = std::adjacent_find(indexes.begin(), indexes.end(),
                                                  [&](std::size_t left, std::size_t right)
                                                  { return prefix(left) == prefix(right); });
        if (duplicate != indexes.end())
            return base::fail(reason, base::error_kind::invalid_argument,
                              fmt::format("host \"{}\" has two routes for \"{}\"; remove one", host,
                                          prefix(*duplicate)));
        result.link_enclosing(indexes);
    }
    return result;
}

void route_table::link_enclosing(const std::vector<std::size_t>& sorted_indexes)
{
    m_enclosing.resize(m_routes.size(), no_route);
    std::size_t previous = no_route;
    for (const std::size_t index : sorted_indexes)
    {
        const std::string& own = m_routes[index].path_prefix;
        while (previous != no_route && !own.starts_with(m_routes[previous].path_prefix))
            previous = m_enclosing[previous];
        m_enclosing[index] = previous;
        previous = index;
    }
}

const route* route_table::find_route(std::string_view host, std::string_view path) const
{
    const auto found = m_routes_of_host.find(normalize_host(host));
    if (found == m_routes_of_host.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    const std::vector<std::size_t>& indexes = found->second;
    // The prefixes that begin the path also begin the last one that does not sort after the path.
    const auto next = std::upper_bound(indexes.begin(), indexes.end(), path,
                                       [this](std::string_view wanted, std::size_t index)
                                       { return wanted < m_routes[index].path_prefix; });
    std::size_t index = next == indexes.begin() ? no_route : *std::prev(next);
    while (index != no_route && !path.starts_with(m_routes[index].path_prefix))
        index = m_enclosing[index];
    return index == no_route ? nullptr : &m_routes[index];
}

std::set<std::string> route_table::shard_services() const
{
    std::set<std::string> result;
    for (const route& item : m_routes)
        result.insert(item.shards.begin(), item.shards.end());
    for (const route& item : m_routes)
        for (const weighted_service& single : item.services)
            result.erase(single.service);
    return result;
}

const route* route_table::find_named(std::string_view name) const
{
    const auto found = m_route_of_name.find(name);
    return found == m_route_of_name.end() ? nullptr : &m_routes[found->second];
}

const service_limits* route_table::find_service(std::string_view name) const
{
    const auto found = m_service_of_name.find(name);
    return found == m_service_of_name.end() ? nullptr : &m_services[found->second];
}

} // namespace ospreystair::forwarding
