// Tenants with quotas send more than their quotas at all machines, and a machine is added. Counts
// the requests of each tenant that run in any window of the quota.

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "review/harness/stage.hpp"

using namespace review;

namespace
{

constexpr double rate_per_s = 80;
constexpr double window_s = 5;
constexpr double quota_over = 0.1;
constexpr double quota_slack = 20;
// (ratePerS x window + burst) x (1 + quotaOver) + quotaSlack, with burst 0.
constexpr double allowed = rate_per_s * window_s * (1 + quota_over) + quota_slack;
constexpr milliseconds work{2};
constexpr milliseconds time_between_calls{40};
constexpr int callers_of_tenant = 3;

struct run
{
    double sent_at = 0;
    double arrived_at = 0;
    std::string vm;
};

struct ledger
{
    std::mutex mutex;
    std::map<std::string, double> sent_at;
    std::map<std::string, std::string> sent_to;
    std::map<std::string, std::vector<run>> runs;
    std::map<std::string, bool> has_run;
    std::map<int, unsigned> statuses;
};

// The window with the most requests that are sent and arrive in it.
std::pair<std::size_t, double> find_worst_window(std::vector<run> runs)
{
    std::sort(runs.begin(), runs.end(),
              [](const run& left, const run& right) { return left.arrived_at < right.arrived_at; });
    std::pair<std::size_t, double> worst{0, 0};
    for (std::size_t last = 0; last < runs.size(); ++last)
    {
        const double begin = runs[last].arrived_at - window_s;
        std::size_t count = 0;
        for (std::size_t each = last + 1; each-- > 0 && runs[each].arrived_at >= begin;)
            count += runs[each].sent_at >= begin ? 1 : 0;
        if (count > worst.first)
            worst = {count, begin};
    }
    return worst;
}

} // namespace

int main(int, const char** arguments)
{
    stage scene(arguments[1]);
    ledger seen;
    const char* const zones[] = {"riga-centrs", "riga-purvciems", "riga-imanta"};
    for (int index = 0; index < 6; ++index)
        scene.add_replica(
            "school-dashboard", zones[index % 3], 3,
            [&](replica& self, replica::session& current, const message& request)
            {
                const std::string id = request.field("request-id");
                const std::string tenant = request.field("tenant");
                scene.log().write(fmt::format("{} runs {} of {}", self.id(), id, tenant));
                {
                    const std::scoped_lock lock(seen.mutex);
                    if (!std::exchange(seen.has_run[id], true))
                        seen.runs[tenant].push_back(
                            {seen.sent_at[id], seconds_since_start(), seen.sent_to[id]});
                }
                sleep_for(work);
                current.link.send(self.make_answer(request, "200 OK", true, "found"));
            });
    const std::vector<std::string> names = {"mourners", "studio", "bishop",
                                            "florist",  "family", "archive"};
    Json::Value routes;
    Json::Value lookup = stage::make_route("lookup", "/lookup/", "idempotent", 2'000, 400, 2);
    lookup["service"] = "school-dashboard";
    routes.append(lookup);
    Json::Value tenants(Json::arrayValue);
    for (const std::string& name : names)
    {
        Json::Value tenant;
        tenant["name"] = name;
        tenant["apiKeys"].append("key-of-" + name);
        tenant["ratePerS"] = rate_per_s;
        tenant["burst"] = 0;
        tenants.append(tenant);
    }
    scene.publish(routes, tenants, 40);
    for (const char* zone : zones)
        scene.add_gateway(fmt::format("front-{}-1", zone), zone, true);
    scene.wait_until_ready();
    sleep_for(milliseconds{4'000});

    std::atomic<bool> is_over{false};
    std::vector<std::thread> callers;
    const auto start_callers = [&](const gateway& vm)
    {
        for (const std::string& name : names)
            for (int number = 0; number < callers_of_tenant; ++number)
                callers.emplace_back(
                    [&, name]
                    {
                        caller own(vm);
                        auto next = clock::now();
                        while (!is_over)
                        {
                            std::this_thread::sleep_until(next);
                            next = std::max(next + time_between_calls, clock::now());
                            call wanted;
                            wanted.id = scene.make_id();
                            wanted.path = "/lookup/7";
                            wanted.key = "key-of-" + name;
                            wanted.deadline_ms = 2'000;
                            {
                                const std::scoped_lock lock(seen.mutex);
                                seen.sent_at[wanted.id] = seconds_since_start();
                                seen.sent_to[wanted.id] = vm.name;
                            }
                            const auto ended = own.send(wanted);
                            const int status =
                                ended.end == caller::outcome::answered ? ended.answer.status() : 0;
                            scene.log().write(fmt::format("{} of {} at {} is answered {}",
                                                          wanted.id, name, vm.name, status));
                            const std::scoped_lock lock(seen.mutex);
                            ++seen.statuses[status];
                        }
                    });
    };
    for (const auto& vm : scene.gateways())
        start_callers(*vm);
    sleep_for(milliseconds{20'000});
    if (has_trouble())
    {
        scene.log().say(fmt::format("{:.1f} s: a machine is added", seconds_since_start()));
        gateway& added = scene.add_gateway("front-riga-imanta-2", "riga-imanta", false);
        // The platform sends it callers once it is ready.
        while (!scene.is_ready(added) && seconds_since_start() < 60)
            sleep_for(milliseconds{100});
        scene.log().say(fmt::format("{:.1f} s: it is ready", seconds_since_start()));
        start_callers(added);
    }
    sleep_for(milliseconds{18'000});
    is_over = true;
    for (std::thread& each : callers)
        each.join();

    unsigned broken = 0;
    for (const std::string& name : names)
    {
        const auto [count, begin] = find_worst_window(seen.runs[name]);
        std::map<std::string, unsigned> by_vm;
        for (const run& each : seen.runs[name])
            if (each.sent_at >= begin && each.arrived_at <= begin + window_s)
                ++by_vm[each.vm];
        std::string parts;
        for (const auto& [vm, part] : by_vm)
            parts += fmt::format(" {} {}", vm, part);
        const bool is_broken = static_cast<double>(count) > allowed;
        broken += is_broken ? 1 : 0;
        scene.log().say(
            fmt::format("{}{}: at most {} requests ran in {} s (from {:.1f} s;{}), {:.0f} "
                        "are allowed",
                        is_broken ? "QUOTA: " : "", name, count, window_s, begin, parts, allowed));
    }
    for (const auto& [status, count] : seen.statuses)
        scene.log().say(fmt::format("answers with status {}: {}", status, count));
    scene.log().say(fmt::format("{} of {} tenants ran more than is allowed", broken, names.size()));
    if (seen.statuses[200] < 2'000 || seen.statuses[429] < 500)
        return 2;
    return broken > 0 ? 1 : 0;
}
