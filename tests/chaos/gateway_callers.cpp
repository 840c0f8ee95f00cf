// Threads that each send one request after the other.

#include "tests/chaos/gateway_callers.hpp"

#include <memory>

#include <fmt/format.h>

#include "base/hash.hpp"

namespace ospreystair::chaos
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::uint64_t thread_count = 6;
constexpr std::uint64_t repeating_thread_count = 6;
constexpr std::uint64_t max_pause_ms = 30;
constexpr milliseconds readiness_check_interval{1'000};
constexpr int failed_checks_before_removal = 2;
// One request in this many is `once` and one is `single`; the others are `gathered`.
constexpr std::uint64_t requests_per_kind = 4;
// One request in this many is abandoned by its caller, unless its answer arrives before.
constexpr std::uint64_t requests_per_disconnect = 4;
constexpr milliseconds disconnect_time{4};

request_kind choose_kind(base::seeded_random& random)
{
    const std::uint64_t choice = random.below(requests_per_kind);
    return choice == 0   ? request_kind::once
           : choice == 1 ? request_kind::single
                         : request_kind::gathered;
}

testing_support::caller_message make_message(request_kind kind, std::string id)
{
    testing_support::caller_message message;
    message.id = std::move(id);
    if (kind == request_kind::single)
        message.path = "/one/q";
    if (kind == request_kind::once)
    {
        message.path = "/once/q";
        message.method = "POST";
        message.body = "a body";
    }
    return message;
}

} // namespace

gateway_callers::gateway_callers(gateway_audit& audit, gateway_system& system, std::uint64_t seed)
    : m_audit(audit), m_system(system), m_seed(seed), m_failed_checks(system.vm_count())
{
    for (std::uint64_t number = 0; number < thread_count; ++number)
        m_threads.emplace_back([this, number] { run_requests(number); });
    for (std::uint64_t number = 0; number < repeating_thread_count; ++number)
        m_threads.emplace_back([this, number] { run_repeated_requests(number); });
    m_threads.emplace_back([this] { run_deadly_requests(); });
    m_threads.emplace_back([this] { run_load_balancer(); });
}

gateway_callers::~gateway_callers()
{
    stop();
}

void gateway_callers::stop()
{
    m_is_stopped.store(true);
    for (std::thread& item : m_threads)
        if (item.joinable())
            item.join();
}

std::size_t gateway_callers::choose_vm(base::seeded_random& random) const
{
    std::vector<std::size_t> candidates;
    for (std::size_t vm = 0; vm < m_failed_checks.size(); ++vm)
        if (m_failed_checks.at(vm).load() < failed_checks_before_removal)
            candidates.push_back(vm);
    if (candidates.empty())
        return random.below(m_failed_checks.size());
    return candidates[random.below(candidates.size())];
}

void gateway_callers::run_load_balancer()
{
    constexpr unsigned ok = 200;
    while (!m_is_stopped.load())
    {
        const auto next = steady_clock::now() + readiness_check_interval;
        for (std::size_t vm = 0; vm < m_failed_checks.size(); ++vm)
        {
            if (m_system.fleet().readiness(vm) == ok)
                m_failed_checks.at(vm).store(0);
            else
                m_failed_checks.at(vm).fetch_add(1);
        }
        while (steady_clock::now() < next && !m_is_stopped.load())
            std::this_thread::sleep_for(milliseconds{max_pause_ms});
    }
}

void gateway_callers::run_deadly_requests()
{
    constexpr std::uint64_t max_deadly_pause_ms = 300;
    base::seeded_random random(base::mix_bits(m_seed));
    for (std::size_t number = 0; !m_is_stopped.load(); ++number)
    {
        std::this_thread::sleep_for(
            milliseconds{static_cast<std::int64_t>(random.below(max_deadly_pause_ms))});
        caller_exchange exchange;
        exchange.deadly_content = m_system.deadly_content();
        if (exchange.deadly_content.empty())
            continue;
        // All copies of one content are of one kind.
        base::seeded_random content_random(base::stable_hash(exchange.deadly_content));
        exchange.kind = choose_kind(content_random);
        exchange.id = fmt::format("deadly{}", number);
        exchange.vm = choose_vm(random);
        exchange.incarnation = m_system.incarnation(exchange.vm);
        testing_support::caller_message message = make_message(exchange.kind, exchange.id);
        if (exchange.kind == request_kind::once)
            message.body = exchange.deadly_content;
        else
            message.path += exchange.deadly_content;
        exchange.sent_at = steady_clock::now();
        exchange.answer = m_system.fleet().send(exchange.vm, std::move(message));
        exchange.ended_at = steady_clock::now();
        m_audit.add_exchange(exchange);
    }
}

void gateway_callers::run_repeated_requests(std::uint64_t thread_number)
{
    constexpr unsigned ok = 200;
    constexpr std::size_t max_attempts = 5;
    constexpr std::uint64_t min_patience_ms = 3;
    constexpr std::uint64_t patience_range_ms = 60;
    base::seeded_random random(base::mix_bits(m_seed * thread_count + thread_number));
    for (std::size_t number = 0; !m_is_stopped.load(); ++number)
    {
        const request_kind kind =
            random.below(2) == 0 ? request_kind::single : request_kind::gathered;
        const std::string id = fmt::format("r{}n{}", thread_number, number);
        std::vector<caller_exchange> attempts;
        while (attempts.size() < max_attempts &&
               (attempts.empty() || attempts.back().answer.status != ok))
        {
            caller_exchange exchange;
            exchange.kind = kind;
            exchange.id = id;
            exchange.is_first_try = attempts.empty();
            // Often the same VM, which may send on the connection of the earlier attempt.
            exchange.vm =
                attempts.empty() || random.below(2) == 0 ? choose_vm(random) : attempts.back().vm;
            exchange.incarnation = m_system.incarnation(exchange.vm);
            testing_support::caller_message message = make_message(kind, id);
            const milliseconds patience{
                static_cast<std::int64_t>(min_patience_ms + random.below(patience_range_ms))};
            message.close_delay = patience - message.deadline;
            exchange.sent_at = steady_clock::now();
            exchange.answer = m_system.fleet().send(exchange.vm, std::move(message));
            exchange.ended_at = steady_clock::now();
            exchange.has_disconnected = exchange.answer.status == 0 && exchange.answer.is_sent;
            attempts.push_back(std::move(exchange));
        }
        for (caller_exchange& each : attempts)
        {
            each.is_id_repeated = attempts.size() > 1;
            m_audit.add_exchange(each);
        }
        std::this_thread::sleep_for(
            milliseconds{static_cast<std::int64_t>(random.below(max_pause_ms))});
    }
}

void gateway_callers::run_requests(std::uint64_t thread_number)
{
    base::seeded_random random(m_seed * thread_count + thread_number);
    std::vector<std::unique_ptr<testing_support::persistent_connection>> connections;
    for (std::size_t vm = 0; vm < m_system.vm_count(); ++vm)
        connections.push_back(std::make_unique<testing_support::persistent_connection>(
            m_system.fleet().caller_address(vm)));
    for (std::size_t number = 0; !m_is_stopped.load(); ++number)
    {
        caller_exchange exchange;
        exchange.kind = choose_kind(random);
        exchange.id = fmt::format("t{}n{}", thread_number, number);
        const bool uses_persistent_connection = random.below(2) == 0;
        // An open connection stays in use, also when the load balancer has removed its VM.
        const std::size_t preferred = random.below(connections.size());
        exchange.vm = uses_persistent_connection && connections.at(preferred)->is_open()
                          ? preferred
                          : choose_vm(random);
        testing_support::caller_message message = make_message(exchange.kind, exchange.id);
        const bool may_disconnect = random.below(requests_per_disconnect) == 0;
        if (may_disconnect)
            message.close_delay = disconnect_time - message.deadline;
        testing_support::persistent_connection& connection = *connections.at(exchange.vm);
        exchange.is_connection_reused = uses_persistent_connection && connection.is_open();
        exchange.incarnation = m_system.incarnation(exchange.vm);
        exchange.sent_at = steady_clock::now();
        exchange.answer = uses_persistent_connection
                              ? connection.send(message)
                              : m_system.fleet().send(exchange.vm, std::move(message));
        exchange.ended_at = steady_clock::now();
        exchange.has_disconnected =
            may_disconnect && exchange.answer.status == 0 && exchange.answer.is_sent;
        m_audit.add_exchange(exchange);
        std::this_thread::sleep_for(
            milliseconds{static_cast<std::int64_t>(random.below(max_pause_ms))});
    }
}

} // namespace ospreystair::chaos
