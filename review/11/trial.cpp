// The replicas of three shards are partitioned from all machines for some seconds. The gateways
// never connect to them again, so that a route which is added later and needs most of the shards is
// not served.

#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <thread>

#include <fmt/format.h>

#include "review/stand-ins-3/deployment.hpp"

namespace
{

using namespace review;

constexpr std::size_t machines = 3;
constexpr int shards = 20;
constexpr int lost_shards = 3;
// Between two requests of a consumer, on average.
constexpr milliseconds interval{100};
constexpr milliseconds work_time{5};
constexpr milliseconds answer_time{3'000};
constexpr milliseconds lead_time{3'000};
// The site file's `node_cut` takes 5.5 s, and a share of 0.17; here six of 40 replicas.
constexpr milliseconds cut_time{4'500};
// Time from the end of the partition until the operator adds the second route.
constexpr milliseconds recover_time{12'000};
// Time from then until requests are counted; above configApplyMs and stableWindowMs.
constexpr milliseconds settle_time{6'000};
constexpr milliseconds counted_time{10'000};

struct route_count
{
    std::atomic<unsigned> sent{0};
    std::atomic<unsigned> served{0};
};

bool work(replica& self, connection& peer, const message& request)
{
    if (self.refuse_foreign(peer, request))
        return true;
    const std::string receipt = self.run(request, peer.peer_ip());
    std::this_thread::sleep_for(work_time);
    return peer.send(fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Stamp: {}\r\n"
                                 "Content-Length: 16\r\n\r\n0123456789abcdef",
                                 request.find("request-id"), receipt));
}

// A kind of request of the sheet.
struct query_kind
{
    std::string prefix;
    double min_share;
    milliseconds objective;
    milliseconds deadline;
};

const query_kind live_lookup{"/live/", 0.75, milliseconds{60}, milliseconds{600}};
const query_kind ceremony_search{"/ceremony/", 0.89, milliseconds{120}, milliseconds{1'200}};

void add_query_route(deployment& system, const query_kind& kind)
{
    Json::Value& route = system.add_route(kind.prefix, "", "idempotent");
    route.removeMember("service");
    for (int index = 0; index < shards; ++index)
        route["gather"].append(fmt::format("portal{}", index));
    route["topK"] = 5;
    route["minShare"] = kind.min_share;
    route["sloMs"] = static_cast<Json::Int64>(kind.objective.count());
    route["timeoutMs"] = static_cast<Json::Int64>(kind.deadline.count());
}

void consume(deployment& system, record& log, std::size_t machine, const query_kind& kind,
             clock::time_point counted_from, clock::time_point end, route_count& count)
{
    std::unique_ptr<connection> link;
    while (clock::now() < end)
    {
        const clock::time_point sent_at = clock::now();
        if (!link || link->has_ended())
            link = system.connect(machine);
        const std::string id = make_id();
        std::optional<message> reply;
        if (link && link->send(make_head("GET", kind.prefix + "q", id, kind.deadline) + "\r\n"))
            reply = link->read_message(answer_time);
        if (!reply || reply->find("connection") == "close")
            link.reset();
        const bool is_served = reply && reply->first_line.starts_with("HTTP/1.1 200");
        if (sent_at >= counted_from)
        {
            ++count.sent;
            count.served += is_served ? 1 : 0;
        }
        log.write(fmt::format("machine {} {} {}: {} missing {}", machine, kind.prefix, id,
                              reply ? reply->first_line : "no answer",
                              reply ? reply->find("missing-parts") : "-"));
        std::this_thread::sleep_until(sent_at + interval / 2 +
                                      milliseconds{random() % interval.count()});
    }
}

} // namespace

int main()
{
    srandom(static_cast<unsigned>(time(nullptr)));
    record log("review/11/record.txt");
    deployment_options options;
    options.gateways = machines;
    deployment system(options, log);
    for (int index = 0; index < shards; ++index)
        for (int copy = 0; copy < 2; ++copy)
            system.add_replica(fmt::format("portal{}", index), work);
    for (Json::Value& service : system.configuration()["services"])
        service["maxConns"] = 26;
    add_query_route(system, live_lookup);
    system.publish();
    system.start();

    const clock::time_point cut_at = clock::now() + lead_time;
    const clock::time_point added_at = cut_at + cut_time + recover_time;
    const clock::time_point counted_from = added_at + settle_time;
    const clock::time_point end = counted_from + counted_time;
    route_count first;
    route_count second;
    std::vector<std::thread> threads;
    const auto add_consumers =
        [&](const query_kind& kind, std::size_t consumers_of_a_machine, route_count& count)
    {
        for (std::size_t index = 0; index < machines * consumers_of_a_machine; ++index)
            threads.emplace_back(
                [&, index]
                { consume(system, log, index % machines, kind, counted_from, end, count); });
    };
    add_consumers(live_lookup, 1, first);
    std::this_thread::sleep_until(cut_at);
    std::vector<replica*> lost;
    for (std::size_t index = 0; index < 2 * lost_shards; ++index)
        lost.push_back(system.replicas()[index].get());
    if (has_trouble())
    {
        log.write("the replicas of three shards are cut off");
        for (replica* const each : lost)
            each->cut_off();
        std::this_thread::sleep_for(cut_time);
        for (replica* const each : lost)
            each->reconnect();
        log.write("the partition has ended");
    }
    std::this_thread::sleep_until(added_at);
    add_query_route(system, ceremony_search);
    system.publish();
    add_consumers(ceremony_search, 3, second);
    for (std::thread& each : threads)
        each.join();
    // The replicas serve whoever connects.
    for (replica* const each : lost)
    {
        const std::string address = each->address();
        const std::size_t colon = address.find(':');
        const auto link = connection::open(
            address.substr(0, colon),
            static_cast<unsigned>(std::strtoul(address.c_str() + colon + 1, nullptr, 10)));
        const bool is_sent = link && link->send(make_head("GET", "/live/q", make_id()) +
                                                "Target-Instance: " + each->id() + "\r\n\r\n");
        const auto reply = is_sent ? link->read_message(answer_time) : std::nullopt;
        log.write(fmt::format("{} asked directly: {}", each->id(),
                              reply ? reply->first_line : "no answer"));
        if (!reply)
            return case_failed;
    }

    const std::string result = fmt::format(
        "from {} s after the partition's end: {} of {} served on the first route, {} of {} on the "
        "route added later",
        (recover_time + settle_time).count() / 1'000, first.served.load(), first.sent.load(),
        second.served.load(), second.sent.load());
    log.write(result);
    std::puts(result.c_str());
    constexpr unsigned min_requests = 20;
    if (first.served == 0 || first.sent < min_requests || second.sent < min_requests)
        return case_failed;
    const double first_share = static_cast<double>(first.served) / first.sent;
    const double second_share = static_cast<double>(second.served) / second.sent;
    return second_share < first_share / 4 ? rule_broken : rule_held;
}
