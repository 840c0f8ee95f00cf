// Starts the processes and stand-ins of a platform fleet and configures them.

#include "tests/gateway/platform_fleet.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <future>
#include <iostream>
#include <sstream>

#include <boost/asio/executor_work_guard.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include "tests/integration/test_client.hpp"

namespace ospreystair::testing_support
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds start_timeout{10'000};
constexpr milliseconds call_timeout{2'000};

// Returns a loopback address derived from the process id, so that concurrent tests do not share
// one.
std::string make_ip(std::size_t index)
{
    constexpr int values_per_byte = 250;
    const int id = ::getpid();
    return fmt::format("127.{}.{}.{}", 1 + id % values_per_byte,
                       1 + id / values_per_byte % values_per_byte, 1 + index);
}

std::string single_service()
{
    return "single";
}

std::string shard_name(std::size_t index)
{
    return fmt::format("shard{}", index);
}

std::string service_of(const std::string& id)
{
    return id.substr(0, id.rfind('-'));
}

using replica_map = std::map<std::string, std::shared_ptr<standins::replica_standin>>;

bool has_port_of_other(const standins::replica_standin& added, const replica_map& known)
{
    return std::any_of(known.begin(), known.end(),
                       [&added](const auto& item)
                       { return item.second->address().port() == added.address().port(); });
}

// Starts a replica at a port that no other one has had: a crashed replica comes back at its port,
// on which its routes may listen meanwhile. Returns null and sets the reason on failure.
std::shared_ptr<standins::replica_standin> start_replica(http::asio::io_context& context,
                                                         const std::string& id,
                                                         const replica_map& known,
                                                         base::error& reason)
{
    // These keep their ports until the replica has one of its own.
    std::vector<std::shared_ptr<standins::replica_standin>> rejected;
    std::shared_ptr<standins::replica_standin> result;
    while (!result)
    {
        auto created = standins::replica_standin::create(
            context, {id, {http::asio::ip::make_address("127.0.0.1"), 0}}, reason);
        if (!created)
            break;
        if (has_port_of_other(**created, known))
            rejected.push_back(*created);
        else
            result = *created;
    }
    for (const auto& each : rejected)
        each->stop();
    return result;
}

} // namespace

std::vector<std::string> caller_answer::receipts() const
{
    std::vector<std::string> result;
    const auto found = fields.find("Part-Stamps");
    if (found == fields.end())
        return result;
    std::istringstream text(found->second);
    for (std::string item; std::getline(text, item, ',');)
        result.push_back(item.substr(item.find_first_not_of(' ')));
    return result;
}

int caller_answer::missing_parts() const
{
    const auto found = fields.find("Missing-Parts");
    return found == fields.end() ? 0 : std::stoi(found->second);
}

platform_fleet::platform_fleet(fleet_options options)
    : m_options(options), m_work_guard(http::asio::make_work_guard(m_context))
{
    m_folder =
        (std::filesystem::temp_directory_path() / fmt::format("ospreystair-fleet-{}", ::getpid()))
            .string();
    std::filesystem::create_directories(m_folder);
    base::error reason;
    m_store = std::move(standins::store_standin::create(
                            m_context, {http::asio::ip::make_address("127.0.0.1"), 0}, reason)
                            .value());
    for (std::size_t vm = 0; vm < m_options.vms; ++vm)
        add_store_view(vm);
    m_thread = std::thread([this] { m_context.run(); });
    Json::Value gather = make_route("all", "/all/");
    gather.removeMember("service");
    for (std::size_t shard = 0; shard < m_options.shards; ++shard)
    {
        gather["gather"].append(shard_name(shard));
        for (std::size_t index = 0; index < m_options.replicas; ++index)
            add_replica(shard_name(shard), index);
    }
    gather["topK"] = 10;
    gather["minShare"] = m_options.min_coverage;
    for (std::size_t index = 0; index < m_options.replicas; ++index)
        add_replica(single_service(), index);
    Json::Value once = make_route("once", "/once/");
    once["type"] = "non_idempotent";
    m_configuration["routes"].append(gather);
    m_configuration["routes"].append(make_route("one", "/one/"));
    m_configuration["routes"].append(once);
    for (auto& route : m_configuration["routes"])
    {
        route["sloMs"] = Json::Int64{m_options.objective.count()};
        route["timeoutMs"] = Json::Int64{m_options.timeout.count()};
    }
    publish();
    m_vms.resize(m_options.vms);
    for (std::size_t index = 0; index < m_options.vms; ++index)
    {
        gateway_vm& item = m_vms[index];
        item.name = fmt::format("vm{}", index + 1);
        item.data_centre = index % 2 == 0 ? "a" : "b";
        item.ip = make_ip(index);
        item.settings_path = fmt::format("{}/{}.toml", m_folder, item.name);
        item.program = m_options.program;
        write_settings(item);
        if (index + m_options.late_vms < m_options.vms)
            start(index);
    }
    for (std::size_t index = 0; index + m_options.late_vms < m_options.vms; ++index)
        EXPECT_TRUE(wait_until_ready(index)) << log(index);
}

platform_fleet::~platform_fleet()
{
    for (gateway_vm& item : m_vms)
        item.process.reset();
    m_context.stop();
    m_thread.join();
    if (testing::Test::HasFailure())
        std::cerr << "logs are kept in " << m_folder << "\n";
    else
        std::filesystem::remove_all(m_folder);
}

void platform_fleet::add_replica(const std::string& service, std::size_t index)
{
    const std::string id = fmt::format("{}-{}", service, index);
    base::error reason;
    const auto added = start_replica(m_context, id, m_replicas, reason);
    ASSERT_TRUE(added) << reason.message;
    m_replicas[id] = added;
    added->on_listening([this, id](bool is_listening) { on_replica_listening(id, is_listening); });
    add_routes(id);
    change_replica(id, [index](standins::replica_behaviour& behaviour)
                   { behaviour.body = fmt::format("0123456789abcde{}", index % 10); });
    register_replica(id, "ready");
}

std::string platform_fleet::route_ip(std::size_t vm) const
{
    return make_ip(m_options.vms + vm);
}

// Each VM reads the replicas' addresses as those of its own routes.
void platform_fleet::add_store_view(std::size_t vm)
{
    m_store_addresses.push_back(m_store->address());
    if (!m_options.has_routes)
        return;
    const auto edit = [own = route_ip(vm) + ":"](std::string& text)
    {
        const std::string direct = "127.0.0.1:";
        for (std::size_t at = text.find(direct); at != std::string::npos;
             at = text.find(direct, at + own.size()))
            text.replace(at, direct.size(), own);
    };
    base::error reason;
    const auto address = m_store->serve_edited(edit, reason);
    ASSERT_TRUE(address) << reason.message;
    m_store_addresses.back() = *address;
}

void platform_fleet::add_routes(const std::string& replica_id)
{
    if (!m_options.has_routes)
        return;
    const http::tcp::endpoint target = m_replicas.at(replica_id)->address();
    std::promise<void> is_added;
    http::asio::post(m_context,
                     [&]
                     {
                         for (std::size_t vm = 0; vm < m_options.vms; ++vm)
                         {
                             fault_proxy::route_settings settings;
                             settings.listen = {route_ip(vm), target.port()};
                             settings.target = {target.address().to_string(), target.port()};
                             base::error reason;
                             auto route =
                                 fault_proxy::tcp_route::create(m_context, settings, reason);
                             EXPECT_TRUE(route) << reason.message;
                             if (!route)
                                 continue;
                             m_routes[vm][replica_id] = *route;
                             apply_route_mode(vm, replica_id);
                         }
                         is_added.set_value();
                     });
    is_added.get_future().wait();
}

void platform_fleet::apply_route_mode(std::size_t vm, const std::string& replica_id)
{
    const auto own_mode = m_route_modes.find(vm);
    std::string mode = own_mode == m_route_modes.end() ? "pass" : own_mode->second;
    if (mode == "pass" && m_down_replicas.contains(replica_id))
        mode = "refuse_new";
    Json::Value change(Json::objectValue);
    change["mode"] = mode;
    base::error reason;
    EXPECT_TRUE(m_routes[vm][replica_id]->apply(change, reason)) << reason.message;
}

void platform_fleet::on_replica_listening(const std::string& replica_id, bool is_listening)
{
    if (is_listening)
        m_down_replicas.erase(replica_id);
    else
        m_down_replicas.insert(replica_id);
    for (auto& [vm, routes] : m_routes)
        if (routes.contains(replica_id))
            apply_route_mode(vm, replica_id);
}

void platform_fleet::set_routes(std::size_t vm, const std::string& mode)
{
    std::promise<void> is_set;
    http::asio::post(m_context,
                     [&]
                     {
                         m_route_modes[vm] = mode;
                         for (const auto& [id, route] : m_routes[vm])
                             apply_route_mode(vm, id);
                         is_set.set_value();
                     });
    is_set.get_future().wait();
}

void platform_fleet::register_replica(const std::string& id, const std::string& state)
{
    Json::Value entry;
    entry["service"] = service_of(id);
    entry["address"] = m_replicas.at(id)->address_text();
    entry["zone"] = id.back() % 2 == 0 ? "a" : "b";
    entry["version"] = "v1";
    entry["slots"] = 2;
    entry["state"] = state;
    entry["warmupLeftMs"] = 0;
    entry["sequence"] = 1;
    const Json::Value& previous = m_entries[id];
    entry["born"] = previous.isObject() ? previous["born"] : Json::Int64{1'700'000'000'000};
    if (previous.isObject() && previous["state"] == "draining" && state == "ready")
        entry["born"] = entry["born"].asInt64() + 1;
    m_entries[id] = entry;
    m_store->put("servers", id, entry);
}

void platform_fleet::restart_replica(const std::string& id)
{
    Json::Value& entry = m_entries.at(id);
    entry["born"] = entry["born"].asInt64() + 1;
    entry["state"] = "ready";
    m_store->put("servers", id, entry);
}

void platform_fleet::write_again()
{
    m_store->put("config", "main", m_configuration);
    for (const auto& [id, entry] : m_entries)
        m_store->put("servers", id, entry);
}

void platform_fleet::change_all_replicas(
    const std::function<void(standins::replica_behaviour&)>& change)
{
    for (const auto& [id, target] : m_replicas)
        change_replica(id, change);
}

void platform_fleet::change_replica(const std::string& id,
                                    const std::function<void(standins::replica_behaviour&)>& change)
{
    change(m_behaviours[id]);
    m_replicas.at(id)->set_behaviour(m_behaviours[id]);
}

Json::Value platform_fleet::make_route(const std::string& name, const std::string& prefix)
{
    Json::Value route;
    route["name"] = name;
    route["host"] = "q.example";
    route["pathPrefix"] = prefix;
    route["type"] = "idempotent";
    route["timeoutMs"] = 1000;
    route["sloMs"] = 200;
    route["priority"] = 1;
    route["maxAttempts"] = 2;
    route["service"] = single_service();
    return route;
}

std::uint64_t platform_fleet::publish()
{
    // Versions need not be consecutive.
    m_version += 3;
    m_configuration["version"] = Json::UInt64{m_version};
    std::map<std::string, bool> services;
    for (const auto& route : m_configuration["routes"])
    {
        if (route.isMember("service"))
            services[route["service"].asString()] = true;
        for (const auto& shard : route["gather"])
            services[shard.asString()] = true;
        for (const auto& part : route["trafficSplit"])
            services[part["service"].asString()] = true;
    }
    m_configuration["services"] = Json::arrayValue;
    for (const auto& [name, ignored] : services)
    {
        Json::Value service;
        service["name"] = name;
        service["healthPath"] = "/healthz";
        service["maxConns"] = 26;
        m_configuration["services"].append(service);
    }
    m_store->put("config", "main", m_configuration);
    return m_version;
}

void platform_fleet::write_settings(gateway_vm& vm) const
{
    const http::tcp::endpoint& store =
        m_store_addresses.at(static_cast<std::size_t>(&vm - m_vms.data()));
    std::ofstream file(vm.settings_path);
    file << fmt::format(R"(node = "{}"
role = "entry"
zone = "{}"
ip = "{}"
portRange = [{}, {}]
[listen]
front = "{}:{}"
readiness = "{}:{}"
[bounds]
drainMs = 3000
configApplyMs = 3000
graceS = 6
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 58
quotaWindowS = 5
quotaOver = 0.1
quotaSlack = 20
{}
[platform]
address = "{}:{}"
)",
                        vm.name, vm.data_centre, vm.ip, first_peer_port, first_peer_port + 5, vm.ip,
                        caller_port, vm.ip, readiness_port, m_options.further_bounds,
                        store.address().to_string(), store.port());
    const auto index = static_cast<std::size_t>(&vm - m_vms.data());
    if (index < m_options.core_shares.size())
        file << fmt::format("[limits]\ncpuShare = {}\n", m_options.core_shares[index]);
}

void platform_fleet::start(std::size_t vm)
{
    gateway_vm& item = m_vms.at(vm);
    // Waits until a killed process has ended; until then its addresses are in use.
    item.process.reset();
    item.process = std::make_unique<child_process>(
        item.program,
        std::vector<std::string>{"--settings", item.settings_path, "--metrics-port",
                                 std::to_string(metrics_port)},
        fmt::format("{}/{}-{}.log", m_folder, item.name, ++item.start_count));
}

std::size_t platform_fleet::peak_memory_bytes(std::size_t vm)
{
    std::ifstream file(fmt::format("/proc/{}/status", m_vms.at(vm).process->id()));
    constexpr std::size_t bytes_per_kilobyte = 1024;
    for (std::string name; file >> name;)
    {
        std::size_t value = 0;
        if (name == "VmHWM:" && file >> value)
            return value * bytes_per_kilobyte;
        std::getline(file, name);
    }
    return 0;
}

http::tcp::endpoint platform_fleet::endpoint_of(std::size_t vm, unsigned port) const
{
    return http::make_endpoint(m_vms.at(vm).ip, static_cast<std::uint16_t>(port));
}

void platform_fleet::warm_up(std::size_t vm)
{
    constexpr int requests = 10;
    const std::string listed = fmt::format("\"vms\":{},", m_options.vms - m_options.late_vms);
    EXPECT_TRUE(
        wait_until(start_timeout, [&] { return log(vm).find(listed) != std::string::npos; }));
    for (int index = 0; index < requests; ++index)
        send(vm, {});
}

bool platform_fleet::wait_until_ready(std::size_t vm)
{
    constexpr unsigned ok = 200;
    return wait_until(start_timeout, [this, vm] { return readiness(vm) == ok; });
}

namespace
{

caller_answer make_caller_answer(const std::optional<http::response>& reply,
                                 http::exchange_progress progress, const base::error& reason)
{
    caller_answer result;
    result.reason = reason.message;
    result.is_sent = progress != http::exchange_progress::nothing_sent;
    if (!reply)
        return result;
    result.status = reply->result_int();
    result.body = reply->body();
    for (const auto& item : *reply)
        result.fields[std::string(item.name_string())] = std::string(item.value());
    return result;
}

milliseconds time_since(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - start);
}

// Runs one exchange on a new connection.
caller_answer exchange(const http::tcp::endpoint& address, http::request message,
                       milliseconds timeout)
{
    const auto start = std::chrono::steady_clock::now();
    http::asio::io_context context;
    caller_answer result;
    http::asio::co_spawn(
        context,
        [&]() -> http::awaitable<void>
        {
            http::exchange_progress progress{};
            base::error reason;
            const auto reply = co_await http::exchange_once(context, address, std::move(message),
                                                            start + timeout, progress, reason);
            result = make_caller_answer(reply, progress, reason);
        },
        http::asio::detached);
    context.run();
    result.elapsed = time_since(start);
    return result;
}

http::request make_request(const caller_message& message)
{
    http::request result;
    result.method_string(message.method);
    result.target(message.path);
    result.version(11);
    result.set(http::field::host, "q.example");
    result.set("Request-Id", message.id);
    result.set("Deadline-Ms", std::to_string(message.deadline.count()));
    for (const auto& [name, value] : message.fields)
        result.set(name, value);
    result.body() = message.body;
    result.prepare_payload();
    return result;
}

} // namespace

persistent_connection::~persistent_connection()
{
    if (m_connection)
        m_connection->close();
    m_context.restart();
    m_context.run();
}

caller_answer persistent_connection::send(const caller_message& message)
{
    const auto start = std::chrono::steady_clock::now();
    const auto end = start + message.deadline + message.close_delay;
    caller_answer result;
    const auto request = std::make_shared<const http::request>(make_request(message));
    http::asio::co_spawn(
        m_context,
        [&]() -> http::awaitable<void>
        {
            base::error reason;
            if (!is_open())
                m_connection =
                    (co_await http::client_connection::connect(m_context, m_address, end, reason))
                        .value_or(nullptr);
            http::exchange_progress progress{};
            std::optional<http::response> reply;
            if (m_connection)
                reply = co_await m_connection->exchange(request, end, progress, reason);
            result = make_caller_answer(reply, progress, reason);
        },
        http::asio::detached);
    m_context.restart();
    m_context.run();
    result.elapsed = time_since(start);
    return result;
}

unsigned platform_fleet::readiness(std::size_t vm)
{
    http::request message(http::verb::get, "/v1/ready", 11);
    message.set(http::field::host, "platform");
    return exchange(endpoint_of(vm, readiness_port), std::move(message), call_timeout).status;
}

std::string platform_fleet::metrics(std::size_t vm)
{
    http::request message(http::verb::get, "/metrics", 11);
    message.set(http::field::host, "platform");
    return exchange(endpoint_of(vm, metrics_port), std::move(message), call_timeout).body;
}

caller_answer platform_fleet::send(std::size_t vm, caller_message message)
{
    if (message.id.empty())
        message.id = make_id();
    return exchange(endpoint_of(vm, caller_port), make_request(message),
                    message.deadline + message.close_delay);
}

caller_answer platform_fleet::hand_over(std::size_t vm, caller_message message)
{
    if (message.id.empty())
        message.id = make_id();
    return exchange(endpoint_of(vm, first_peer_port), make_request(message), message.deadline);
}

std::string platform_fleet::make_id()
{
    return fmt::format("request-{}", ++m_last_id);
}

unsigned platform_fleet::executions(const std::string& request_id) const
{
    unsigned result = 0;
    for (const auto& [id, target] : m_replicas)
    {
        const auto counts = target->executions();
        const auto found = counts.find(request_id);
        result += found == counts.end() ? 0 : found->second;
    }
    return result;
}

std::uint64_t platform_fleet::arrivals(const std::string& service_prefix) const
{
    std::uint64_t result = 0;
    for (const auto& [id, target] : m_replicas)
        if (id.starts_with(service_prefix))
            result += target->arrivals();
    return result;
}

} // namespace ospreystair::testing_support
