// standin-upstream: hosts many stand-in replicas in one process, each on its own port.

#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "http/client_connection.hpp"
#include "settings/option_table.hpp"
#include "standins/upstream/control_port.hpp"
#include "standins/upstream/replica.hpp"
#include "standins/upstream/replica_settings.hpp"
#include "standins/upstream/worker_contexts.hpp"

namespace ospreystair::standin_upstream
{

namespace
{

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
        {"threads", "Threads among which the replicas are distributed", "2"},
        {"seed", "Seed of service times and of fault choice", "1"},
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
    standins::worker_contexts contexts(settings.threads);
    std::vector<std::shared_ptr<replica>> replicas;
    for (const replica_settings& item : settings.replicas)
    {
        auto created = replica::create(contexts.worker(replicas.size()), item,
                                       base::mix_bits(settings.seed + replicas.size()),
                                       settings.record_limit, reason);
        if (!created)
            return std::nullopt;
        replicas.push_back(std::move(*created));
    }
    const auto port = std::make_shared<standins::control_port<replica>>("replicas", replicas);
    if (!port->listen(contexts.control(),
                      http::make_endpoint(settings.control.host, settings.control.port), reason))
        return std::nullopt;
    fmt::print(stderr, "info standin-upstream started replicas={} control={}\n", replicas.size(),
               settings.control.to_text());
    contexts.run_until_signal();
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
