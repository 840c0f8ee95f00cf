// Measures the time to plan the connections of all services after a change of one replica: with the
// plans of the other services kept, and with all planned anew. Prints a table. Arguments: VMs,
// services, replicas of each.

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "base/number.hpp"
#include "routing/connection_planner.hpp"

namespace
{

using namespace ospreystair;

std::vector<routing::node_location> make_locations(const std::string& prefix, unsigned count)
{
    constexpr unsigned data_centres = 3;
    std::vector<routing::node_location> result;
    for (unsigned index = 0; index < count; ++index)
        result.push_back(
            {fmt::format("{}-{:03}", prefix, index), fmt::format("dc{}", index % data_centres)});
    return result;
}

struct fleet
{
    unsigned vms = 144;
    unsigned services = 147;
    unsigned replicas = 3;
};

// Plans all services; the first of them has `changed` as an additional replica.
double plan_all(routing::connection_planner& planner, const fleet& size, const std::string& changed)
{
    constexpr std::uint32_t limit = 80;
    const auto start = std::chrono::steady_clock::now();
    for (unsigned index = 0; index < size.services; ++index)
    {
        const std::string name = fmt::format("service-{}", index);
        auto replicas = make_locations(name, size.replicas);
        if (index == 0)
            replicas.push_back({changed, "dc0"});
        planner.plan(name, std::move(replicas), limit);
    }
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
        .count();
}

} // namespace

int main(int argument_count, char** arguments)
{
    fleet size;
    const auto read = [&](int index, unsigned& value)
    {
        if (argument_count > index)
            value = base::parse_number<unsigned>(arguments[index]).value_or(value);
    };
    read(1, size.vms);
    read(2, size.services);
    read(3, size.replicas);
    constexpr int runs = 21;
    std::vector<double> anew;
    std::vector<double> kept;
    for (int run = 0; run < runs; ++run)
    {
        routing::connection_planner planner("vm-007");
        planner.set_vms(make_locations("vm", size.vms));
        anew.push_back(plan_all(planner, size, "a"));
        kept.push_back(plan_all(planner, size, "b"));
    }
    std::sort(anew.begin(), anew.end());
    std::sort(kept.begin(), kept.end());
    fmt::print("vms services replicas ms_all_anew ms_one_changed (medians)\n{:>3} {:>8} {:>8} "
               "{:>11.2f} {:>14.2f}\n",
               size.vms, size.services, size.replicas, anew[runs / 2], kept[runs / 2]);
    return 0;
}
