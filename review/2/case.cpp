// Versions of the configuration change the parts of a split route, while tenants near their quotas
// use it, so that requests wait for the keeper of the quota.

#include <fmt/format.h>

#include "review/harness/stage.hpp"

using namespace review;

namespace
{

constexpr milliseconds work{60};
// One way between two zones.
constexpr milliseconds network_time{1};
// The operator publishes a version every 3 s.
constexpr milliseconds change_gap{3'000};
constexpr int changes = 4;
constexpr int replicas_of_part = 4;
constexpr int many_parts = 8;
constexpr int few_parts = 4;
constexpr double rate_per_s = 120;
constexpr milliseconds time_between_calls{20};
constexpr int callers_of_tenant = 5;
// The platform starts a process again after a short delay.
constexpr milliseconds restart_delay{500};

struct ledger
{
    std::mutex mutex;
    std::map<std::string, std::string> arrived_at;
    std::map<int, unsigned> statuses;
    std::map<std::string, unsigned> errors;
    unsigned lost = 0;
};

std::string make_part_name(int index)
{
    return fmt::format("stream-control-{}", index);
}

Json::Value make_routes(int parts)
{
    Json::Value route = stage::make_route("lookup", "/lookup/", "idempotent", 2'000, 400, 2);
    for (int index = 0; index < parts; ++index)
    {
        Json::Value part;
        part["service"] = make_part_name(index);
        part["weight"] = 1;
        route["trafficSplit"].append(part);
    }
    Json::Value result;
    result.append(route);
    return result;
}

} // namespace

int main(int, const char** arguments)
{
    stage scene(arguments[1]);
    ledger seen;
    const char* const zones[] = {"riga-centrs", "riga-purvciems", "riga-imanta"};
    for (int index = 0; index < replicas_of_part * many_parts; ++index)
        scene.add_replica(make_part_name(index / replicas_of_part), zones[index % 3], 3,
                          [&](replica& self, replica::session& current, const message& request)
                          {
                              const std::string id = request.field("request-id");
                              scene.log().write(fmt::format("{} runs {}", self.id(), id));
                              {
                                  const std::scoped_lock lock(seen.mutex);
                                  seen.arrived_at[id] = self.id();
                              }
                              sleep_for(work);
                              current.link.send(self.make_answer(request, "200 OK", true, "found"));
                          });
    const std::vector<std::string> names = {"mourners", "studio", "bishop",
                                            "florist",  "family", "archive"};
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
    scene.publish(make_routes(many_parts), tenants, 40);
    scene.delay_peers(network_time);
    for (const char* zone : zones)
        scene.add_gateway(fmt::format("front-{}-1", zone), zone, true);
    scene.wait_until_ready();
    sleep_for(milliseconds{4'000});

    std::atomic<bool> is_over{false};
    std::vector<std::thread> callers;
    for (const auto& vm : scene.gateways())
        for (const std::string& name : names)
            for (int number = 0; number < callers_of_tenant; ++number)
                callers.emplace_back(
                    [&, name]
                    {
                        caller own(*vm);
                        while (!is_over)
                        {
                            sleep_for(time_between_calls);
                            call wanted;
                            wanted.id = scene.make_id();
                            wanted.path = "/lookup/7";
                            wanted.key = "key-of-" + name;
                            wanted.deadline_ms = 2'000;
                            const auto ended = own.send(wanted);
                            const int status =
                                ended.end == caller::outcome::answered ? ended.answer.status() : 0;
                            scene.log().write(fmt::format("{} of {} at {} is answered {} {}",
                                                          wanted.id, name, vm->name, status,
                                                          status == 200 ? "" : ended.answer.body));
                            const std::scoped_lock lock(seen.mutex);
                            ++seen.statuses[status];
                            const bool is_lost = ended.end == caller::outcome::closed &&
                                                 ended.is_kept_connection &&
                                                 seen.arrived_at.contains(wanted.id);
                            if (!is_lost)
                                continue;
                            ++seen.lost;
                            scene.log().say(fmt::format(
                                "LOST: {} of a kept connection was passed on to {} by {}, and the "
                                "connection ended without an answer",
                                wanted.id, seen.arrived_at[wanted.id], vm->name));
                        }
                    });
    unsigned crashes = 0;
    const auto watch = [&](milliseconds time)
    {
        const auto end = clock::now() + time;
        while (clock::now() < end)
        {
            for (const auto& vm : scene.gateways())
                if (const auto cause = scene.find_end(*vm))
                {
                    ++crashes;
                    scene.log().say(fmt::format("{} has ended by itself: {}", vm->name, *cause));
                    sleep_for(restart_delay);
                    scene.start(*vm);
                }
            sleep_for(milliseconds{10});
        }
    };
    watch(milliseconds{8'000});
    scene.log().write("the changes begin");
    for (int change = 0; change < changes && has_trouble(); ++change)
    {
        scene.publish(make_routes(change % 2 == 0 ? few_parts : many_parts), tenants, 40);
        watch(change_gap);
    }
    scene.log().write("the changes end");
    watch(milliseconds{10'000});
    is_over = true;
    for (std::thread& each : callers)
        each.join();
    for (const auto& [status, count] : seen.statuses)
        scene.log().say(fmt::format("requests that end with status {}: {}", status, count));
    scene.log().say(fmt::format("{} processes ended by themselves, {} requests of kept connections "
                                "were passed on and lost (allowed: 3)",
                                crashes, seen.lost));
    constexpr unsigned allowed = 3;
    if (seen.statuses[200] < 1'000)
        return 2;
    return seen.lost > allowed ? 1 : 0;
}
