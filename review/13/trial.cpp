// The replicas of a service turn slow. Gateways that hear from no replica for 0.4 s take themselves
// to be cut off, although every request is in work, and hand requests in progress to other
// machines, which send them to further replicas.

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <set>
#include <thread>

#include <fmt/format.h>

#include "review/stand-ins-3/deployment.hpp"

namespace
{

using namespace review;

constexpr std::size_t machines = 8;
constexpr int replicas = 5;
// One consumer sends a request a second on average: 24 a second in all, 22.5 on the sheet.
constexpr std::size_t consumers_of_a_machine = 3;
constexpr milliseconds interval{1'000};
constexpr milliseconds deadline{2'000};
constexpr milliseconds objective{400};
constexpr unsigned max_attempts = 2;
constexpr milliseconds work_time{90};
// `srv_slow` in the site file: up to 8.5 times as long, for 6.5 s.
constexpr double slow_factor = 8.5;
constexpr milliseconds slow_time{6'500};
constexpr milliseconds lead_time{5'000};
constexpr milliseconds tail_time{4'000};
constexpr milliseconds answer_time{3'000};

std::atomic<double> current_factor{1};

bool work(replica& self, connection& peer, const message& request)
{
    if (self.refuse_foreign(peer, request))
        return true;
    const std::string receipt = self.run(request, peer.peer_ip());
    // From 0.7 to 1.3 times the mean.
    std::this_thread::sleep_for(work_time * current_factor.load() *
                                (0.7 + static_cast<double>(random() % 60) / 100));
    return peer.send(replica::make_answer(request, receipt));
}

void consume(deployment& system, record& log, std::size_t machine, clock::time_point end,
             std::atomic<unsigned>& answered)
{
    std::unique_ptr<connection> link;
    std::this_thread::sleep_for(milliseconds{random() % interval.count()});
    while (clock::now() < end)
    {
        const clock::time_point sent_at = clock::now();
        if (!link || link->has_ended())
            link = system.connect(machine);
        const std::string id = make_id();
        std::optional<message> reply;
        // Each request is another one.
        if (link && link->send(make_head("GET", "/school/" + id, id, deadline) + "\r\n"))
            reply = link->read_message(answer_time);
        if (!reply || reply->find("connection") == "close")
            link.reset();
        answered += reply ? 1 : 0;
        log.write(
            fmt::format("machine {} {}: {}", machine, id, reply ? reply->first_line : "no answer"));
        std::this_thread::sleep_until(sent_at + interval * 7 / 10 +
                                      milliseconds{random() % (interval.count() * 6 / 10)});
    }
}

} // namespace

int main()
{
    srandom(static_cast<unsigned>(time(nullptr)));
    record log("review/13/record.txt");
    deployment_options options;
    options.gateways = machines;
    deployment system(options, log);
    for (int index = 0; index < replicas; ++index)
        system.add_replica("school", work);
    system.configuration()["services"][0]["maxConns"] = 40;
    Json::Value& route = system.add_route("/school/", "school", "idempotent");
    route["sloMs"] = static_cast<Json::Int64>(objective.count());
    route["timeoutMs"] = static_cast<Json::Int64>(deadline.count());
    route["maxAttempts"] = max_attempts;
    system.publish();
    system.start();

    const clock::time_point slow_at = clock::now() + lead_time;
    const clock::time_point end = slow_at + slow_time + tail_time;
    std::atomic<unsigned> answered{0};
    std::vector<std::thread> threads;
    for (std::size_t index = 0; index < machines * consumers_of_a_machine; ++index)
        threads.emplace_back([&, index] { consume(system, log, index % machines, end, answered); });
    std::this_thread::sleep_until(slow_at);
    if (has_trouble())
    {
        log.write("the replicas turn slow");
        current_factor = slow_factor;
        std::this_thread::sleep_for(slow_time);
        current_factor = 1;
        log.write("the replicas are as usual");
    }
    for (std::thread& each : threads)
        each.join();

    // Which replicas have begun to run each request.
    std::map<std::string, std::set<std::string>> runners;
    for (const auto& each : system.replicas())
        for (const arrival& item : each->runs())
            runners[item.id].insert(item.replica);
    unsigned beyond = 0;
    std::size_t most = 0;
    for (const auto& [id, names] : runners)
    {
        most = std::max(most, names.size());
        if (names.size() <= max_attempts)
            continue;
        ++beyond;
        log.write(fmt::format("{} HAS RUN ON {} REPLICAS", id, names.size()));
    }
    const std::string result =
        fmt::format("{} requests have run, {} answers; {} ran on more than {} replicas, at most {}",
                    runners.size(), answered.load(), beyond, max_attempts, most);
    log.write(result);
    std::puts(result.c_str());
    if (answered == 0)
        return case_failed;
    constexpr unsigned allowed = 3;
    return beyond > allowed ? rule_broken : rule_held;
}
