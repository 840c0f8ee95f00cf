// Answers to callers that send one id several times, while replicas send second answers, late ones
// or none: each answer belongs to one sending, of the same attempt of the caller.
//
// The environment variable OSPREYSTAIR_TESTED_GATEWAY names another gateway to run; see
// scripts/build-version.

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <functional>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <json/json.h>

#include "tests/gateway/platform_fleet.hpp"
#include "tests/integration/test_client.hpp"

namespace ospreystair::testing_support
{
namespace
{

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr unsigned ok_status = 200;
constexpr unsigned refusal_status = 503;
constexpr std::string_view attempt_field = "X-Attempt";

/// A request that arrived at a replica.
struct numbered_sending
{
    std::string replica;
    std::string request_id;
    /// The caller's attempt, as the request names it.
    std::string attempt;
    /// Among all connections to the replicas.
    unsigned connection = 0;
    /// Among the sendings of the request to all replicas, from 0.
    unsigned order = 0;
    unsigned status = 0;
    bool is_answered = false;
};

/// What a replica does with a request.
struct reply_plan
{
    unsigned status = ok_status;
    milliseconds latency{2};
    /// Delays of second answers, each counted from the one before.
    std::vector<milliseconds> copies = {};
    /// Sends a second answer in front of the next one on the connection.
    bool is_repeated_late = false;
    /// Bytes of a second answer that is cut off: sent behind the answer, and in front of the next
    /// one on the connection.
    std::size_t cut_copy_size = 0;
    std::size_t late_cut_copy_size = 0;
    /// Closes the connection instead of answering.
    bool closes = false;
};

/// Replicas whose answers name the sending they belong to: its number is in the receipt and in the
/// body. They answer on their connections in any order. The public members may be called from any
/// thread.
class numbered_replicas
{
public:
    using planner = std::function<reply_plan(const numbered_sending&)>;

    numbered_replicas() : m_work_guard(http::asio::make_work_guard(m_context)) {}

    ~numbered_replicas()
    {
        m_context.stop();
        if (m_thread.joinable())
            m_thread.join();
    }

    numbered_replicas(const numbered_replicas&) = delete;
    numbered_replicas& operator=(const numbered_replicas&) = delete;

    /// Listens at one port of 127.0.0.1 and `ips`. Returns the address. Not after `start`.
    std::string add(const std::string& id, const std::vector<std::string>& ips)
    {
        const auto port = listen(id, {http::asio::ip::make_address("127.0.0.1"), 0});
        for (const std::string& ip : ips)
            listen(id, {http::asio::ip::make_address(ip), port});
        return fmt::format("127.0.0.1:{}", port);
    }

    void start()
    {
        m_thread = std::thread([this] { m_context.run(); });
    }

    void plan(planner value)
    {
        const std::scoped_lock lock(m_mutex);
        m_planner = std::move(value);
    }

    /// By number.
    std::vector<numbered_sending> sendings() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_sendings;
    }

    std::size_t count(const std::string& attempt, bool is_answered) const
    {
        const auto all = sendings();
        return static_cast<std::size_t>(std::count_if(all.begin(), all.end(),
                                                      [&](const numbered_sending& each) {
                                                          return each.attempt == attempt &&
                                                                 (each.is_answered || !is_answered);
                                                      }));
    }

private:
    struct session
    {
        explicit session(http::tcp::socket value) : socket(std::move(value)) {}
        http::tcp::socket socket;
        unsigned number = 0;
        std::string late_answer;
    };

    std::uint16_t listen(const std::string& id, const http::tcp::endpoint& address)
    {
        const auto acceptor = std::make_shared<http::tcp::acceptor>(m_context, address);
        http::asio::co_spawn(
            m_context, [this, id, acceptor] { return accept(id, acceptor); }, http::asio::detached);
        return acceptor->local_endpoint().port();
    }

    http::awaitable<void> accept(std::string id, std::shared_ptr<http::tcp::acceptor> acceptor)
    {
        while (true)
        {
            boost::system::error_code code;
            auto socket = co_await acceptor->async_accept(
                http::asio::redirect_error(http::asio::use_awaitable, code));
            if (code)
                co_return;
            const auto next = std::make_shared<session>(std::move(socket));
            next->number = ++m_connections;
            http::asio::co_spawn(
                m_context, [this, id, next] { return serve(id, next); }, http::asio::detached);
        }
    }

    http::awaitable<void> serve(std::string id, std::shared_ptr<session> client)
    {
        boost::beast::flat_buffer buffer;
        while (true)
        {
            http::request message;
            boost::system::error_code code;
            co_await boost::beast::http::async_read(
                client->socket, buffer, message,
                http::asio::redirect_error(http::asio::use_awaitable, code));
            if (code)
                break;
            http::asio::co_spawn(
                m_context, [this, id, client, message] { return answer(id, client, message); },
                http::asio::detached);
        }
        boost::system::error_code ignored;
        client->socket.close(ignored);
    }

    http::awaitable<void> answer(std::string id, std::shared_ptr<session> client,
                                 http::request message)
    {
        numbered_sending next;
        next.replica = id;
        next.request_id = std::string(message["Request-Id"]);
        next.attempt = std::string(message[std::string(attempt_field)]);
        next.connection = client->number;
        reply_plan plan;
        std::size_t number = 0;
        {
            const std::scoped_lock lock(m_mutex);
            next.order = m_orders[next.request_id]++;
            if (m_planner)
                plan = m_planner(next);
            next.status = plan.closes ? 0 : plan.status;
            number = m_sendings.size();
            m_sendings.push_back(next);
        }
        co_await wait(plan.latency);
        std::string text = make_text(next, number);
        boost::system::error_code ignored;
        if (plan.closes)
            client->socket.close(ignored);
        const std::string late =
            std::exchange(client->late_answer,
                          plan.is_repeated_late ? text : text.substr(0, plan.late_cut_copy_size));
        send(*client, late + text + text.substr(0, plan.cut_copy_size));
        {
            const std::scoped_lock lock(m_mutex);
            m_sendings[number].is_answered = true;
        }
        for (const milliseconds delay : plan.copies)
        {
            co_await wait(delay);
            send(*client, text);
        }
    }

    http::awaitable<void> wait(milliseconds time)
    {
        boost::system::error_code ignored;
        http::asio::steady_timer timer(m_context, time);
        co_await timer.async_wait(http::asio::redirect_error(http::asio::use_awaitable, ignored));
    }

    static void send(session& client, const std::string& text)
    {
        boost::system::error_code ignored;
        boost::asio::write(client.socket, boost::asio::buffer(text), ignored);
    }

    static std::string make_text(const numbered_sending& sending, std::size_t number)
    {
        const std::string stamp = sending.status == refusal_status
                                      ? "Not-Executed: 1"
                                      : fmt::format("Response-Stamp: {}.{}.{}", sending.replica,
                                                    number, sending.request_id);
        return fmt::format("HTTP/1.1 {} Status\r\nRequest-Id: {}\r\nServer-Load: 1,0,2\r\n{}\r\n"
                           "Content-Length: 16\r\n\r\n{:016}",
                           sending.status, sending.request_id, stamp, number);
    }

    http::asio::io_context m_context;
    http::asio::executor_work_guard<http::asio::io_context::executor_type> m_work_guard;
    // Used by the context's thread.
    unsigned m_connections = 0;
    mutable std::mutex m_mutex;
    // This and the following members up to the thread are guarded by m_mutex.
    planner m_planner;
    std::vector<numbered_sending> m_sendings;
    std::map<std::string, unsigned> m_orders;
    std::thread m_thread;
};

std::string tested_gateway()
{
    const char* const path = std::getenv("OSPREYSTAIR_TESTED_GATEWAY");
    return path == nullptr ? fleet_options{}.program : path;
}

/// Status of the answer to a read on a connection of its own. Reads the answer with Beast's own
/// parser, which accepts any text in fields.
unsigned read_status(const http::tcp::endpoint& address, const std::string& route,
                     const std::string& id)
{
    http::asio::io_context context;
    http::tcp::socket socket(context);
    socket.connect(address);
    boost::asio::write(socket, boost::asio::buffer(fmt::format(
                                   "GET /{}/q HTTP/1.1\r\nHost: q.example\r\nRequest-Id: {}\r\n"
                                   "Deadline-Ms: 1000\r\n\r\n",
                                   route, id)));
    boost::beast::flat_buffer buffer;
    boost::beast::http::response<boost::beast::http::string_body> answer;
    boost::system::error_code code;
    boost::beast::http::read(socket, buffer, answer, code);
    return code ? 0 : answer.result_int();
}

struct sending_options
{
    fleet_options fleet = {};
    /// Number of replicas of the services "num0" and so on.
    std::vector<std::size_t> replicas = {};
    /// Reaches none of the numbered replicas; needs routes.
    std::optional<std::size_t> cut_vm = {};
};

/// A fleet with numbered replicas. Each service has a route named like it, and all are gathered by
/// route "/wide/".
class sending_fleet
{
public:
    explicit sending_fleet(sending_options options)
        : m_options(prepare(std::move(options))), m_fleet(m_options.fleet)
    {
        for (std::size_t vm = 0; vm < m_fleet.vm_count(); ++vm)
            m_fleet.warm_up(vm);
        Json::Value wide = platform_fleet::make_route("wide", "/wide/");
        wide.removeMember("service");
        wide["topK"] = 100;
        wide["minShare"] = 0.5;
        wide["sloMs"] = 200;
        for (std::size_t index = 0; index < m_options.replicas.size(); ++index)
        {
            const std::string service = name_service(index);
            Json::Value route = platform_fleet::make_route(service, fmt::format("/{}/", service));
            route["service"] = service;
            route["maxAttempts"] = 3;
            m_fleet.configuration()["routes"].append(route);
            wide["gather"].append(service);
            for (std::size_t replica = 0; replica < m_options.replicas[index]; ++replica)
                add_replica(service, replica);
        }
        m_fleet.configuration()["routes"].append(wide);
        m_replicas.start();
        m_fleet.publish();
        for (std::size_t vm = 0; vm < m_fleet.vm_count(); ++vm)
            if (vm != m_options.cut_vm)
                warm_up(vm);
        if (m_options.cut_vm)
        {
            m_fleet.set_routes(*m_options.cut_vm, "cut");
            // While a request fails, the VM notices the cut.
            EXPECT_TRUE(wait_until(
                5s,
                [this] {
                    return send(*m_options.cut_vm, "num0", make_id(), 1000ms).status == ok_status;
                }));
        }
    }

    platform_fleet& fleet() { return m_fleet; }
    numbered_replicas& replicas() { return m_replicas; }

    std::string make_id() { return fmt::format("read-{}", ++m_last_id); }

    std::string make_attempt() { return fmt::format("{}", ++m_last_attempt); }

    caller_answer send(std::size_t vm, const std::string& route, const std::string& id,
                       milliseconds patience)
    {
        return send_attempt(vm, route, id, patience, make_attempt());
    }

    /// Sends an attempt that the caller waits for with a deadline of a second, or leaves earlier.
    /// Expects that the answer belongs to one of its sendings.
    caller_answer send_attempt(std::size_t vm, const std::string& route, const std::string& id,
                               milliseconds patience, const std::string& attempt)
    {
        caller_message message;
        message.path = fmt::format("/{}/q", route);
        message.id = id;
        message.fields[std::string(attempt_field)] = attempt;
        message.close_delay = patience - message.deadline;
        caller_answer answer = m_fleet.send(vm, message);
        check(answer, id, attempt);
        return answer;
    }

    std::size_t service_count() const { return m_options.replicas.size(); }

    static std::string name_service(std::size_t index) { return fmt::format("num{}", index); }

    /// Number of the sending in a receipt.
    static std::size_t number_of(const std::string& receipt)
    {
        const std::size_t at = receipt.find('.');
        return std::stoul(receipt.substr(at + 1));
    }

private:
    static sending_options prepare(sending_options options)
    {
        options.fleet.program = tested_gateway();
        options.fleet.has_routes = options.cut_vm.has_value();
        return options;
    }

    void add_replica(const std::string& service, std::size_t index)
    {
        std::vector<std::string> ips;
        for (std::size_t vm = 0; m_options.cut_vm && vm < m_fleet.vm_count(); ++vm)
            if (vm != m_options.cut_vm)
                ips.push_back(m_fleet.route_ip(vm));
        const std::string id = fmt::format("{}-{}", service, index);
        Json::Value entry;
        entry["service"] = service;
        entry["address"] = m_replicas.add(id, ips);
        entry["zone"] = index % 2 == 0 ? "a" : "b";
        entry["version"] = "v1";
        entry["slots"] = 2;
        entry["state"] = "ready";
        entry["warmupLeftMs"] = 0;
        entry["sequence"] = 1;
        entry["born"] = Json::Int64{1'700'000'000'000};
        m_fleet.store().put("servers", id, entry);
    }

    void warm_up(std::size_t vm)
    {
        constexpr int requests = 10;
        for (std::size_t index = 0; index < service_count(); ++index)
            EXPECT_TRUE(wait_until(
                5s, [&]
                { return send(vm, name_service(index), make_id(), 1000ms).status == ok_status; }));
        for (int index = 0; index < requests; ++index)
            for (const char* const service : {"num0", "wide"})
                send(vm, service, make_id(), 1000ms);
    }

    void check(const caller_answer& answer, const std::string& id, const std::string& attempt)
    {
        const auto all = m_replicas.sendings();
        const auto stamp = answer.fields.find("Response-Stamp");
        std::vector<std::string> receipts = answer.receipts();
        if (stamp != answer.fields.end())
        {
            EXPECT_EQ(answer.body.size(), 16U);
            receipts.push_back(stamp->second);
        }
        EXPECT_TRUE(answer.status != ok_status || !receipts.empty()) << id;
        std::set<std::string> services;
        std::set<std::string> bodies;
        for (const std::string& receipt : receipts)
        {
            const std::size_t number = number_of(receipt);
            ASSERT_LT(number, all.size()) << receipt;
            const numbered_sending& source = all[number];
            EXPECT_EQ(receipt, fmt::format("{}.{}.{}", source.replica, number, id));
            EXPECT_EQ(source.request_id, id);
            EXPECT_EQ(source.attempt, attempt) << "answered with an earlier sending: " << receipt;
            EXPECT_EQ(source.status, answer.status) << receipt;
            EXPECT_TRUE(services.insert(source.replica.substr(0, source.replica.rfind('-'))).second)
                << "twice in the answer: " << receipt;
            bodies.insert(fmt::format("{:016}", number));
        }
        std::set<std::string> received;
        for (std::size_t at = 0; at < answer.body.size() && !receipts.empty(); at += 16)
            received.insert(answer.body.substr(at, 16));
        EXPECT_EQ(received, bodies) << id;
    }

    const sending_options m_options;
    // Outlives the VMs.
    numbered_replicas m_replicas;
    platform_fleet m_fleet;
    unsigned m_last_id = 0;
    std::atomic<unsigned> m_last_attempt = 0;
};

/// Two VMs, two services with one replica and two with three.
class gateway_sending_test : public testing::Test
{
protected:
    sending_fleet m_fleet{{.fleet = {.vms = 2}, .replicas = {1, 3, 1, 3}}};
};

/// A VM with two replicas of one service.
class gateway_hedge_test : public testing::Test
{
protected:
    static constexpr int rounds = 4;
    /// Longer than the time until the hedge and than the objective.
    static constexpr milliseconds late{300};

    /// Plans the first two sendings of a request. All others are answered at once.
    void plan(const std::string& id, const reply_plan& first, const reply_plan& hedge)
    {
        m_fleet.replicas().plan(
            [=](const numbered_sending& sending)
            {
                if (sending.request_id != id || sending.order > 1)
                    return reply_plan{};
                return sending.order == 0 ? first : hedge;
            });
        // Late answers make later hedges later.
        for (int index = 0; index < 10; ++index)
            m_fleet.send(0, "num0", m_fleet.make_id(), 1000ms);
    }

    /// Source of the answer as the VM's log names it; empty when it is not logged.
    std::string find_source(const std::string& id)
    {
        std::istringstream text(m_fleet.fleet().log(0));
        std::string result;
        for (std::string line; std::getline(text, line);)
        {
            Json::Value entry;
            std::istringstream stream(line);
            std::string errors;
            if (Json::parseFromStream(Json::CharReaderBuilder(), stream, &entry, &errors) &&
                entry["event"] == "answer" && entry["request"] == id)
                result = entry["source"].asString();
        }
        return result;
    }

    /// Expects an answer to the sending of this order, and that the log names it.
    void expect_source(const std::string& id, const caller_answer& answer, unsigned order)
    {
        ASSERT_TRUE(answer.fields.contains("Response-Stamp")) << id;
        const std::string receipt = answer.fields.at("Response-Stamp");
        const auto source = m_fleet.replicas().sendings().at(sending_fleet::number_of(receipt));
        EXPECT_EQ(source.order, order) << receipt;
        // Earlier gateways don't name the source.
        if (tested_gateway() != fleet_options{}.program)
            return;
        ASSERT_TRUE(wait_until(2s, [&] { return !find_source(id).empty(); })) << id;
        std::istringstream text(find_source(id));
        std::string replica;
        std::string word;
        std::string logged_receipt;
        unsigned sending = 0;
        unsigned connection = 0;
        text >> replica >> word >> sending >> word >> connection >> word >> logged_receipt;
        EXPECT_EQ(replica, source.replica);
        EXPECT_EQ(sending, source.order + 1);
        EXPECT_EQ(logged_receipt, receipt);
        EXPECT_EQ(m_connections.try_emplace(source.connection, connection).first->second,
                  connection);
        EXPECT_EQ(m_logged.try_emplace(connection, source.connection).first->second,
                  source.connection);
    }

    sending_fleet m_fleet{{.replicas = {2}}};

private:
    // The replicas' numbers of connections, with those of the VM, and the other way round.
    std::map<unsigned, unsigned> m_connections;
    std::map<unsigned, unsigned> m_logged;
};

/// Three VMs, of which the first reaches no replica.
class gateway_repeated_handover_test : public testing::Test
{
protected:
    sending_fleet m_fleet{{.fleet = {.vms = 3}, .replicas = {2, 2}, .cut_vm = 0}};
};

/// Three VMs, of which the first has little processor time and lets the third gather.
class gateway_repeated_gather_test : public testing::Test
{
protected:
    sending_fleet m_fleet{{.fleet = {.vms = 3, .core_shares = {0.02, 0.5, 0.5}},
                           .replicas = std::vector<std::size_t>(12, 1)}};
};

// Guards against an answer to an earlier request of the same caller with the same id, whose second
// copy arrives in front of the answer to the repeated one or while that is under way.
TEST_F(gateway_sending_test, repeated_id_is_answered_by_a_sending_of_its_own_attempt)
{
    m_fleet.replicas().plan(
        [](const numbered_sending& sending)
        {
            reply_plan result;
            result.latency = 8ms;
            result.status = sending.order % 3 == 1 ? refusal_status : ok_status;
            result.is_repeated_late = sending.order % 2 == 0;
            result.copies = {4ms, 6ms};
            return result;
        });
    for (std::size_t round = 0; round < 8; ++round)
    {
        const std::string id = m_fleet.make_id();
        const std::string service = sending_fleet::name_service(round % m_fleet.service_count());
        for (const std::size_t vm : {0U, 0U, 1U, 0U, 1U})
            EXPECT_EQ(m_fleet.send(vm, service, id, 1000ms).status, ok_status) << id;
    }
}

// Guards against the answer to a sending whose caller gave up or left, which arrives while the
// caller's next attempt with the same id is under way.
TEST_F(gateway_sending_test, answer_to_a_caller_that_left_is_not_taken_for_its_next_attempt)
{
    m_fleet.replicas().plan(
        [](const numbered_sending& sending)
        {
            reply_plan result;
            result.latency = sending.order % 4 == 3 ? 4ms : 16ms;
            result.copies = {1ms, 4ms};
            return result;
        });
    for (std::size_t round = 0; round < 8; ++round)
    {
        const std::string id = m_fleet.make_id();
        const std::string service = sending_fleet::name_service(round % m_fleet.service_count());
        for (const milliseconds patience : {6ms, 12ms, 15ms, 17ms})
            m_fleet.send(0, service, id, patience);
        m_fleet.send(1, service, id, 10ms);
        EXPECT_EQ(m_fleet.send(0, service, id, 1000ms).status, ok_status) << id;
        EXPECT_EQ(m_fleet.send(1, service, id, 1000ms).status, ok_status) << id;
    }
}

// Guards against a success with the status of an earlier answer's second copy that was cut off, and
// the receipt and the body of the failure behind it.
TEST_F(gateway_sending_test, cut_copy_gives_its_status_to_no_other_answer)
{
    // "HTTP/1.1 200 S" and "HTTP/1.1 200 Status\r\nRequest-Id: read-9\r\nServer-Load: 1".
    for (const std::size_t size : {14U, 56U})
        for (const bool is_late : {false, true})
            for (int round = 0; round < 4; ++round)
            {
                std::atomic<bool> fails = false;
                m_fleet.replicas().plan(
                    [&fails, size, is_late](const numbered_sending&)
                    {
                        reply_plan result;
                        result.status = fails.load() ? 500 : ok_status;
                        if (!fails.load())
                            (is_late ? result.late_cut_copy_size : result.cut_copy_size) = size;
                        return result;
                    });
                EXPECT_EQ(m_fleet.send(0, "num0", m_fleet.make_id(), 1000ms).status, ok_status);
                fails.store(true);
                EXPECT_GE(m_fleet.send(0, "num0", m_fleet.make_id(), 1000ms).status, 500U);
                m_fleet.replicas().plan({});
            }
}

// Guards against requests that run and are answered 502, since their caller chose ids that read
// like a status line and replicas echo them.
TEST_F(gateway_sending_test, id_like_a_status_line_is_answered)
{
    for (int round = 0; round < 4; ++round)
        EXPECT_EQ(read_status(m_fleet.fleet().caller_address(0), "num0",
                              fmt::format("HTTP/1.1 200 {}", m_fleet.make_id())),
                  ok_status);
}

// Guards against a late copy of the first answer that ends the repeated request, after so many
// others that the connection no longer knows the id.
TEST_F(gateway_sending_test, copy_behind_many_requests_does_not_end_the_repeated_one)
{
    constexpr int others = 700;
    constexpr milliseconds copy_delay{2400};
    const std::string id = m_fleet.make_id();
    m_fleet.replicas().plan(
        [id, copy_delay](const numbered_sending& sending)
        {
            reply_plan result;
            result.latency = 0ms;
            if (sending.request_id == id && sending.order == 0)
                result.copies = {copy_delay};
            // Under way when the copy arrives.
            if (sending.request_id == id && sending.order > 0)
                result.latency = 700ms;
            return result;
        });
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_EQ(m_fleet.send(0, "num0", id, 1000ms).status, ok_status);
    for (int index = 0; index < others; ++index)
    {
        caller_message message;
        message.path = "/num0/q";
        message.id = m_fleet.make_id();
        m_fleet.fleet().send(0, message);
    }
    std::this_thread::sleep_until(begin + copy_delay - 300ms);
    EXPECT_EQ(m_fleet.send(0, "num0", id, 1000ms).status, ok_status);
}

// Guards against an answer that a frozen VM finds when it goes on, and takes for a later sending.
TEST_F(gateway_sending_test, answers_that_arrive_while_the_vm_is_frozen_belong_to_their_attempts)
{
    for (const bool closes : {false, true})
        for (std::size_t round = 0; round < 4; ++round)
        {
            m_fleet.replicas().plan(
                [closes](const numbered_sending& sending)
                {
                    reply_plan result;
                    result.latency = sending.order == 0 ? 60ms : 8ms;
                    result.closes = closes && sending.order == 0;
                    result.copies = {2ms, 4ms};
                    return result;
                });
            const std::string id = m_fleet.make_id();
            const std::string service = sending_fleet::name_service(round % 2);
            const std::string attempt = m_fleet.make_attempt();
            auto first =
                std::async(std::launch::async,
                           [&] {
                               return m_fleet.send_attempt(0, service, id,
                                                           round / 2 == 0 ? 1000ms : 80ms, attempt);
                           });
            EXPECT_TRUE(
                wait_until(1s, [&] { return m_fleet.replicas().count(attempt, false) > 0; }));
            auto& process = *m_fleet.fleet().vm(0).process;
            process.freeze();
            const auto sent = m_fleet.replicas().count(attempt, false);
            EXPECT_TRUE(
                wait_until(1s, [&] { return m_fleet.replicas().count(attempt, true) >= sent; }));
            auto second = std::async(std::launch::async,
                                     [&] { return m_fleet.send(0, service, id, 1000ms); });
            sleep_for(100ms);
            process.resume();
            first.get();
            EXPECT_EQ(second.get().status, ok_status) << id;
            EXPECT_EQ(m_fleet.send(0, service, id, 1000ms).status, ok_status) << id;
        }
}

// Guards against a status, a receipt, a body and a log line that belong to different sendings of
// one request, of which the first fails after the hedge has answered.
TEST_F(gateway_hedge_test, late_failure_leaves_the_answer_to_the_hedge)
{
    for (int round = 0; round < rounds; ++round)
    {
        const std::string id = m_fleet.make_id();
        plan(id, {.status = 500, .latency = late, .copies = {1ms, 20ms}}, {.copies = {1ms, 20ms}});
        const auto begin = std::chrono::steady_clock::now();
        const auto answer = m_fleet.send(0, "num0", id, 1000ms);
        EXPECT_EQ(answer.status, ok_status);
        expect_source(id, answer, 1);
        // The loser's answer is due meanwhile.
        const auto end = begin + late + 30ms;
        while (std::chrono::steady_clock::now() < end)
            EXPECT_EQ(m_fleet.send(0, "num0", id, 1000ms).status, ok_status);
    }
}

// Guards against a hedge whose failure ends the request or is mixed with the first sending's late
// answer.
TEST_F(gateway_hedge_test, failed_hedge_leaves_the_late_answer)
{
    for (int round = 0; round < rounds; ++round)
    {
        const std::string id = m_fleet.make_id();
        plan(id, {.latency = late, .copies = {1ms, 20ms}},
             {.status = 500, .copies = {1ms, 20ms}, .is_repeated_late = true});
        const auto answer = m_fleet.send(0, "num0", id, 1000ms);
        EXPECT_EQ(answer.status, ok_status);
        expect_source(id, answer, 0);
        EXPECT_EQ(m_fleet.send(0, "num0", id, 1000ms).status, ok_status);
    }
}

// Guards against the answer to an earlier handover of the same id, by the caller's VM or by
// another.
TEST_F(gateway_repeated_handover_test, each_caller_gets_the_answer_to_its_own_handover)
{
    m_fleet.replicas().plan(
        [](const numbered_sending& sending)
        {
            reply_plan result;
            result.latency = sending.order == 0 ? 30ms : 12ms;
            result.copies = {3ms, 8ms};
            result.is_repeated_late = sending.order % 2 == 0;
            return result;
        });
    for (std::size_t round = 0; round < 8; ++round)
    {
        const std::string id = m_fleet.make_id();
        const std::string route = round % 3 == 2 ? "wide" : fmt::format("num{}", round % 2);
        const std::string attempt = m_fleet.make_attempt();
        const milliseconds patience = round % 2 == 0 ? 1000ms : 20ms;
        auto first = std::async(std::launch::async, [&]
                                { return m_fleet.send_attempt(0, route, id, patience, attempt); });
        EXPECT_TRUE(wait_until(1s, [&] { return m_fleet.replicas().count(attempt, false) > 0; }));
        auto second =
            std::async(std::launch::async, [&] { return m_fleet.send(0, route, id, 1000ms); });
        EXPECT_EQ(m_fleet.send(2, route, id, 1000ms).status, ok_status) << id;
        EXPECT_EQ(second.get().status, ok_status) << id;
        if (patience == 1000ms)
            EXPECT_EQ(first.get().status, ok_status) << id;
        else
            first.get();
        EXPECT_EQ(m_fleet.send(0, route, id, 1000ms).status, ok_status) << id;
    }
}

// Guards against a part of an earlier query with the same id in a gathered answer, and against two
// parts of one service.
TEST_F(gateway_repeated_gather_test, parts_belong_to_the_attempt_that_is_answered)
{
    const auto is_gathered_elsewhere = [this]
    {
        m_fleet.send(0, "wide", m_fleet.make_id(), 1000ms);
        const std::string text = m_fleet.fleet().metrics(0);
        const std::string name = "\nospreystair_queries_gathered_elsewhere_total ";
        const auto found = text.find(name);
        return found != std::string::npos && std::stoul(text.substr(found + name.size())) > 0;
    };
    EXPECT_TRUE(wait_until(5s, is_gathered_elsewhere));
    m_fleet.replicas().plan(
        [](const numbered_sending& sending)
        {
            reply_plan result;
            result.latency = milliseconds(4 + sending.order % 5 * 4);
            result.status = sending.order % 7 == 6 ? 500 : ok_status;
            result.copies = {3ms, 8ms};
            result.is_repeated_late = sending.order % 2 == 0;
            return result;
        });
    for (int round = 0; round < 6; ++round)
    {
        const std::string id = m_fleet.make_id();
        for (const milliseconds patience : {8ms, 14ms})
            m_fleet.send(0, "wide", id, patience);
        for (const std::size_t vm : {0U, 2U, 1U, 0U, 1U})
            EXPECT_EQ(m_fleet.send(vm, "wide", id, 1000ms).status, ok_status) << id;
    }
    // The next query is gathered at the third VM first, and then at the first one.
    const std::string id = m_fleet.make_id();
    const std::string attempt = m_fleet.make_attempt();
    auto first = std::async(std::launch::async,
                            [&] { return m_fleet.send_attempt(0, "wide", id, 1000ms, attempt); });
    EXPECT_TRUE(wait_until(1s, [&] { return m_fleet.replicas().count(attempt, false) > 0; }));
    m_fleet.fleet().vm(2).process->kill();
    first.get();
    for (int repeat = 0; repeat < 5; ++repeat)
        EXPECT_EQ(m_fleet.send(0, "wide", id, 1000ms).status, ok_status) << id;
}

} // namespace
} // namespace ospreystair::testing_support
