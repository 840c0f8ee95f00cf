// Orders that must not be repeated go to replicas that are full at times and send some answers
// twice. Counts the runs of each order.

#include <random>

#include <fmt/format.h>

#include "review/harness/stage.hpp"

using namespace review;

namespace
{

constexpr milliseconds work{5};
// Both ways between two zones: 0.5 ms one way.
constexpr milliseconds network_time{1};
constexpr unsigned slots = 2;
constexpr unsigned queue = 1;
// garble: half of the replicas, 4 of 100 answers, for 5 s, three times.
constexpr unsigned garbled_percent = 4;
constexpr milliseconds garble_time{5'000};
constexpr milliseconds calm_time{3'000};
constexpr unsigned phases = 3;

struct ledger
{
    std::mutex mutex;
    std::map<std::string, unsigned> runs;
    std::map<std::string, int> statuses;
    unsigned refusals = 0;
    unsigned second_answers = 0;
};

// Full replicas reject, as the pages say, with Not-Executed.
struct desk
{
    std::mutex mutex;
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned answers = 0;
    bool is_garbled = false;
};

} // namespace

int main(int, const char** arguments)
{
    stage scene(arguments[1]);
    ledger seen;
    std::atomic<bool> is_garbling{false};
    std::vector<std::unique_ptr<desk>> desks;
    for (const char* zone : {"riga-centrs", "riga-purvciems"})
    {
        desks.push_back(std::make_unique<desk>());
        desk& own = *desks.back();
        // The first of the two is the faulty half.
        own.is_garbled = desks.size() == 1;
        scene.add_replica(
            "keepsake-desk", zone, slots,
            [&](replica& self, replica::session& current, const message& request)
            {
                const std::string id = request.field("request-id");
                // The extra answer arrives where the next one is expected.
                if (!current.memory.empty())
                {
                    scene.log().write(fmt::format("{} sends an earlier answer once more, before it "
                                                  "handles {}",
                                                  self.id(), id));
                    current.link.send(std::exchange(current.memory, {}));
                    const std::scoped_lock lock(seen.mutex);
                    ++seen.second_answers;
                }
                sleep_for(network_time);
                bool is_full = false;
                bool waits = false;
                bool is_spoilt = false;
                {
                    const std::scoped_lock lock(own.mutex);
                    is_full = own.running >= slots && own.waiting >= queue;
                    waits = !is_full && own.running >= slots;
                    own.waiting += waits ? 1 : 0;
                    own.running += !is_full && !waits ? 1 : 0;
                    is_spoilt = is_garbling && own.is_garbled &&
                                ++own.answers % (100 / garbled_percent) == 0;
                }
                while (waits)
                {
                    sleep_for(milliseconds{1});
                    const std::scoped_lock lock(own.mutex);
                    if (own.running >= slots)
                        continue;
                    --own.waiting;
                    ++own.running;
                    waits = false;
                }
                std::string answer;
                if (is_full)
                {
                    answer = self.make_answer(request, "503 Service Unavailable", false, "full");
                    scene.log().write(fmt::format("{} refuses {}: full", self.id(), id));
                    const std::scoped_lock lock(seen.mutex);
                    ++seen.refusals;
                }
                else
                {
                    {
                        const std::scoped_lock lock(seen.mutex);
                        ++seen.runs[id];
                    }
                    scene.log().write(fmt::format("{} runs {}", self.id(), id));
                    sleep_for(work);
                    answer = self.make_answer(request, "200 OK", true, "ordered " + id);
                    const std::scoped_lock lock(own.mutex);
                    --own.running;
                }
                if (is_spoilt)
                    current.memory = answer;
                current.link.send(answer);
            });
    }
    Json::Value routes;
    Json::Value order = stage::make_route("order", "/order/", "non_idempotent", 5'000, 500, 1);
    order["service"] = "keepsake-desk";
    routes.append(order);
    scene.publish(routes);
    const char* const zones[] = {"riga-centrs", "riga-purvciems", "riga-imanta"};
    for (const char* zone : zones)
        for (int number = 1; number <= 2; ++number)
            scene.add_gateway(fmt::format("front-{}-{}", zone, number), zone, true);
    scene.wait_until_ready();
    // All VMs know each other by then.
    sleep_for(milliseconds{4'000});

    std::atomic<bool> is_over{false};
    std::vector<std::thread> callers;
    for (const auto& vm : scene.gateways())
        for (int number = 0; number < 3; ++number)
            callers.emplace_back(
                [&, number]
                {
                    caller own(*vm);
                    std::mt19937 random(static_cast<unsigned>(vm->peer_port * 7 + number));
                    std::exponential_distribution<double> pause(1.0 / 28);
                    while (!is_over)
                    {
                        call wanted;
                        wanted.id = scene.make_id();
                        wanted.method = "POST";
                        wanted.path = "/order/disc";
                        wanted.body = "one disc";
                        wanted.deadline_ms = 5'000;
                        scene.log().write(
                            fmt::format("a caller sends {} to {}", wanted.id, vm->name));
                        const auto ended = own.send(wanted);
                        const int status =
                            ended.end == caller::outcome::answered ? ended.answer.status() : 0;
                        scene.log().write(fmt::format("{} is answered {}", wanted.id, status));
                        {
                            const std::scoped_lock lock(seen.mutex);
                            seen.statuses[wanted.id] = status;
                        }
                        sleep_for(milliseconds{1 + static_cast<int>(pause(random))});
                    }
                });
    for (unsigned phase = 0; phase < phases; ++phase)
    {
        sleep_for(calm_time);
        is_garbling = has_trouble();
        scene.log().write("garble begins");
        sleep_for(garble_time);
        is_garbling = false;
        scene.log().write("garble ends");
    }
    sleep_for(calm_time);
    is_over = true;
    for (std::thread& each : callers)
        each.join();
    sleep_for(milliseconds{1'000});

    unsigned twice = 0;
    unsigned refused_and_run = 0;
    std::map<int, unsigned> counts;
    for (const auto& [id, status] : seen.statuses)
    {
        ++counts[status];
        const auto found = seen.runs.find(id);
        const unsigned runs = found == seen.runs.end() ? 0 : found->second;
        const bool is_promise = status == 503 || status == 429 || status == 408 || status == 421;
        if (runs > 1)
            scene.log().say(
                fmt::format("TWICE: {} has run {} times, answered {}", id, runs, status));
        if (runs > 0 && is_promise)
            scene.log().say(fmt::format("REFUSED: {} was answered {} and has run", id, status));
        twice += runs > 1 ? 1 : 0;
        refused_and_run += runs > 0 && is_promise ? 1 : 0;
    }
    for (const auto& [status, count] : counts)
        scene.log().say(fmt::format("answers with status {}: {}", status, count));
    scene.log().say(fmt::format("{} refusals by full replicas, {} second answers", seen.refusals,
                                seen.second_answers));
    scene.log().say(fmt::format("{} orders ran more than once, {} were refused and have run", twice,
                                refused_and_run));
    if (counts[200] < 100 || seen.refusals < 50 || (has_trouble() && seen.second_answers < 5))
        return 2;
    return twice + refused_and_run > 0 ? 1 : 0;
}
