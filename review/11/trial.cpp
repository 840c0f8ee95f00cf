// A burst on three machines, with HEAD among the requests. A HEAD request that has waited for a
// connection ends the gateway, and with it all requests in progress there.

#include <cstdio>
#include <thread>

#include <fmt/format.h>
#include <sys/wait.h>

#include "deployment.hpp"

namespace
{

using namespace review;

constexpr std::size_t machines = 3;
// Each of them has one request at a time, so that a machine without the burst needs no more than
// three of the four connections that it keeps to the two replicas.
constexpr std::size_t usual_consumers = 3;
constexpr std::size_t burst_factor = 2;
constexpr milliseconds burst_time{2'260};
constexpr milliseconds lead_time{3'000};
constexpr milliseconds tail_time{4'000};
// The mean of the site file's requests to one replica.
constexpr milliseconds work_time{90};
constexpr milliseconds interval{100};
constexpr milliseconds answer_time{3'000};
// The platform starts a process that has ended again.
constexpr milliseconds restart_delay{500};

struct request_end
{
    std::string id;
    std::string method;
    // Whether the connection had carried a request before.
    bool is_on_kept_connection = false;
    bool is_answered = false;
    bool is_closed = false;
};

class request_log
{
public:
    void add(request_end item)
    {
        const std::scoped_lock lock(m_mutex);
        m_items.push_back(std::move(item));
    }
    const std::vector<request_end>& items() const { return m_items; }

private:
    std::mutex m_mutex;
    std::vector<request_end> m_items;
};

bool work(replica& self, connection& peer, const message& request)
{
    if (self.refuse_foreign(peer, request))
        return true;
    const std::string receipt = self.run(request, peer.peer_ip());
    std::this_thread::sleep_for(work_time);
    return peer.send(replica::make_answer(request, receipt));
}

void consume(deployment& system, record& log, std::size_t machine, std::size_t number,
             clock::time_point end, request_log& requests)
{
    // One request in eight is HEAD.
    constexpr const char* methods[] = {"GET", "POST", "GET", "POST", "GET", "POST", "GET", "HEAD"};
    std::unique_ptr<connection> link;
    bool is_kept = false;
    for (std::size_t index = number; clock::now() < end; ++index)
    {
        const clock::time_point next = clock::now() + interval;
        if (!link || link->has_ended())
        {
            link = system.connect(machine);
            is_kept = false;
        }
        const std::string method = methods[index % std::size(methods)];
        const bool is_post = method == "POST";
        request_end item{make_id(), method, is_kept};
        const std::string text = make_head(method, is_post ? "/book/7" : "/fetch/7", item.id) +
                                 (is_post ? "Content-Length: 4\r\n\r\nbook" : "\r\n");
        if (link && link->send(text))
        {
            const auto reply = link->read_message(answer_time, method != "HEAD");
            item.is_answered = reply.has_value();
            item.is_closed = link->has_ended();
            log.write(fmt::format("machine {} consumer {} {} {}: {}", machine, number, method,
                                  item.id, reply ? reply->first_line : "CLOSED WITHOUT AN ANSWER"));
            is_kept = true;
            if (!reply || reply->find("connection") == "close")
                link.reset();
            requests.add(std::move(item));
        }
        else
            link.reset();
        std::this_thread::sleep_until(next);
    }
}

} // namespace

int main()
{
    record log("review/11/record.txt");
    deployment_options options;
    options.gateways = machines;
    deployment system(options, log);
    for (int index = 0; index < 2; ++index)
        system.add_replica("desk", work);
    system.configuration()["services"][0]["maxConns"] = 26;
    // Without second attempts a request takes one connection.
    system.add_route("/fetch/", "desk", "idempotent")["maxAttempts"] = 1;
    system.add_route("/book/", "desk", "non_idempotent")["maxAttempts"] = 1;
    system.publish();
    system.start();

    request_log requests;
    std::vector<std::thread> consumers;
    const clock::time_point burst_at = clock::now() + lead_time;
    const clock::time_point end = burst_at + burst_time + tail_time;
    for (std::size_t machine = 0; machine < machines; ++machine)
        for (std::size_t number = 0; number < usual_consumers; ++number)
            consumers.emplace_back([&, machine, number]
                                   { consume(system, log, machine, number, end, requests); });
    std::thread burst(
        [&]
        {
            std::this_thread::sleep_until(burst_at);
            if (!has_trouble())
                return;
            log.write("the burst begins");
            std::vector<std::thread> further;
            for (std::size_t machine = 0; machine < machines; ++machine)
                for (std::size_t number = usual_consumers; number < burst_factor * usual_consumers;
                     ++number)
                    further.emplace_back(
                        [&, machine, number] {
                            consume(system, log, machine, number, burst_at + burst_time, requests);
                        });
            for (std::thread& each : further)
                each.join();
            log.write("the burst ends");
        });

    unsigned ends = 0;
    std::map<std::size_t, clock::time_point> restarts;
    while (clock::now() < end)
    {
        std::this_thread::sleep_for(milliseconds{20});
        for (std::size_t machine = 0; machine < machines; ++machine)
        {
            int status = 0;
            if (!restarts.contains(machine) &&
                waitpid(system.at(machine).process, &status, WNOHANG) > 0)
            {
                ++ends;
                restarts[machine] = clock::now() + restart_delay;
                log.write(
                    fmt::format("machine {}: THE PROCESS HAS ENDED, {} {}", machine,
                                WIFSIGNALED(status) ? "signal" : "code",
                                WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status)));
            }
            if (restarts.contains(machine) && clock::now() >= restarts[machine])
            {
                restarts.erase(machine);
                system.start(machine);
            }
        }
    }
    burst.join();
    for (std::thread& each : consumers)
        each.join();

    std::map<std::string, unsigned> run_counts;
    for (const auto& each : system.replicas())
        for (const arrival& item : each->runs())
            ++run_counts[item.id];
    unsigned answered = 0;
    unsigned lost = 0;
    unsigned lost_bookings = 0;
    for (const request_end& item : requests.items())
    {
        answered += item.is_answered ? 1 : 0;
        if (item.is_answered || !item.is_closed || !item.is_on_kept_connection ||
            !run_counts.contains(item.id))
            continue;
        ++lost;
        lost_bookings += item.method == "POST" ? 1 : 0;
        log.write(fmt::format("LOST {} {}", item.method, item.id));
    }
    const std::string result = fmt::format(
        "{} requests, {} answered; {} that had reached a replica from a kept connection were lost, "
        "{} of them not idempotent; processes ended {} times by themselves",
        requests.items().size(), answered, lost, lost_bookings, ends);
    log.write(result);
    std::puts(result.c_str());
    if (answered == 0)
        return case_failed;
    constexpr unsigned allowed_losses = 3;
    return lost > allowed_losses ? rule_broken : rule_held;
}
