// Stand-ins for the users' platform, for the cases of the second review: the store, replicas,
// consumers, and gateways that run as separate processes. Plain sockets and threads, so that a case
// decides about each byte. All addresses are loopback addresses.

#ifndef OSPREYSTAIR_REVIEW_STANDINS_2_STANDIN_HPP
#define OSPREYSTAIR_REVIEW_STANDINS_2_STANDIN_HPP

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review
{

using namespace std::chrono_literals;
using clock_type = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

/// Writes what was sent, answered and run to record.txt. Thread-safe.
class record_file
{
public:
    explicit record_file(const std::string& path) : m_file(path), m_start(clock_type::now()) {}
    void line(const std::string& text)
    {
        const std::scoped_lock lock(m_mutex);
        const auto at =
            std::chrono::duration_cast<milliseconds>(clock_type::now() - m_start).count();
        m_file << at << " ms  " << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    clock_type::time_point m_start;
};

/// One TCP connection.
class connection
{
public:
    explicit connection(int descriptor) : m_descriptor(descriptor)
    {
        const int on = 1;
        ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~connection() { close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    static std::unique_ptr<connection> open(const std::string& ip, int port)
    {
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        if (::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
        {
            ::close(descriptor);
            return nullptr;
        }
        return std::make_unique<connection>(descriptor);
    }

    bool write(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (sent < bytes.size())
        {
            const ssize_t count =
                ::send(m_descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return true;
    }

    /// Reads once into the buffer. Returns false at the end of the stream, a reset or the deadline.
    bool read(clock_type::time_point deadline)
    {
        const auto left =
            std::chrono::duration_cast<milliseconds>(deadline - clock_type::now()).count();
        pollfd state{m_descriptor, POLLIN, 0};
        if (m_descriptor < 0 || left < 0 || ::poll(&state, 1, static_cast<int>(left)) != 1)
        {
            m_end = "no more bytes in time";
            return false;
        }
        char bytes[65536];
        const ssize_t count = ::recv(m_descriptor, bytes, sizeof bytes, 0);
        if (count <= 0)
        {
            m_end = count == 0 ? "closed" : std::strerror(errno);
            return false;
        }
        m_buffer.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    bool has_ended()
    {
        pollfd state{m_descriptor, POLLIN | POLLRDHUP, 0};
        return ::poll(&state, 1, 0) == 1 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }
    void close()
    {
        if (m_descriptor >= 0)
            ::close(m_descriptor);
        m_descriptor = -1;
    }
    void reset()
    {
        const linger value{1, 0};
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &value, sizeof value);
        close();
    }
    void shut_down() { ::shutdown(m_descriptor, SHUT_RDWR); }

    std::string& buffer() { return m_buffer; }
    const std::string& end() const { return m_end; }

private:
    int m_descriptor;
    std::string m_buffer;
    std::string m_end;
};

/// A request or an answer.
struct message
{
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    std::string field(const std::string& name) const
    {
        for (const auto& [key, value] : fields)
            if (::strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        return {};
    }
    std::string method() const { return first_line.substr(0, first_line.find(' ')); }
    std::string target() const
    {
        const auto first = first_line.find(' ');
        return first_line.substr(first + 1, first_line.rfind(' ') - first - 1);
    }
    int status() const
    {
        return first_line.size() > 12 ? std::atoi(first_line.substr(9, 3).c_str()) : 0;
    }
};

/// Reads one message with Content-Length or chunks; other answers end with the connection.
/// `has_body` is false for the answer to a HEAD request.
inline std::optional<message> read_message(connection& link, clock_type::time_point deadline,
                                           bool is_answer, bool has_body = true)
{
    std::string& buffer = link.buffer();
    std::size_t head_end = 0;
    while ((head_end = buffer.find("\r\n\r\n")) == std::string::npos)
        if (!link.read(deadline))
            return std::nullopt;
    message result;
    std::istringstream lines(buffer.substr(0, head_end + 2));
    std::string line;
    std::getline(lines, result.first_line);
    if (!result.first_line.empty())
        result.first_line.pop_back();
    while (std::getline(lines, line))
    {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        const auto value = line.find_first_not_of(' ', colon + 1);
        result.fields.emplace_back(line.substr(0, colon),
                                   value == std::string::npos ? "" : line.substr(value));
    }
    buffer.erase(0, head_end + 4);
    if (is_answer && !has_body)
        return result;
    const auto need = [&](std::size_t size)
    {
        while (buffer.size() < size)
            if (!link.read(deadline))
                return false;
        return true;
    };
    if (::strcasecmp(result.field("Transfer-Encoding").c_str(), "chunked") == 0)
    {
        while (true)
        {
            std::size_t end = 0;
            while ((end = buffer.find("\r\n")) == std::string::npos)
                if (!link.read(deadline))
                    return std::nullopt;
            const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
            if (!need(end + 2 + size + 2))
                return std::nullopt;
            result.body += buffer.substr(end + 2, size);
            buffer.erase(0, end + 2 + size + 2);
            if (size == 0)
                return result;
        }
    }
    const std::string length = result.field("Content-Length");
    if (!length.empty())
    {
        const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
        if (!need(size))
            return std::nullopt;
        result.body = buffer.substr(0, size);
        buffer.erase(0, size);
    }
    else if (is_answer && result.status() != 204 && result.status() != 304)
    {
        while (link.read(deadline))
            ;
        if (link.end() != "closed")
            return std::nullopt;
        result.body = std::exchange(buffer, {});
    }
    return result;
}

/// Returns "prefix-number".
inline std::string make_id(const std::string& prefix, int number)
{
    return prefix + "-" + std::to_string(number);
}

/// Returns a consumer's request to host "q.example"; one with a body if `body` is not empty.
inline std::string make_request(const std::string& method, const std::string& target,
                                const std::string& id, int deadline_ms,
                                const std::string& body = {})
{
    std::string result = method + " " + target +
                         " HTTP/1.1\r\nHost: q.example\r\nRequest-Id: " + id +
                         "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
    if (!body.empty())
        result += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return result + "\r\n" + body;
}

/// Describes what a consumer has got, for the record.
inline std::string describe(const std::string& id, const std::optional<message>& answer,
                            const connection& link)
{
    return id + ": " + (answer ? answer->first_line : "no answer, " + link.end());
}

/// Accepts connections and serves each on a thread of its own.
class listener
{
public:
    using handler = std::function<void(connection&)>;

    listener(const std::string& ip, int port, handler serve) : m_serve(std::move(serve))
    {
        m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
        if (::bind(m_descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
            ::listen(m_descriptor, 256) != 0)
        {
            std::fprintf(stderr, "cannot listen on %s:%d\n", ip.c_str(), port);
            std::_Exit(2);
        }
        socklen_t size = sizeof address;
        ::getsockname(m_descriptor, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        m_thread = std::thread([this] { accept(); });
    }
    ~listener() { stop(); }

    int port() const { return m_port; }

    /// Stops listening and ends all connections.
    void stop()
    {
        if (m_is_stopped.exchange(true))
            return;
        ::shutdown(m_descriptor, SHUT_RDWR);
        m_thread.join();
        ::close(m_descriptor);
        cut();
        std::unique_lock lock(m_mutex);
        m_ended.wait(lock, [this] { return m_links.empty(); });
    }
    /// Ends all connections.
    void cut()
    {
        const std::scoped_lock lock(m_mutex);
        for (connection* each : m_links)
            each->shut_down();
    }
    bool is_stopped() const { return m_is_stopped; }

private:
    void accept()
    {
        while (true)
        {
            const int descriptor = ::accept4(m_descriptor, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0)
            {
                if (m_is_stopped)
                    return;
                continue;
            }
            auto link = std::make_shared<connection>(descriptor);
            {
                const std::scoped_lock lock(m_mutex);
                m_links.insert(link.get());
            }
            std::thread(
                [this, link]
                {
                    m_serve(*link);
                    const std::scoped_lock lock(m_mutex);
                    m_links.erase(link.get());
                    link->close();
                    m_ended.notify_all();
                })
                .detach();
        }
    }

    handler m_serve;
    int m_descriptor = -1;
    int m_port = 0;
    std::atomic<bool> m_is_stopped{false};
    std::mutex m_mutex;
    std::condition_variable m_ended;
    std::set<connection*> m_links;
    std::thread m_thread;
};

inline std::string make_answer(int status, const std::string& body, const std::string& fields = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's store: objects by kind and name, lists, watches, conditional writes.
class store
{
public:
    store() : m_listener("127.0.0.1", 0, [this](connection& link) { serve(link); }) {}
    ~store()
    {
        m_is_ending = true;
        m_changed.notify_all();
        m_listener.stop();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_listener.port()); }

    /// Writes as the operator or a replica does. Returns when the store has acknowledged it.
    void put(const std::string& kind, const std::string& name, const std::string& spec)
    {
        const std::scoped_lock lock(m_mutex);
        write(kind, name, spec);
    }
    void remove(const std::string& kind, const std::string& name)
    {
        const std::scoped_lock lock(m_mutex);
        erase(kind, name);
    }

private:
    struct object
    {
        std::uint64_t revision = 0;
        std::string spec;
    };
    struct change
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text;
    };

    static std::string to_text(const std::string& name, const object& item)
    {
        return R"({"meta":{"name":")" + name + R"(","revision":)" + std::to_string(item.revision) +
               R"(,"created":1,"finalizers":[],"deleting":false},"spec":)" + item.spec +
               R"(,"status":null})";
    }
    void write(const std::string& kind, const std::string& name, const std::string& spec)
    {
        object& item = m_objects[kind][name];
        if (item.spec == spec)
            return;
        item = {++m_revision, spec};
        m_history.push_back(
            {m_revision, kind, R"({"deleted":false,"object":)" + to_text(name, item) + "}"});
        m_changed.notify_all();
    }
    void erase(const std::string& kind, const std::string& name)
    {
        if (m_objects[kind].count(name) == 0)
            return;
        object item = m_objects[kind][name];
        item.revision = ++m_revision;
        m_objects[kind].erase(name);
        m_history.push_back(
            {m_revision, kind, R"({"deleted":true,"object":)" + to_text(name, item) + "}"});
        m_changed.notify_all();
    }

    static std::string parameter(const std::string& target, const std::string& name)
    {
        const auto found = target.find(name + "=");
        if (found == std::string::npos)
            return {};
        const auto begin = found + name.size() + 1;
        return target.substr(begin, target.find('&', begin) - begin);
    }
    // The text of an object's member "spec", which is the last one that the gateway writes.
    static std::string find_spec(const std::string& body)
    {
        const auto found = body.find(R"("spec":)");
        if (found == std::string::npos)
            return "null";
        std::size_t at = found + 7;
        int depth = 0;
        bool is_text = false;
        for (std::size_t index = at; index < body.size(); ++index)
        {
            const char letter = body[index];
            if (is_text && letter == '\\')
                ++index;
            else if (letter == '"')
                is_text = !is_text;
            else if (!is_text && (letter == '{' || letter == '['))
                ++depth;
            else if (!is_text && (letter == '}' || letter == ']') && --depth <= 0)
                return body.substr(at, index + (depth == 0 ? 1 : 0) - at);
        }
        return "null";
    }
    static std::string find_name(const std::string& body)
    {
        const auto found = body.find(R"("name":")");
        return found == std::string::npos
                   ? std::string()
                   : body.substr(found + 8, body.find('"', found + 8) - found - 8);
    }

    void serve(connection& link)
    {
        while (true)
        {
            const auto call = read_message(link, clock_type::now() + 120s, false);
            if (!call || !link.write(answer(*call)))
                return;
        }
    }

    std::string answer(const message& call)
    {
        constexpr const char* json = "Content-Type: application/json\r\n";
        const std::string target = call.target();
        std::string path = target.substr(0, target.find('?'));
        const std::string prefix = "/v1/objects/";
        if (path.rfind(prefix, 0) != 0)
            return make_answer(404, "{}", json);
        path.erase(0, prefix.size());
        const auto slash = path.find('/');
        const std::string kind = path.substr(0, slash);
        const std::string name = slash == std::string::npos ? "" : path.substr(slash + 1);
        std::unique_lock lock(m_mutex);
        if (call.method() == "GET" && name.empty())
        {
            const std::string watch = parameter(target, "watch");
            return make_answer(200,
                               watch.empty() ? list(kind, parameter(target, "after"))
                                             : wait_for_changes(lock, kind, target),
                               json);
        }
        auto& objects = m_objects[kind];
        const std::string own = name.empty() ? find_name(call.body) : name;
        const bool exists = objects.count(own) > 0;
        if (call.method() == "POST" ? exists : !exists)
            return make_answer(exists ? 409 : 404, "{}", json);
        const std::string revision = parameter(target, "revision");
        if (!revision.empty() && std::stoull(revision) != objects[own].revision)
            return make_answer(409, to_text(own, objects[own]), json);
        if (call.method() == "DELETE")
        {
            erase(kind, own);
            return make_answer(200, "{}", json);
        }
        if (call.method() != "GET")
            write(kind, own, find_spec(call.body));
        return make_answer(200, to_text(own, objects[own]), json);
    }

    std::string list(const std::string& kind, const std::string& after)
    {
        std::string items;
        std::size_t count = 0;
        bool has_more = false;
        for (const auto& [name, item] : m_objects[kind])
        {
            if (name <= after && !after.empty())
                continue;
            if (++count > 500)
            {
                has_more = true;
                break;
            }
            items += (items.empty() ? "" : ",") + to_text(name, item);
        }
        return R"({"items":[)" + items + R"(],"more":)" + (has_more ? "true" : "false") +
               R"(,"asOf":)" + std::to_string(m_revision) + "}";
    }

    std::string wait_for_changes(std::unique_lock<std::mutex>& lock, const std::string& kind,
                                 const std::string& target)
    {
        const std::uint64_t since = std::stoull(parameter(target, "watch"));
        const std::string wait = parameter(target, "waitMs");
        const auto end = clock_type::now() + milliseconds(wait.empty() ? 0 : std::stoi(wait));
        const auto collect = [&]
        {
            std::string result;
            for (const change& each : m_history)
                if (each.revision > since && each.kind == kind)
                    result += (result.empty() ? "" : ",") + each.text;
            return result;
        };
        std::string events = collect();
        while (events.empty() && !m_is_ending && clock_type::now() < end)
        {
            m_changed.wait_until(lock, end);
            events = collect();
        }
        return R"({"events":[)" + events + R"(],"asOf":)" + std::to_string(m_revision) + "}";
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::atomic<bool> m_is_ending{false};
    std::map<std::string, std::map<std::string, object>> m_objects;
    std::vector<change> m_history;
    std::uint64_t m_revision = 100;
    listener m_listener;
};

/// A replica. `behave` gets each request and the connection, and writes the answer.
class replica
{
public:
    using behaviour = std::function<void(replica&, const message&, connection&)>;

    replica(std::string id, record_file& record, behaviour behave)
        : m_id(std::move(id)), m_record(record), m_behave(std::move(behave)),
          m_listener(
              std::make_unique<listener>("127.0.0.1", 0, [this](connection& link) { serve(link); }))
    {
    }

    const std::string& id() const { return m_id; }
    std::string address() const { return "127.0.0.1:" + std::to_string(m_listener->port()); }
    std::string entry(const std::string& service, const std::string& zone,
                      const std::string& state = "ready")
    {
        return R"({"service":")" + service + R"(","address":")" + address() + R"(","zone":")" +
               zone + R"(","version":"v1","slots":4,"state":")" + state +
               R"(","warmupLeftMs":0,"sequence":1,"born":1765000000000})";
    }
    /// Runs a request: counts it, and returns its receipt.
    std::string run(const message& request)
    {
        const std::scoped_lock lock(m_mutex);
        ++m_runs[request.field("Request-Id")];
        m_record.line("run at " + m_id + ": " + request.field("Request-Id"));
        return "stamp." + m_id + "." + std::to_string(++m_count);
    }
    /// Answers 200 with the body, as a sound replica does.
    void answer(const message& request, connection& link, const std::string& body,
                const std::string& fields = {})
    {
        const std::string receipt = run(request);
        std::string text = make_answer(200, body,
                                       "Request-Id: " + request.field("Request-Id") +
                                           "\r\nResponse-Stamp: " + receipt + "\r\n" + fields);
        if (request.method() == "HEAD")
            text.erase(text.find("\r\n\r\n") + 4);
        link.write(text);
    }
    std::map<std::string, int> runs()
    {
        const std::scoped_lock lock(m_mutex);
        return m_runs;
    }
    /// Crashes: stops listening and ends all connections.
    void crash() { m_listener->stop(); }
    void cut() { m_listener->cut(); }

private:
    void serve(connection& link)
    {
        while (true)
        {
            const auto request = read_message(link, clock_type::now() + 120s, false);
            if (!request)
                return;
            const std::string expected = request->field("Target-Instance");
            if (!expected.empty() && expected != m_id)
                link.write(make_answer(421, "", "Instance-Id: " + m_id + "\r\n"));
            else
                m_behave(*this, *request, link);
        }
    }

    const std::string m_id;
    record_file& m_record;
    const behaviour m_behave;
    std::mutex m_mutex;
    std::map<std::string, int> m_runs;
    int m_count = 0;
    std::unique_ptr<listener> m_listener;
};

/// Returns a port that is free at the address now.
inline int find_free_port(const std::string& ip)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address);
    socklen_t size = sizeof address;
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    ::close(descriptor);
    return ntohs(address.sin_port);
}

/// The settings of a small deployment.
struct gateway_options
{
    std::string name = "front-riga-centrs-1";
    std::string ip = "127.0.31.1";
    std::string zone = "riga-centrs";
    std::string store_address;
    bool is_first_start = true;
    std::string folder;
};

/// One gateway, started with the command of the deploy file.
class gateway
{
public:
    explicit gateway(gateway_options options)
        : m_options(std::move(options)), m_caller_port(find_free_port(m_options.ip)),
          m_readiness_port(find_free_port(m_options.ip)), m_peer_port(find_free_port(m_options.ip))
    {
        write_settings();
    }
    ~gateway()
    {
        if (m_process > 0)
        {
            ::kill(m_process, SIGCONT);
            ::kill(m_process, SIGKILL);
            wait();
        }
    }
    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;

    const std::string& ip() const { return m_options.ip; }

    void start()
    {
        const std::string log =
            m_options.folder + "/" + m_options.name + "." + std::to_string(++m_starts) + ".log";
        const std::string settings = "OSPREYSTAIR_BOOT=" + settings_path();
        const std::string path = std::string("PATH=") + std::getenv("PATH");
        m_process = ::fork();
        if (m_process != 0)
            return;
        // Ends with this process, however that ends.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_CREAT | O_WRONLY | O_TRUNC, 0644);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        char* const words[] = {const_cast<char*>("target/bin/ospreystair-gateway"),
                               const_cast<char*>("--metrics-port"), const_cast<char*>("9464"),
                               nullptr};
        char* const environment[] = {const_cast<char*>(settings.c_str()),
                                     const_cast<char*>(path.c_str()), nullptr};
        ::execve(words[0], words, environment);
        std::_Exit(127);
    }
    void signal(int number) const { ::kill(m_process, number); }
    /// Whether the process ended within `time`; `status` is that of waitpid.
    bool wait_for_end(milliseconds time, int& status)
    {
        const auto end = clock_type::now() + time;
        while (clock_type::now() < end)
        {
            if (::waitpid(m_process, &status, WNOHANG) == m_process)
            {
                m_process = -1;
                return true;
            }
            std::this_thread::sleep_for(5ms);
        }
        return false;
    }
    bool is_running()
    {
        int status = 0;
        return m_process > 0 && !wait_for_end(1ms, status);
    }
    int readiness()
    {
        const auto link = connection::open(m_options.ip, m_readiness_port);
        if (!link || !link->write("GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n"))
            return 0;
        const auto answer = read_message(*link, clock_type::now() + 1s, true);
        return answer ? answer->status() : 0;
    }
    bool wait_until_ready(milliseconds time = 15s)
    {
        const auto end = clock_type::now() + time;
        while (clock_type::now() < end)
        {
            if (readiness() == 200)
                return true;
            std::this_thread::sleep_for(50ms);
        }
        return false;
    }
    std::unique_ptr<connection> connect() const
    {
        return connection::open(m_options.ip, m_caller_port);
    }

private:
    std::string settings_path() const { return m_options.folder + "/" + m_options.name + ".toml"; }
    void wait()
    {
        int status = 0;
        ::waitpid(m_process, &status, 0);
        m_process = -1;
    }
    void write_settings() const
    {
        std::ofstream file(settings_path());
        const std::string& ip = m_options.ip;
        file << "node = \"" << m_options.name << "\"\nrole = \"entry\"\nmachineClass = \"front\"\n"
             << "serves = [\"front\"]\nip = \"" << ip << "\"\nzone = \"" << m_options.zone
             << "\"\nregion = \"riga\"\nportRange = [" << m_peer_port << "," << m_peer_port
             << "]\nseeds = []\nbootstrap = " << (m_options.is_first_start ? "true" : "false")
             << "\ncountsTowardLoss = false\ndiscovery = \"platform\"\nentry = \"vip\"\n"
             << "heartbeatMs = 1200\n"
             << "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\","
             << "\"scatter\",\"platform\"]\n"
             << "[zones]\nriga-centrs = \"riga\"\nriga-purvciems = \"riga\"\n"
             << "riga-imanta = \"riga\"\n"
             << "[listen]\nfront = \"" << ip << ":" << m_caller_port << "\"\nreadiness = \"" << ip
             << ":" << m_readiness_port << "\"\n"
             << "[limits]\ncpuShare = 0.25\ncpuCores = 1\nmemoryMb = 260\nmaxFds = 4100\n"
             << "linkMbps = 1000.0\ndiskMb = 0\n"
             << "[tolerate]\nmachines = 1\nzones = 1\nregions = 0\n"
             << "[bounds]\nseedLagS = 3\nreuseAfterS = 2\nstableWindowMs = 4000\nackMs = 5000\n"
             << "catchUpS = 4\ndrainMs = 3000\ngraceS = 6\nlossSlackMs = 200\n"
             << "configApplyMs = 3000\ndowngradeSlackMs = 250\nmaxStretchMs = 12000\n"
             << "retryBudgetRatio = 0.2\nretryWindowS = 10\nretrySlack = 58\nrecoverS = 12\n"
             << "[platform]\naddress = \"" << m_options.store_address
             << "\"\nform = \"objects\"\nwritesPerS = 400\nreadsPerS = 2000\nhistoryS = 20\n"
             << "valueBytes = 1048576\nttlMinMs = 1000\n";
    }

    const gateway_options m_options;
    const int m_caller_port;
    const int m_readiness_port;
    const int m_peer_port;
    int m_starts = 0;
    pid_t m_process = -1;
};

/// What each case needs: a record, a temporary folder, and whether the disruption takes place.
struct case_context
{
    explicit case_context(const std::string& record_path)
        : record(record_path),
          has_trouble(!std::getenv("TROUBLE") || std::string(std::getenv("TROUBLE")) != "0")
    {
        ::signal(SIGPIPE, SIG_IGN);
        std::string pattern =
            (std::filesystem::temp_directory_path() / "ospreystair-review-XXXXXX").string();
        folder = ::mkdtemp(pattern.data());
        record.line(has_trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
    }
    ~case_context()
    {
        if (!std::getenv("KEEP_LOGS"))
            std::filesystem::remove_all(folder);
    }

    /// 1 if the rule was broken, 0 if it held.
    int end(bool is_broken, const std::string& reason)
    {
        record.line((is_broken ? "BROKEN: " : "held: ") + reason);
        std::printf("%s%s\n", is_broken ? "BROKEN: " : "held: ", reason.c_str());
        return is_broken ? 1 : 0;
    }
    int cannot_run(const std::string& reason)
    {
        record.line("could not run: " + reason);
        std::printf("could not run: %s\n", reason.c_str());
        return 2;
    }

    record_file record;
    bool has_trouble;
    std::string folder;
};

/// The operator's configuration for routes to single services of host "q.example".
struct route_text
{
    std::string name;
    std::string prefix;
    std::string type;
    std::string service;
    int timeout_ms = 5000;
    int objective_ms = 500;
    int max_attempts = 2;
};

inline std::string
make_configuration(int version, const std::vector<route_text>& routes,
                   const std::string& limits = R"({"maxHeaderBytes":16384,"maxBodyBytes":262144,)"
                                               R"("headerTimeoutMs":3000,"idleTimeoutMs":15000})")
{
    std::string route_list;
    std::string service_list;
    std::set<std::string> services;
    for (const route_text& each : routes)
    {
        route_list += (route_list.empty() ? "" : ",") + std::string(R"({"name":")") + each.name +
                      R"(","host":"q.example","pathPrefix":")" + each.prefix + R"(","type":")" +
                      each.type + R"(","timeoutMs":)" + std::to_string(each.timeout_ms) +
                      R"(,"sloMs":)" + std::to_string(each.objective_ms) +
                      R"(,"priority":1,"service":")" + each.service + R"(","maxAttempts":)" +
                      std::to_string(each.max_attempts) + "}";
        if (services.insert(each.service).second)
            service_list += (service_list.empty() ? "" : ",") + std::string(R"({"name":")") +
                            each.service +
                            R"(","healthPath":"/healthz","maxConns":110,"protocol":"h1",)"
                            R"("tls":false})";
    }
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + route_list +
           R"(],"services":[)" + service_list + R"(],"limits":)" + limits + "}";
}

} // namespace review

#endif
