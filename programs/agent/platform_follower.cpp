// Polling and watching loops of the platform follower.

#include "platform_follower.hpp"

#include <algorithm>
#include <utility>

#include <json/json.h>

#include "configuration/document.hpp"
#include "http/client_connection.hpp"
#include "rpc/rpc_server.hpp"

namespace ospreystair::agent
{

namespace
{

using namespace std::chrono_literals;
namespace asio = http::asio;
using observe::log_level;

constexpr auto call_timeout = 2s;
constexpr auto watch_timeout = 10s;
// For agents that are not watchers: 410 of them make about 20 reads/s.
constexpr std::chrono::milliseconds non_watcher_period = 60s;
// At the target size, 20 watchers make 20 listings/s, of the 2,000 reads/s that the platform
// allows.
constexpr std::chrono::milliseconds index_period = 1s;
constexpr std::chrono::milliseconds vms_period = 5s;
constexpr std::chrono::milliseconds retry_period = 1s;
constexpr std::chrono::milliseconds drain_check_period = 5s;
// The upstream is asked about a drain with less time than this remaining. A value above the margin
// at which publish_drain() extends a drain would have no effect.
constexpr auto drain_check_margin = 30s;
const std::string configuration_key = "configuration";
const std::string index_prefix = "index/";

base::time_point call_deadline()
{
    return std::chrono::steady_clock::now() + call_timeout;
}

} // namespace

platform_follower::platform_follower(asio::io_context& context, objects::http_object_store& store,
                                     std::set<std::string> seeds, agent_state& state,
                                     gossip_service& gossip, observe::event_log& events,
                                     observe::metrics& metrics)
    : m_context(context), m_strand(asio::make_strand(context)), m_store(store),
      m_seeds(std::move(seeds)), m_state(state), m_gossip(gossip), m_events(events),
      m_calls(metrics.find_counter("ospreystair_platform_calls_total")),
      m_failures(metrics.find_counter("ospreystair_platform_failures_total")),
      m_random(base::system_seed())
{
}

void platform_follower::start()
{
    asio::co_spawn(m_strand, follow_configuration(), asio::detached);
    asio::co_spawn(m_strand, follow_indexes(), asio::detached);
    asio::co_spawn(m_strand, follow_vms(), asio::detached);
    asio::co_spawn(m_strand, check_drains(), asio::detached);
}

void platform_follower::refresh()
{
    asio::co_spawn(
        m_strand,
        [this]() -> asio::awaitable<void>
        {
            co_await read_configuration();
            co_await read_indexes();
        },
        asio::detached);
}

asio::awaitable<void> platform_follower::wait_with_jitter(std::chrono::milliseconds time)
{
    // Jitter of up to half the time in both directions spreads the calls of agents that started
    // together.
    asio::steady_timer timer(m_strand, time / 2 + std::chrono::milliseconds{m_random.below(
                                                      static_cast<std::uint64_t>(time.count()))});
    co_await timer.async_wait(asio::use_awaitable);
}

std::chrono::milliseconds
platform_follower::poll_period(std::chrono::milliseconds watcher_period) const
{
    return m_gossip.is_watcher() ? watcher_period : non_watcher_period;
}

asio::awaitable<void> platform_follower::follow_configuration()
{
    co_await read_configuration();
    for (;;)
    {
        if (m_gossip.is_watcher())
        {
            if (!co_await watch_configuration())
                co_await wait_with_jitter(retry_period);
            continue;
        }
        // An agent that becomes a watcher must not wait for the end of the long period.
        const auto next = std::chrono::steady_clock::now() + non_watcher_period / 2 +
                          std::chrono::milliseconds{m_random.below(non_watcher_period.count())};
        while (std::chrono::steady_clock::now() < next && !m_gossip.is_watcher())
            co_await wait_with_jitter(retry_period);
        co_await read_configuration();
    }
}

asio::awaitable<bool> platform_follower::read_configuration()
{
    base::error reason;
    const auto object = co_await m_store.read(configuration_key, call_deadline(), reason);
    record_call(object.has_value() || reason.kind == base::error_kind::not_found, "read", reason);
    if (object)
        adopt_configuration(*object);
    co_return object.has_value();
}

asio::awaitable<bool> platform_follower::watch_configuration()
{
    base::error reason;
    const std::uint64_t known_version =
        std::max(m_read_configuration_version, m_state.configuration_version());
    const auto result =
        co_await m_store.watch(configuration_key, known_version, watch_timeout, reason);
    record_call(result.has_value(), "watch", reason);
    if (!result)
        co_return false;
    if (result->is_changed)
    {
        adopt_configuration(result->object);
        co_return true;
    }
    // A watch that fails to report a change must not delay it beyond the 18 s within which changes
    // are to be applied. The list call returns only the version; reading the document every time
    // would cost too much.
    const auto listed = co_await m_store.list(configuration_key, call_deadline(), reason);
    record_call(listed.has_value(), "list", reason);
    if (!listed)
        co_return false;
    for (const objects::listed_object& item : *listed)
        if (item.key == configuration_key && item.version > known_version)
            co_return co_await read_configuration();
    co_return true;
}

void platform_follower::adopt_configuration(const objects::stored_object& object)
{
    m_read_configuration_version = std::max(m_read_configuration_version, object.version);
    if (m_state.adopt_configuration(object.version, object.value, "platform"))
        m_gossip.announce_configuration(object.version);
}

asio::awaitable<void> platform_follower::follow_indexes()
{
    for (;;)
    {
        const bool is_read = co_await read_indexes();
        const auto next =
            std::chrono::steady_clock::now() + (is_read ? poll_period(index_period) : retry_period);
        do
            co_await wait_with_jitter(index_period);
        while (std::chrono::steady_clock::now() < next && !m_gossip.is_watcher());
    }
}

asio::awaitable<bool> platform_follower::read_indexes()
{
    base::error reason;
    const auto listed = co_await m_store.list(index_prefix, call_deadline(), reason);
    record_call(listed.has_value(), "list", reason);
    if (!listed)
        co_return false;
    bool is_complete = true;
    for (const objects::listed_object& item : *listed)
    {
        const std::string service =
            item.key.starts_with(index_prefix) ? item.key.substr(index_prefix.size()) : "";
        if (!configuration::is_valid_name(service))
            continue;
        if (item.version <=
            std::max(m_state.index_version(service), m_read_index_versions[service]))
            continue;
        const auto object = co_await m_store.read(item.key, call_deadline(), reason);
        record_call(object.has_value(), "read", reason);
        if (!object)
        {
            is_complete = false;
            continue;
        }
        m_read_index_versions[service] = object->version;
        adopt_index(service, *object);
    }
    co_return is_complete;
}

void platform_follower::adopt_index(const std::string& service,
                                    const objects::stored_object& object)
{
    if (m_state.adopt_index(service, object.version, object.value, "platform"))
        m_gossip.publish({index_prefix + service, object.version, m_state.index_text(service)});
}

asio::awaitable<void> platform_follower::follow_vms()
{
    for (;;)
    {
        base::error reason;
        const auto vms = co_await m_store.list_vms(call_deadline(), reason);
        record_call(vms.has_value(), "list_vms", reason);
        if (vms)
            apply_vm_list(*vms);
        const auto next =
            std::chrono::steady_clock::now() + (vms ? poll_period(vms_period) : retry_period);
        do
            co_await wait_with_jitter(retry_period);
        while (std::chrono::steady_clock::now() < next);
    }
}

void platform_follower::apply_vm_list(const std::vector<objects::vm_entry>& vms)
{
    std::set<std::string> seeds = m_seeds;
    for (const objects::vm_entry& item : vms)
    {
        const bool is_replica = m_state.is_replica(item.vm);
        if (is_replica && item.is_leaving)
            m_gossip.publish_drain(item.vm, true);
        // The list lags behind and does not decide which members are alive, which probes do; its
        // addresses are only used as seeds.
        if (!is_replica)
            seeds.insert(item.address);
    }
    m_gossip.set_seeds(std::move(seeds));
}

asio::awaitable<void> platform_follower::check_drains()
{
    for (;;)
    {
        co_await wait_with_jitter(drain_check_period);
        for (const auto& [upstream, drain] : m_gossip.drains())
            if (drain.expires < wall_time() + drain_check_margin &&
                m_gossip.is_responsible_for(std::string(drain_prefix) + upstream))
                co_await check_drain(upstream);
    }
}

// Asks an upstream whether it is still draining, and extends or ends its drain. Without an answer
// it is extended, because an upstream that does not answer cannot serve requests anyway.
asio::awaitable<void> platform_follower::check_drain(std::string upstream)
{
    const auto address = m_state.replica_address(upstream);
    if (!address)
        co_return;
    http::request message{http::verb::get, "/load", 11};
    message.set(http::field::host, address->to_text());
    http::exchange_progress progress{};
    base::error reason;
    const auto reply =
        co_await http::exchange_once(m_context, http::make_endpoint(address->host, address->port),
                                     std::move(message), call_deadline(), progress, reason);
    bool is_draining = true;
    if (reply && reply->result() == http::status::ok)
    {
        const auto load = rpc::parse_json(reply->body(), reason);
        is_draining = !load || !load->isObject() || !(*load)["draining"].isBool() ||
                      (*load)["draining"].asBool();
    }
    m_gossip.publish_drain(upstream, is_draining);
}

void platform_follower::record_call(bool is_success, std::string_view call,
                                    const base::error& reason)
{
    m_calls.add();
    if (!is_success)
        m_failures.add();
    if (std::exchange(m_is_reachable, is_success) == is_success)
        return;
    if (is_success)
        m_events.write(log_level::info, "platform_answers", "", {{"call", call}});
    else
        m_events.write(
            log_level::warning, "platform_fails", "",
            {{"call", call}, {"kind", base::to_string(reason.kind)}, {"message", reason.message}});
}

} // namespace ospreystair::agent
