// standin-upstream: hosts many stand-in replicas in one process, each on its own port.

#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <fmt/format.h>

#include "http/client_connection.hpp"
#include "http/server.hpp"
#include "settings/option_table.hpp"
#include "standins/upstream/control.hpp"
#include "standins/upstream/replica.hpp"
#include "standins/upstream/replica_settings.hpp"

namespace ospreystair::standin_upstream
{

namespace
{

namespace asio = http::asio;

struct program_settings
{
    std::vector<replica_settings> replicas;
    settings::socket_address control;
    std::size_t threads = 1;
    std::uint64_t seed = 1;
    std::size_t record_limit = 0;
};

std::optional<program_settings> read_settings(int argc, const char** argv, base::error& reason)
{
    const std::vector<settings::option> options{
        {"replicas",
         "Replicas: name=a,address=ip:port,shards=s0+s1,version=1,slots=2,queue=16,connections=25,"
         "connect_ms=0,base_ms=1; separated by semicolons",
         std::nullopt},
        {"control", "Address of the control port", std::nullopt},
        {"threads", "Threads over which the replicas are spread", "2"},
        {"seed", "Seed of service times and fault choice", "1"},
        {"record-limit", "Keys and request ids kept per replica; 0 keeps none", "65536"},
    };
    const auto table = settings::option_table::create(
        "standin-upstream", "Hosts stand-in replicas for tests and benchmarks.", options, argc,
        argv, reason);
    if (!table)
        return std::nullopt;
    auto replicas = parse_replicas(table->text("replicas"), reason);
    if (!replicas)
        return std::nullopt;
    const auto control_address = table->address("control", reason);
    const auto threads = table->number("threads", 1, 64, reason);
    const auto seed = table->number("seed", 0, UINT64_MAX, reason);
    const auto record_limit = table->number("record-limit", 0, 1'000'000, reason);
    if (!control_address || !threads || !seed || !record_limit)
        return std::nullopt;
    return program_settings{std::move(*replicas), *control_address, *threads, *seed, *record_limit};
}

std::optional<bool> run(const program_settings& settings, base::error& reason)
{
    // Each context is run by one thread, so that a replica's state needs no lock.
    std::vector<std::unique_ptr<asio::io_context>> contexts;
    for (std::size_t index = 0; index < settings.threads; ++index)
        contexts.push_back(std::make_unique<asio::io_context>(1));
    asio::io_context control_context(1);

    std::vector<std::shared_ptr<replica>> replicas;
    for (const replica_settings& item : settings.replicas)
    {
        auto created = replica::create(*contexts[replicas.size() % contexts.size()], item,
                                       base::mix_bits(settings.seed + replicas.size()),
                                       settings.record_limit, reason);
        if (!created)
            return std::nullopt;
        replicas.push_back(std::move(*created));
    }
    const auto port = std::make_shared<control>(replicas);
    http::server_options options;
    options.address = http::make_endpoint(settings.control.host, settings.control.port);
    const auto server = http::server::create(
        control_context, options,
        [port](const http::request& message, std::shared_ptr<http::exchange_context>)
        { return port->answer(message); },
        reason);
    if (!server)
        return std::nullopt;

    asio::signal_set signals(control_context, SIGTERM, SIGINT);
    signals.async_wait(
        [&](boost::system::error_code, int)
        {
            control_context.stop();
            for (const auto& context : contexts)
                context->stop();
        });
    std::vector<std::thread> threads;
    std::vector<asio::executor_work_guard<asio::io_context::executor_type>> guards;
    for (const auto& context : contexts)
    {
        guards.push_back(asio::make_work_guard(*context));
        threads.emplace_back([&context] { context->run(); });
    }
    fmt::print(stderr, "info standin-upstream started replicas={} control={}\n", replicas.size(),
               settings.control.to_text());
    control_context.run();
    for (std::thread& thread : threads)
        thread.join();
    return true;
}

} // namespace

} // namespace ospreystair::standin_upstream

int main(int argc, const char** argv)
{
    using namespace ospreystair;
    base::error reason;
    const auto settings = standin_upstream::read_settings(argc, argv, reason);
    if (settings && standin_upstream::run(*settings, reason))
        return 0;
    fmt::print(stderr, "error {}: {}\n", base::to_string(reason.kind), reason.message);
    return 1;
}
