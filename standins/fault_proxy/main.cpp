// fault-proxy: forwards TCP connections and UDP datagrams between processes and injects faults.

#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/random.hpp"
#include "http/client_connection.hpp"
#include "settings/option_table.hpp"
#include "standins/fault_proxy/route.hpp"
#include "standins/upstream/control_port.hpp"
#include "standins/upstream/worker_contexts.hpp"

namespace ospreystair::fault_proxy
{

namespace
{

std::optional<bool> run(int argc, const char** argv, base::error& reason)
{
    const std::vector<settings::option> options{
        {"routes", "Routes: ip:port=ip:port or udp:ip:port=ip:port, separated by semicolons",
         std::nullopt},
        {"control", "Address of the control port", std::nullopt},
        {"threads", "Threads among which the routes are distributed", "2"},
        {"seed", "Seed of the random choice of lost datagrams", "1"},
    };
    const auto table = settings::option_table::create(
        "fault-proxy", "Forwards connections and datagrams, and disturbs them on request.", options,
        argc, argv, reason);
    if (!table)
        return std::nullopt;
    const auto routes = parse_routes(table->text("routes"), reason);
    if (!routes)
        return std::nullopt;
    const auto control = table->address("control", reason);
    const auto thread_count = table->number("threads", 1, 64, reason);
    const auto seed = table->number("seed", 0, UINT64_MAX, reason);
    if (!control || !thread_count || !seed)
        return std::nullopt;

    standins::worker_contexts contexts(*thread_count);
    std::vector<std::shared_ptr<route>> items;
    for (const route_settings& settings : *routes)
    {
        auto created = route::create(contexts.worker(items.size()), settings,
                                     base::mix_bits(*seed + items.size()), reason);
        if (!created)
            return std::nullopt;
        items.push_back(std::move(*created));
    }
    const auto port = std::make_shared<standins::control_port<route>>("routes", items);
    if (!port->listen(contexts.control(), http::make_endpoint(control->host, control->port),
                      reason))
        return std::nullopt;
    fmt::print(stderr, "info fault-proxy started routes={} control={}\n", items.size(),
               control->to_text());
    contexts.run_until_signal();
    return true;
}

} // namespace

} // namespace ospreystair::fault_proxy

int main(int argc, const char** argv)
{
    using namespace ospreystair;
    base::error reason;
    if (fault_proxy::run(argc, argv, reason))
        return 0;
    fmt::print(stderr, "error {}: {}\n", base::to_string(reason.kind), reason.message);
    return 1;
}
