// Sockets, stand-ins and processes of the cases.

#include "review/harness/stage.hpp"

#include <algorithm>
#include <cctype>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <iostream>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

namespace
{

const clock::time_point started_at = clock::now();
const std::string host = "q.example";

sockaddr_in make_address(const std::string& ip, unsigned port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &result.sin_addr);
    return result;
}

int listen_at(const std::string& ip, unsigned& port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int yes = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
    sockaddr_in address = make_address(ip, port);
    socklen_t size = sizeof address;
    if (::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
        ::listen(descriptor, 512) != 0)
    {
        std::cerr << "cannot listen at " << ip << "\n";
        std::exit(2);
    }
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    port = ntohs(address.sin_port);
    return descriptor;
}

// A port that is free on the address now.
unsigned find_free_port(const std::string& ip)
{
    unsigned port = 0;
    ::close(listen_at(ip, port));
    return port;
}

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char each) { return static_cast<char>(std::tolower(each)); });
    return text;
}

std::string trim(const std::string& text)
{
    const auto first = text.find_first_not_of(" \t\r");
    return first == std::string::npos
               ? std::string()
               : text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

// The words of the deploy file's line "run".
std::string read_run_line()
{
    std::ifstream file("deploy/system.toml");
    for (std::string line; std::getline(file, line);)
        if (line.rfind("run = \"", 0) == 0)
            return line.substr(7, line.rfind('"') - 7);
    std::cerr << "deploy/system.toml has no line that begins with run\n";
    std::exit(2);
}

} // namespace

double seconds_since_start()
{
    return std::chrono::duration<double>(clock::now() - started_at).count();
}

void sleep_for(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

bool has_trouble()
{
    const char* const value = std::getenv("TROUBLE");
    return !value || std::string(value) != "0";
}

record::record(const std::string& path)
    : m_descriptor(::open(path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644))
{
    if (m_descriptor < 0)
        std::exit(2);
}

record::~record()
{
    ::close(m_descriptor);
}

void record::write(const std::string& line)
{
    const std::string text = fmt::format("{:9.4f} {}\n", seconds_since_start(), line);
    const std::scoped_lock lock(m_mutex);
    [[maybe_unused]] const auto written = ::write(m_descriptor, text.data(), text.size());
}

void record::say(const std::string& line)
{
    write(line);
    std::cout << line << std::endl;
}

std::string message::field(const std::string& name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

std::string message::method() const
{
    return first_line.substr(0, first_line.find(' '));
}

std::string message::path() const
{
    const auto begin = first_line.find(' ') + 1;
    return first_line.substr(begin, first_line.find(' ', begin) - begin);
}

int message::status() const
{
    const auto begin = first_line.find(' ');
    return begin == std::string::npos ? 0 : std::atoi(first_line.c_str() + begin + 1);
}

std::unique_ptr<wire> wire::connect(const std::string& ip, unsigned port, milliseconds timeout)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (descriptor < 0)
        return nullptr;
    auto result = std::make_unique<wire>(descriptor);
    const int yes = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
    const sockaddr_in address = make_address(ip, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
        return result;
    pollfd state{descriptor, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS || ::poll(&state, 1, static_cast<int>(timeout.count())) != 1 ||
        ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
        return nullptr;
    return result;
}

void wire::close()
{
    const int descriptor = m_descriptor.exchange(-1);
    if (descriptor >= 0)
        ::close(descriptor);
}

void wire::shut_down()
{
    if (m_descriptor >= 0)
        ::shutdown(m_descriptor, SHUT_RDWR);
}

void wire::reset()
{
    const linger at_once{1, 0};
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    shut_down();
}

bool wire::send(const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size())
    {
        const ssize_t size =
            ::send(m_descriptor, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (size > 0)
        {
            sent += static_cast<std::size_t>(size);
            continue;
        }
        pollfd state{m_descriptor, POLLOUT, 0};
        if (errno != EAGAIN || ::poll(&state, 1, 5'000) != 1)
            return false;
    }
    return true;
}

std::string wire::read_some()
{
    char bytes[8192];
    const ssize_t size = ::recv(m_descriptor, bytes, sizeof bytes, 0);
    return size <= 0 ? std::string() : std::string(bytes, static_cast<std::size_t>(size));
}

bool wire::read_more(clock::time_point end)
{
    const auto left = std::chrono::ceil<milliseconds>(end - clock::now()).count();
    pollfd state{m_descriptor, POLLIN, 0};
    const int ready = left > 0 ? ::poll(&state, 1, static_cast<int>(left)) : 0;
    m_is_late = ready == 0;
    if (ready != 1)
        return false;
    char bytes[8192];
    const ssize_t size = ::recv(m_descriptor, bytes, sizeof bytes, 0);
    if (size <= 0)
        return false;
    m_buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
}

std::optional<message> wire::read(milliseconds timeout, bool has_body)
{
    const auto end = clock::now() + timeout;
    std::size_t head_end = std::string::npos;
    while ((head_end = m_buffer.find("\r\n\r\n")) == std::string::npos)
        if (!read_more(end))
            return std::nullopt;
    message result;
    std::istringstream head(m_buffer.substr(0, head_end));
    std::getline(head, result.first_line);
    result.first_line = trim(result.first_line);
    for (std::string line; std::getline(head, line);)
    {
        const auto colon = line.find(':');
        if (colon != std::string::npos)
            result.fields[to_lower(line.substr(0, colon))] = trim(line.substr(colon + 1));
    }
    m_buffer.erase(0, head_end + 4);
    const std::size_t size =
        has_body ? std::strtoul(result.field("content-length").c_str(), nullptr, 10) : 0;
    while (m_buffer.size() < size)
        if (!read_more(end))
            return std::nullopt;
    result.body = m_buffer.substr(0, size);
    m_buffer.erase(0, size);
    return result;
}

replica::replica(std::string id, std::string ip, handler on_request)
    : m_id(std::move(id)), m_ip(std::move(ip)), m_on_request(std::move(on_request))
{
    restart();
}

replica::~replica()
{
    crash();
    for (std::thread& each : m_sessions)
        each.join();
}

void replica::restart()
{
    m_is_stopping = false;
    m_listener = listen_at(m_ip, m_port);
    m_thread = std::thread([this] { accept(); });
}

void replica::crash()
{
    if (m_is_stopping.exchange(true))
        return;
    ::shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    ::close(m_listener);
    const std::scoped_lock lock(m_mutex);
    for (const auto& link : m_links)
        link->reset();
    m_links.clear();
}

std::string replica::address() const
{
    return fmt::format("{}:{}", m_ip, m_port);
}

void replica::accept()
{
    while (!m_is_stopping)
    {
        const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        const int yes = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        auto link = std::make_shared<wire>(descriptor);
        const std::scoped_lock lock(m_mutex);
        m_links.push_back(link);
        m_sessions.emplace_back(
            [this, link]
            {
                constexpr milliseconds idle_timeout{60'000};
                session current{*link, {}};
                while (const auto request = link->read(idle_timeout))
                {
                    // An old address: this replica does not run the request.
                    const std::string wanted = request->field("target-instance");
                    if (!wanted.empty() && wanted != m_id)
                        link->send(make_answer(*request, "421 Misdirected Request", false, ""));
                    else
                        m_on_request(*this, current, *request);
                }
                link->shut_down();
            });
    }
}

std::string replica::make_answer(const message& request, const std::string& status, bool has_run,
                                 const std::string& body)
{
    std::string result = fmt::format("HTTP/1.1 {}\r\nRequest-Id: {}\r\nContent-Length: {}\r\n",
                                     status, request.field("request-id"), body.size());
    result += has_run ? fmt::format("Response-Stamp: {}.{}.{}\r\n", m_id, ++m_receipts,
                                    request.field("request-id"))
                      : std::string("Not-Executed: 1\r\n");
    result += "\r\n";
    return request.method() == "HEAD" ? result : result + body;
}

delaying_link::delaying_link(std::string ip, milliseconds delay)
    : m_ip(std::move(ip)), m_delay(delay)
{
    m_listener = listen_at(m_ip, m_port);
    m_thread = std::thread([this] { accept(); });
}

delaying_link::~delaying_link()
{
    m_is_stopping = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    ::close(m_listener);
    {
        const std::scoped_lock lock(m_mutex);
        for (const auto& link : m_links)
            link->shut_down();
    }
    while (m_passing > 0)
        sleep_for(milliseconds{1});
}

std::string delaying_link::address() const
{
    return fmt::format("{}:{}", m_ip, m_port);
}

void delaying_link::set_target(std::string ip, unsigned port)
{
    const std::scoped_lock lock(m_mutex);
    m_target_ip = std::move(ip);
    m_target_port = port;
}

void delaying_link::accept()
{
    while (!m_is_stopping)
    {
        const int descriptor = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0)
            continue;
        const int yes = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        const auto near = std::make_shared<wire>(descriptor);
        const std::scoped_lock lock(m_mutex);
        const int far_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto far = std::make_shared<wire>(far_descriptor);
        ::setsockopt(far_descriptor, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof yes);
        const sockaddr_in address = make_address(m_target_ip, m_target_port);
        if (::connect(far_descriptor, reinterpret_cast<const sockaddr*>(&address),
                      sizeof address) != 0)
            continue;
        std::erase_if(m_links, [](const auto& link) { return link.use_count() == 1; });
        m_links.push_back(near);
        m_links.push_back(far);
        m_passing += 2;
        std::thread([this, near, far] { pass_on(near, far); }).detach();
        std::thread([this, near, far] { pass_on(far, near); }).detach();
    }
}

void delaying_link::pass_on(std::shared_ptr<wire> from, std::shared_ptr<wire> to)
{
    for (std::string bytes; !(bytes = from->read_some()).empty();)
    {
        std::this_thread::sleep_for(m_delay);
        if (!to->send(bytes))
            break;
    }
    std::this_thread::sleep_for(m_delay);
    to->shut_down();
    from.reset();
    to.reset();
    --m_passing;
}

stage::stage(const std::string& folder)
    : m_record(folder + "/record.txt"), m_run_line(read_run_line()),
      m_work(boost::asio::make_work_guard(m_context))
{
    std::signal(SIGPIPE, SIG_IGN);
    std::string name = "/tmp/ospreystair-review-XXXXXX";
    if (const char* const base = std::getenv("TMPDIR"))
        name = std::string(base) + "/ospreystair-review-XXXXXX";
    if (!::mkdtemp(name.data()))
        std::exit(2);
    m_folder = name;
    ospreystair::base::error reason;
    auto created = ospreystair::standins::store_standin::create(
        m_context, {boost::asio::ip::make_address(next_ip()), 0}, reason);
    if (!created)
    {
        std::cerr << reason.message << "\n";
        std::exit(2);
    }
    m_store = std::move(*created);
    m_thread = std::thread([this] { m_context.run(); });
}

stage::~stage()
{
    for (const auto& vm : m_gateways)
        if (vm->pid > 0 && !find_end(*vm))
        {
            ::kill(vm->pid, SIGCONT);
            ::kill(vm->pid, SIGKILL);
            ::waitpid(vm->pid, nullptr, 0);
        }
    m_replicas.clear();
    m_peer_links.clear();
    m_context.stop();
    m_thread.join();
    const char* const keeps_logs = std::getenv("KEEP_LOGS");
    if (keeps_logs)
        std::cout << "logs of the gateways: " << m_folder << std::endl;
    for (const auto& vm : m_gateways)
        if (!keeps_logs)
        {
            ::unlink(vm->settings.c_str());
            ::unlink(vm->log.c_str());
        }
    ::rmdir(m_folder.c_str());
}

std::string stage::next_ip()
{
    // Derived from the process id, so that two cases at the same time do not share an address.
    constexpr unsigned values = 250;
    const auto id = static_cast<unsigned>(::getpid());
    return fmt::format("127.{}.{}.{}", 1 + id % values, 1 + id / values % values, 1 + m_next_ip++);
}

std::string stage::make_id()
{
    return fmt::format("r{:07}", ++m_next_id);
}

replica& stage::add_replica(const std::string& service, const std::string& zone, unsigned slots,
                            const replica::handler& on_request)
{
    const std::string id = fmt::format("i-{}-{}", service, m_replicas.size());
    m_replicas.push_back(std::make_unique<replica>(id, next_ip(), on_request));
    Json::Value entry;
    entry["service"] = service;
    entry["address"] = m_replicas.back()->address();
    entry["zone"] = zone;
    entry["version"] = "v1";
    entry["slots"] = slots;
    entry["state"] = "ready";
    entry["warmupLeftMs"] = 0;
    entry["sequence"] = 1;
    entry["born"] = Json::Int64{1'796'000'000'000};
    m_store->put("servers", id, entry);
    return *m_replicas.back();
}

Json::Value stage::make_route(const std::string& name, const std::string& prefix,
                              const std::string& type, int timeout_ms, int objective_ms,
                              unsigned max_attempts)
{
    Json::Value result;
    result["name"] = name;
    result["host"] = host;
    result["pathPrefix"] = prefix;
    result["type"] = type;
    result["timeoutMs"] = timeout_ms;
    result["sloMs"] = objective_ms;
    result["priority"] = 1;
    result["maxAttempts"] = max_attempts;
    return result;
}

void stage::publish(const Json::Value& routes, const Json::Value& tenants, unsigned max_connections)
{
    m_version += 3;
    Json::Value configuration;
    configuration["version"] = Json::UInt64{m_version};
    configuration["routes"] = routes;
    if (!tenants.isNull())
        configuration["tenants"] = tenants;
    std::map<std::string, bool> services;
    for (const Json::Value& route : routes)
    {
        if (route.isMember("service"))
            services[route["service"].asString()] = true;
        for (const Json::Value& part : route["trafficSplit"])
            services[part["service"].asString()] = true;
    }
    configuration["services"] = Json::arrayValue;
    for (const auto& [name, ignored] : services)
    {
        Json::Value service;
        service["name"] = name;
        service["healthPath"] = "/healthz";
        service["maxConns"] = max_connections;
        configuration["services"].append(service);
    }
    Json::Value& limits = configuration["limits"];
    limits["maxHeaderBytes"] = 16'384;
    limits["maxBodyBytes"] = 262'144;
    limits["headerTimeoutMs"] = 3'000;
    limits["idleTimeoutMs"] = 30'000;
    m_store->put("config", "main", configuration);
    m_record.write(fmt::format("operator: version {} is acknowledged", m_version));
}

void stage::delay_peers(milliseconds one_way)
{
    m_peer_delay = one_way;
    ospreystair::base::error reason;
    m_edited_store = m_store->serve_edited(
        [this](std::string& text)
        {
            const std::scoped_lock lock(m_mutex);
            for (const auto& [own, replaced] : m_replaced_addresses)
                for (std::size_t at = text.find(own); at != std::string::npos; at = text.find(own))
                    text.replace(at, own.size(), replaced);
        },
        reason);
    if (!m_edited_store)
        std::exit(2);
}

std::string stage::make_settings(const gateway& vm, bool is_first_start) const
{
    const auto store = m_edited_store.value_or(m_store->address());
    return fmt::format(R"(node = "{0}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "{2}"
zone = "{1}"
region = "riga"
portRange = [{5},{5}]
seeds = []
bootstrap = {6}
countsTowardLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base","drain","config","cost","retry","recover","scatter","tenants","quota","platform"]
[zones]
riga-centrs = "riga"
riga-purvciems = "riga"
riga-imanta = "riga"
[listen]
front = "{2}:{3}"
readiness = "{2}:{4}"
[limits]
cpuShare = 0.25
cpuCores = 1
memoryMb = 260
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableWindowMs = 5000
ackMs = 8000
catchUpS = 6
drainMs = 5000
graceS = 6
lossSlackMs = 200
configApplyMs = 5000
downgradeSlackMs = 250
maxStretchMs = 15000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 160
quotaWindowS = 5
quotaOver = 0.1
quotaSlack = 20
recoverS = 15
[platform]
address = "{7}:{8}"
form = "objects"
writesPerS = 1200
readsPerS = 6000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
)",
                       vm.name, vm.zone, vm.ip, vm.caller_port, vm.readiness_port, vm.peer_port,
                       is_first_start, store.address().to_string(), store.port());
}

gateway& stage::add_gateway(const std::string& name, const std::string& zone, bool is_first_start)
{
    auto added = std::make_unique<gateway>();
    added->name = name;
    added->zone = zone;
    added->ip = next_ip();
    added->caller_port = find_free_port(added->ip);
    do
        added->readiness_port = find_free_port(added->ip);
    while (added->readiness_port == added->caller_port);
    do
        added->peer_port = find_free_port(added->ip);
    while (added->peer_port == added->caller_port || added->peer_port == added->readiness_port);
    added->settings = fmt::format("{}/{}.toml", m_folder, name);
    added->log = fmt::format("{}/{}.log", m_folder, name);
    if (m_edited_store)
    {
        m_peer_links.push_back(std::make_unique<delaying_link>(next_ip(), m_peer_delay));
        m_peer_links.back()->set_target(added->ip, added->peer_port);
        const std::scoped_lock lock(m_mutex);
        m_replaced_addresses[fmt::format("\"{}:{}\"", added->ip, added->peer_port)] =
            "\"" + m_peer_links.back()->address() + "\"";
    }
    std::ofstream(added->settings) << make_settings(*added, is_first_start);
    m_gateways.push_back(std::move(added));
    start(*m_gateways.back());
    return *m_gateways.back();
}

void stage::start(gateway& vm)
{
    std::vector<std::string> words;
    std::istringstream line(m_run_line);
    for (std::string word; line >> word;)
        words.push_back(word);
    std::vector<std::string> environment = {"OSPREYSTAIR_BOOT=" + vm.settings};
    for (const char* name : {"PATH", "HOME", "LANG"})
        if (const char* const value = std::getenv(name))
            environment.push_back(std::string(name) + "=" + value);
    const auto to_pointers = [](std::vector<std::string>& texts)
    {
        std::vector<char*> result;
        for (std::string& text : texts)
            result.push_back(text.data());
        result.push_back(nullptr);
        return result;
    };
    const std::vector<char*> arguments = to_pointers(words);
    const std::vector<char*> variables = to_pointers(environment);
    const int log = ::open(vm.log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    const int none = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
    vm.pid = ::fork();
    if (vm.pid == 0)
    {
        // Ends with the case, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::dup2(none, 0);
        ::dup2(log, 1);
        ::dup2(log, 2);
        ::execve(arguments.front(), arguments.data(), variables.data());
        ::_exit(127);
    }
    ::close(log);
    ::close(none);
    m_record.write(
        fmt::format("start of {} at {}:{}, process {}", vm.name, vm.ip, vm.caller_port, vm.pid));
}

bool stage::is_ready(const gateway& vm) const
{
    const auto link = wire::connect(vm.ip, vm.readiness_port, milliseconds{500});
    if (!link || !link->send("GET /v1/ready HTTP/1.1\r\nHost: platform\r\n\r\n"))
        return false;
    const auto answer = link->read(milliseconds{500});
    return answer && answer->status() == 200;
}

void stage::wait_until_ready()
{
    for (const auto& vm : m_gateways)
        for (int tries = 0; !is_ready(*vm); ++tries)
        {
            if (tries > 150)
            {
                m_record.say(vm->name + " does not become ready");
                std::exit(2);
            }
            sleep_for(milliseconds{100});
        }
    m_record.write("all gateways are ready");
}

std::optional<std::string> stage::find_end(gateway& vm)
{
    int status = 0;
    if (vm.pid <= 0 || ::waitpid(vm.pid, &status, WNOHANG) != vm.pid)
        return std::nullopt;
    vm.pid = -1;
    return WIFSIGNALED(status) ? fmt::format("signal {}", WTERMSIG(status))
                               : fmt::format("status {}", WEXITSTATUS(status));
}

caller::result caller::send(const call& wanted)
{
    result ended;
    if (!m_link)
    {
        m_link = wire::connect(m_vm->ip, m_vm->caller_port, milliseconds{1'000});
        m_answers = 0;
    }
    if (!m_link)
        return ended;
    std::string text =
        fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {}\r\nDeadline-Ms: {}\r\n",
                    wanted.method, wanted.path, host, wanted.id, wanted.deadline_ms);
    if (!wanted.key.empty())
        text += fmt::format("Credential: {}\r\n", wanted.key);
    if (!wanted.body.empty())
        text += fmt::format("Content-Length: {}\r\n", wanted.body.size());
    text += "\r\n" + wanted.body;
    ended.is_kept_connection = m_answers > 0;
    if (!m_link->send(text))
    {
        m_link.reset();
        return ended;
    }
    const auto answer =
        m_link->read(milliseconds{wanted.deadline_ms + 1'000}, wanted.method != "HEAD");
    if (!answer)
    {
        ended.end = m_link->is_late() ? outcome::no_answer : outcome::closed;
        m_link.reset();
        return ended;
    }
    ended.end = outcome::answered;
    ended.answer = *answer;
    ++m_answers;
    if (to_lower(answer->field("connection")) == "close")
        m_link.reset();
    return ended;
}

} // namespace review
