// Sockets, processes and the stand-ins' answers.

#include "review/stand-ins-3/deployment.hpp"

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/executor_work_guard.hpp>
#include <fmt/format.h>

namespace review
{

namespace
{

constexpr std::string_view line_end = "\r\n";
constexpr int backlog = 512;

sockaddr_in make_address(const std::string& ip, unsigned port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
    return result;
}

// Returns -1 when the address is in use.
int listen_at(const std::string& ip, unsigned port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = make_address(ip, port);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
        listen(descriptor, backlog) == 0)
        return descriptor;
    close(descriptor);
    return -1;
}

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

std::string trim(const std::string& text)
{
    const auto first = text.find_first_not_of(" \t");
    return first == std::string::npos
               ? std::string()
               : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// A /24 of the loopback range in which the gateways' ports are free.
std::string choose_network(std::size_t gateways)
{
    constexpr unsigned tries = 50;
    std::srand(static_cast<unsigned>(getpid()) ^ static_cast<unsigned>(time(nullptr)));
    for (unsigned number = 0; number < tries; ++number)
    {
        std::string result =
            fmt::format("127.{}.{}.", 20 + std::rand() % 200, 1 + std::rand() % 250);
        bool is_free = true;
        for (std::size_t index = 0; index < gateways && is_free; ++index)
            for (const unsigned port : {deployment::front_port, deployment::readiness_port, 9464U})
            {
                const int descriptor = listen_at(result + std::to_string(10 + index), port);
                is_free = is_free && descriptor >= 0;
                if (descriptor >= 0)
                    close(descriptor);
            }
        if (is_free)
            return result;
    }
    give_up("no free loopback addresses");
}

} // namespace

record::record(const std::string& path) : m_file(std::fopen(path.c_str(), "w"))
{
    if (!m_file)
        give_up("cannot write " + path);
}

record::~record()
{
    std::fclose(m_file);
}

void record::write(const std::string& line)
{
    const auto elapsed = std::chrono::duration_cast<milliseconds>(clock::now() - m_started_at);
    const std::scoped_lock lock(m_mutex);
    std::fprintf(m_file, "%7.3f %s\n", static_cast<double>(elapsed.count()) / 1'000, line.c_str());
    std::fflush(m_file);
}

bool has_trouble()
{
    const char* const value = std::getenv("TROUBLE");
    return !value || std::string_view(value) != "0";
}

void give_up(const std::string& reason)
{
    std::fprintf(stderr, "the case could not run: %s\n", reason.c_str());
    // The processes are ended by their death signal.
    std::_Exit(case_failed);
}

std::string message::find(std::string_view lower_case_name) const
{
    for (const auto& [name, value] : fields)
        if (name == lower_case_name)
            return value;
    return {};
}

connection::~connection()
{
    close(m_descriptor);
}

std::unique_ptr<connection> connection::open(const std::string& ip, unsigned port)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = make_address(ip, port);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
    {
        close(descriptor);
        return nullptr;
    }
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_unique<connection>(descriptor);
}

bool connection::send(std::string_view bytes)
{
    while (!bytes.empty())
    {
        const ssize_t sent = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

bool connection::receive(milliseconds timeout)
{
    pollfd item{m_descriptor, POLLIN, 0};
    const int ready = poll(&item, 1, static_cast<int>(std::max<std::int64_t>(0, timeout.count())));
    if (ready <= 0)
        return false;
    char bytes[65536];
    const ssize_t size = recv(m_descriptor, bytes, sizeof bytes, 0);
    if (size <= 0)
    {
        m_has_ended = true;
        return false;
    }
    m_buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
}

std::optional<message> connection::read_head(milliseconds timeout)
{
    const clock::time_point end = clock::now() + timeout;
    std::size_t head_end = std::string::npos;
    while ((head_end = m_buffer.find("\r\n\r\n")) == std::string::npos)
        if (!receive(std::chrono::ceil<milliseconds>(end - clock::now())))
            return std::nullopt;
    message result;
    const std::string head = m_buffer.substr(0, head_end + line_end.size());
    m_buffer.erase(0, head_end + 2 * line_end.size());
    std::size_t at = head.find(line_end);
    result.first_line = head.substr(0, at);
    for (at += line_end.size(); at < head.size();)
    {
        const std::size_t next = head.find(line_end, at);
        const std::string line = head.substr(at, next - at);
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos)
            result.fields.emplace_back(to_lower(line.substr(0, colon)),
                                       trim(line.substr(colon + 1)));
        at = next + line_end.size();
    }
    return result;
}

std::optional<std::string> connection::read_bytes(std::size_t size, milliseconds timeout)
{
    const clock::time_point end = clock::now() + timeout;
    while (m_buffer.size() < size)
        if (!receive(std::chrono::ceil<milliseconds>(end - clock::now())))
            return std::nullopt;
    std::string result = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return result;
}

std::optional<message> connection::read_message(milliseconds timeout, bool has_body)
{
    const clock::time_point end = clock::now() + timeout;
    auto result = read_head(timeout);
    if (!result || !has_body)
        return result;
    const std::string length = result->find("content-length");
    if (length.empty())
        return result;
    auto body = read_bytes(std::strtoul(length.c_str(), nullptr, 10),
                           std::chrono::ceil<milliseconds>(end - clock::now()));
    if (!body)
        return std::nullopt;
    result->body = std::move(*body);
    return result;
}

void connection::shut_down()
{
    shutdown(m_descriptor, SHUT_RDWR);
}

void connection::reset_on_close()
{
    const linger option{1, 0};
    setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

std::string connection::peer_ip() const
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getpeername(m_descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    char text[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address.sin_addr, text, sizeof text);
    return text;
}

replica::replica(std::string id, std::string service, std::string ip, record& log,
                 handler on_request)
    : m_id(std::move(id)), m_service(std::move(service)), m_ip(std::move(ip)), m_log(log),
      m_on_request(std::move(on_request))
{
    start();
}

replica::~replica()
{
    stop();
    std::vector<std::thread> threads;
    {
        const std::scoped_lock lock(m_mutex);
        threads.swap(m_threads);
    }
    for (std::thread& each : threads)
        each.join();
}

std::string replica::address() const
{
    return fmt::format("{}:{}", m_ip, m_port);
}

void replica::start()
{
    const int listener = listen_at(m_ip, m_port);
    if (listener < 0)
        give_up(fmt::format("replica {} cannot listen at {}", m_id, address()));
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size);
    m_port = ntohs(address.sin_port);
    const std::scoped_lock lock(m_mutex);
    m_listener = listener;
    m_threads.emplace_back([this] { accept_connections(); });
}

void replica::stop()
{
    const std::scoped_lock lock(m_mutex);
    if (m_listener < 0)
        return;
    shutdown(m_listener, SHUT_RDWR);
    m_listener = -1;
    for (const auto& each : m_connections)
        each->shut_down();
    m_connections.clear();
}

void replica::cut_off()
{
    constexpr int fillers = 4;
    const std::scoped_lock lock(m_mutex);
    m_is_cut_off = true;
    // The accepting thread takes the first one. A queue of length 0 holds one connection.
    listen(m_listener, 0);
    const sockaddr_in address = make_address(m_ip, m_port);
    for (int index = 0; index < fillers; ++index)
    {
        m_fillers.push_back(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
        // The connections of a full queue stay in progress.
        if (connect(m_fillers.back(), reinterpret_cast<const sockaddr*>(&address),
                    sizeof address) != 0 &&
            errno != EINPROGRESS)
            give_up("cannot fill the queue of " + m_id);
    }
}

void replica::reconnect()
{
    const std::scoped_lock lock(m_mutex);
    m_is_cut_off = false;
    for (const int each : m_fillers)
        close(each);
    m_fillers.clear();
    listen(m_listener, backlog);
    m_woken.notify_all();
}

void replica::accept_connections()
{
    int listener = -1;
    {
        const std::scoped_lock lock(m_mutex);
        listener = m_listener;
    }
    while (true)
    {
        const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            break;
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const auto peer = std::make_shared<connection>(descriptor);
        std::unique_lock lock(m_mutex);
        m_woken.wait(lock, [this] { return !m_is_cut_off; });
        if (m_listener != listener)
            break;
        m_connections.push_back(peer);
        m_threads.emplace_back([this, peer] { serve(peer); });
    }
    close(listener);
}

void replica::serve(const std::shared_ptr<connection>& peer)
{
    constexpr std::chrono::seconds idle_time{100};
    while (const auto request = peer->read_message(idle_time))
    {
        {
            std::unique_lock lock(m_mutex);
            const bool was_cut_off = m_is_cut_off;
            m_woken.wait(lock, [this] { return !m_is_cut_off; });
            if (was_cut_off)
                break;
        }
        if (!m_on_request(*this, *peer, *request))
            break;
    }
    peer->shut_down();
    const std::scoped_lock lock(m_mutex);
    std::erase(m_connections, peer);
}

std::string replica::run(const message& request, const std::string& sender)
{
    const std::scoped_lock lock(m_mutex);
    m_runs.push_back({clock::now(), m_id, request.find("request-id"), sender, request});
    m_log.write(fmt::format("{} runs {} \"{}\" from {}", m_id, request.find("request-id"),
                            request.first_line, sender));
    return fmt::format("{}.{:x}.07.5a2.600.0.c9f2a4d1", m_id, ++m_receipts);
}

std::vector<arrival> replica::runs() const
{
    const std::scoped_lock lock(m_mutex);
    return m_runs;
}

bool replica::refuse_foreign(connection& peer, const message& request) const
{
    if (request.find("target-instance") == m_id)
        return false;
    peer.send(fmt::format("HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\n"
                          "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                          m_id));
    return true;
}

std::string replica::make_answer(const message& request, const std::string& receipt)
{
    const std::string body = fmt::format("the whole body for {}\n", request.find("request-id"));
    const bool has_body = !request.first_line.starts_with("HEAD ");
    return fmt::format("HTTP/1.1 200 OK\r\nRequest-Id: {}\r\nResponse-Stamp: {}\r\n"
                       "Content-Length: {}\r\n\r\n{}",
                       request.find("request-id"), receipt, body.size(), has_body ? body : "");
}

bool replica::answer(replica& self, connection& peer, const message& request)
{
    if (self.refuse_foreign(peer, request))
        return true;
    return peer.send(make_answer(request, self.run(request, peer.peer_ip())));
}

deployment::deployment(const deployment_options& options, record& log)
    : m_options(options), m_log(log), m_network(choose_network(options.gateways))
{
    std::string folder =
        (std::filesystem::temp_directory_path() / "ospreystair-review-XXXXXX").string();
    if (!mkdtemp(folder.data()))
        give_up("cannot make a temporary folder");
    m_folder = folder;
    ospreystair::base::error reason;
    auto store = ospreystair::standins::store_standin::create(
        m_context, {ospreystair::http::asio::ip::make_address(m_network + "2"), 0}, reason);
    if (!store)
        give_up(reason.message);
    m_store = std::move(*store);
    m_store_thread = std::thread(
        [this]
        {
            const auto guard = boost::asio::make_work_guard(m_context);
            m_context.run();
        });
    m_configuration["routes"] = Json::Value(Json::arrayValue);
    m_configuration["services"] = Json::Value(Json::arrayValue);
    Json::Value& limits = m_configuration["limits"];
    limits["maxHeaderBytes"] = 16384;
    limits["maxBodyBytes"] = 262144;
    limits["headerTimeoutMs"] = 3000;
    limits["idleTimeoutMs"] = 15000;
    for (std::size_t index = 0; index < options.gateways; ++index)
    {
        gateway item;
        item.name = fmt::format("front-amman-{}-1", static_cast<char>('a' + index));
        item.zone = fmt::format("amman-{}", static_cast<char>('a' + index % 3));
        item.ip = m_network + std::to_string(10 + index);
        item.settings_path = fmt::format("{}/{}.toml", m_folder, item.name);
        item.log_path = fmt::format("{}/{}.log", m_folder, item.name);
        write_settings(item);
        m_gateways.push_back(item);
    }
}

deployment::~deployment()
{
    for (const gateway& item : m_gateways)
        if (item.process > 0)
        {
            kill(item.process, SIGKILL);
            waitpid(item.process, nullptr, 0);
        }
    m_replicas.clear();
    m_context.stop();
    m_store_thread.join();
    if (std::getenv("KEEP_LOGS"))
        std::fprintf(stderr, "logs are in %s\n", m_folder.c_str());
    else
        std::filesystem::remove_all(m_folder);
}

void deployment::write_settings(gateway& item) const
{
    std::ofstream file(item.settings_path);
    file << fmt::format(R"(node = "{}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "{}"
zone = "{}"
region = "amman"
portRange = [7380,7395]
seeds = []
bootstrap = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
[zones]
amman-a = "amman"
amman-b = "amman"
amman-c = "amman"
[listen]
front = "{}:{}"
readiness = "{}:{}"
[limits]
cpuShare = 0.25
cpuCores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
downgradeSlackMs = 250
maxStretchMs = 12000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 56
quotaWindowS = 5
quotaOver = 0.1
quotaSlack = 20
recoverS = 12
[platform]
address = "{}:{}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
)",
                        item.name, item.ip, item.zone, item.ip, front_port, item.ip, readiness_port,
                        m_store->address().address().to_string(), m_store->address().port());
}

replica& deployment::add_replica(const std::string& service, replica::handler on_request)
{
    const std::string id = fmt::format("i-{}-{}", service, m_replicas.size() + 1);
    m_replicas.push_back(
        std::make_unique<replica>(id, service, m_network + "3", m_log, std::move(on_request)));
    register_replica(*m_replicas.back());
    const Json::Value& services = m_configuration["services"];
    const bool is_known =
        std::any_of(services.begin(), services.end(),
                    [&service](const Json::Value& item) { return item["name"] == service; });
    if (!is_known)
    {
        Json::Value item;
        item["name"] = service;
        item["healthPath"] = "/healthz";
        item["maxConns"] = 110;
        m_configuration["services"].append(item);
    }
    return *m_replicas.back();
}

void deployment::register_replica(const replica& item)
{
    Json::Value entry;
    entry["service"] = item.service();
    entry["address"] = item.address();
    entry["zone"] = "amman-a";
    entry["version"] = "v1";
    entry["slots"] = 4;
    entry["state"] = "ready";
    entry["warmupLeftMs"] = 0;
    entry["sequence"] = 1;
    m_store->put("servers", item.id(), entry);
}

Json::Value& deployment::add_route(const std::string& prefix, const std::string& service,
                                   const std::string& type)
{
    Json::Value route;
    route["name"] = "r" + service + std::to_string(m_configuration["routes"].size());
    route["host"] = host;
    route["pathPrefix"] = prefix;
    route["type"] = type;
    route["timeoutMs"] = 2000;
    route["sloMs"] = 400;
    route["priority"] = 2;
    route["service"] = service;
    route["maxAttempts"] = 2;
    return m_configuration["routes"].append(route);
}

void deployment::publish()
{
    m_configuration["version"] = Json::UInt64{m_version += 3};
    m_store->put("config", "main", m_configuration);
    m_log.write(fmt::format("the operator writes version {}", m_version));
}

void deployment::start(std::size_t index)
{
    gateway& item = m_gateways.at(index);
    const pid_t process = fork();
    if (process < 0)
        give_up("cannot start a process");
    if (process == 0)
    {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = open(item.log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        setenv("OSPREYSTAIR_BOOT", item.settings_path.c_str(), 1);
        execl(m_options.program.c_str(), m_options.program.c_str(), "--metrics-port", "9464",
              nullptr);
        _exit(127);
    }
    item.process = process;
    m_log.write(fmt::format("{} starts at {}", item.name, item.ip));
}

bool deployment::wait_until_ready(std::size_t index, milliseconds timeout)
{
    const clock::time_point end = clock::now() + timeout;
    for (; clock::now() < end; std::this_thread::sleep_for(milliseconds{50}))
    {
        const auto probe = connection::open(m_gateways.at(index).ip, readiness_port);
        if (!probe || !probe->send("GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n"))
            continue;
        const auto reply = probe->read_message(milliseconds{500});
        if (reply && reply->first_line.starts_with("HTTP/1.1 200"))
            return true;
    }
    return false;
}

void deployment::start()
{
    constexpr milliseconds start_time{15'000};
    // The VMs introduce themselves, and open their connections.
    constexpr milliseconds settle_time{3'000};
    for (std::size_t index = 0; index < m_gateways.size(); ++index)
        start(index);
    for (std::size_t index = 0; index < m_gateways.size(); ++index)
        if (!wait_until_ready(index, start_time))
            give_up(m_gateways[index].name + " is not ready");
    std::this_thread::sleep_for(settle_time);
    m_log.write("all gateways are ready");
}

std::unique_ptr<connection> deployment::connect(std::size_t index)
{
    return connection::open(m_gateways.at(index).ip, front_port);
}

std::string make_id()
{
    static std::atomic<unsigned> count{0};
    return fmt::format("9c41{:08x}{:04x}", static_cast<unsigned>(getpid()), ++count);
}

std::string make_head(const std::string& method, const std::string& target, const std::string& id,
                      milliseconds deadline)
{
    return fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n",
                       method, target, host, id, deadline.count());
}

} // namespace review
