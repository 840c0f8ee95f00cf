// load-driver: sends requests at a fixed rate and prints one JSON document with the results.

#include <algorithm>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include "http/client_connection.hpp"
#include "settings/option_table.hpp"
#include "standins/load_driver/load_worker.hpp"

namespace ospreystair::load_driver
{

namespace
{

namespace asio = http::asio;

constexpr std::uint64_t max_requests = 20'000'000;

const std::vector<settings::option> options{
    {"targets", "Entry addresses, ip:port, separated by commas", std::nullopt},
    {"kind", "query, command, or search (directly to a stand-in upstream)", "query"},
    {"service", "Service that queries and commands name", "family-portal"},
    {"shard", "Shard that searches name", "s0"},
    {"index-version", "Index version that searches name", "1"},
    {"rate", "Requests a second", "100"},
    {"duration-ms", "Length of the schedule", "10000"},
    {"warmup-ms", "Leading part of the schedule that is sent but not counted", "0"},
    {"arrivals", "poisson or constant", "poisson"},
    {"deadline-ms", "Deadline of a request, from its scheduled arrival", "1000"},
    {"connections", "Maximum number of open connections of all threads", "256"},
    {"threads", "Threads that send", "2"},
    {"seed", "Seed of the arrivals", "1"},
};

bool read_choices(const settings::option_table& table, load_settings& result, base::error& reason)
{
    const std::string& kind = table.text("kind");
    const std::string& arrivals = table.text("arrivals");
    if (kind == "command")
        result.kind = request_kind::command;
    else if (kind == "search")
        result.kind = request_kind::search;
    else if (kind != "query")
    {
        base::fail(reason, base::error_kind::invalid_settings,
                   fmt::format("--kind is \"{}\"; give query, command or search", kind));
        return false;
    }
    if (arrivals != "poisson" && arrivals != "constant")
    {
        base::fail(reason, base::error_kind::invalid_settings,
                   fmt::format("--arrivals is \"{}\"; give poisson or constant", arrivals));
        return false;
    }
    result.arrivals = arrivals == "poisson" ? arrival_process::poisson : arrival_process::constant;
    result.service = table.text("service");
    result.shard = table.text("shard");
    return true;
}

std::optional<load_settings> read_settings(int argc, const char** argv, base::error& reason)
{
    using std::chrono::milliseconds;
    const auto table = settings::option_table::create(
        "load-driver", "Sends requests on a fixed schedule and prints the results as JSON.",
        options, argc, argv, reason);
    load_settings result;
    if (!table || !read_choices(*table, result, reason))
        return std::nullopt;
    const auto targets = table->addresses("targets", reason);
    const auto version = table->number("index-version", 0, UINT64_MAX, reason);
    const auto rate = table->number("rate", 1, 1'000'000, reason);
    const auto duration =
        table->milliseconds("duration-ms", milliseconds{1}, milliseconds{3'600'000}, reason);
    const auto warmup =
        table->milliseconds("warmup-ms", milliseconds{0}, milliseconds{3'600'000}, reason);
    const auto deadline =
        table->milliseconds("deadline-ms", milliseconds{1}, milliseconds{600'000}, reason);
    const auto connections = table->number("connections", 1, 20'000, reason);
    const auto threads = table->number("threads", 1, 64, reason);
    const auto seed = table->number("seed", 0, UINT64_MAX, reason);
    if (!targets || !version || !rate || !duration || !warmup || !deadline || !connections ||
        !threads || !seed)
        return std::nullopt;
    if (targets->empty())
        return base::fail(reason, base::error_kind::invalid_settings,
                          "--targets is empty; give ip:port, separated by commas");
    if (*warmup >= *duration)
        return base::fail(reason, base::error_kind::invalid_settings,
                          "--warmup-ms is not below --duration-ms; lower it");
    if (*rate * static_cast<std::uint64_t>(duration->count()) / 1000 > max_requests)
        return base::fail(reason, base::error_kind::invalid_settings,
                          fmt::format("--rate and --duration-ms give more than {} requests; lower "
                                      "one of them",
                                      max_requests));
    for (const settings::socket_address& target : *targets)
        result.targets.push_back(http::make_endpoint(target.host, target.port));
    result.index_version = *version;
    result.rate = static_cast<double>(*rate);
    result.duration = *duration;
    result.warmup = *warmup;
    result.deadline = *deadline;
    // A worker without a connection could not send its share of the schedule.
    result.workers = std::min<std::size_t>(*threads, *connections);
    result.connections = *connections / result.workers;
    result.seed = *seed;
    return result;
}

void run(const load_settings& settings)
{
    const base::time_point start = std::chrono::steady_clock::now();
    std::vector<std::unique_ptr<load_worker>> workers;
    for (std::size_t index = 0; index < settings.workers; ++index)
        workers.push_back(std::make_unique<load_worker>(settings, index, start));

    asio::io_context signal_context(1);
    asio::signal_set signals(signal_context, SIGTERM, SIGINT);
    signals.async_wait(
        [&workers](boost::system::error_code code, int)
        {
            for (const auto& worker : workers)
                if (!code)
                    worker->stop();
        });
    std::thread signal_thread([&signal_context] { signal_context.run(); });
    std::vector<std::thread> threads;
    for (const auto& worker : workers)
        threads.emplace_back([&worker] { worker->run(); });
    for (std::thread& thread : threads)
        thread.join();
    signal_context.stop();
    signal_thread.join();

    results total;
    for (const auto& worker : workers)
        total.merge(worker->collected_results());
    // Rates of a run that was stopped early refer to the time until the stop.
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    const std::chrono::duration<double> planned = settings.duration;
    const std::chrono::duration<double> warmup = settings.warmup;
    fmt::print("{}\n", total.to_json(std::max(std::min(elapsed, planned) - warmup,
                                              std::chrono::duration<double>::zero())));
}

} // namespace

} // namespace ospreystair::load_driver

int main(int argc, const char** argv)
{
    using namespace ospreystair;
    base::error reason;
    const auto settings = load_driver::read_settings(argc, argv, reason);
    if (!settings)
    {
        fmt::print(stderr, "error {}: {}\n", base::to_string(reason.kind), reason.message);
        return 1;
    }
    load_driver::run(*settings);
    return 0;
}
