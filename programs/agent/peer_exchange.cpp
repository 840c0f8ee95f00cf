// The method `fetch`, the calls to it, and the periodic comparison of digests (anti-entropy).

#include "peer_exchange.hpp"

#include <chrono>
#include <utility>

#include "protocol/datagram.hpp"
#include "rpc/rpc_client.hpp"
#include "rpc/rpc_server.hpp"

namespace ospreystair::agent
{

namespace
{

using namespace std::chrono_literals;
namespace asio = http::asio;

constexpr auto call_timeout = 2s;
constexpr auto compare_period = 10s;
// Period while no configuration is known.
constexpr auto startup_period = 1s;
constexpr std::string_view configuration_key = "configuration";

Json::Value to_json(const protocol::member_record& record)
{
    Json::Value result;
    result["vm"] = record.vm;
    result["data_centre"] = record.data_centre;
    result["address"] = record.address;
    result["incarnation"] = Json::UInt64{record.incarnation};
    result["epoch"] = Json::UInt64{record.epoch};
    result["state"] = Json::UInt64{static_cast<std::uint64_t>(record.state)};
    result["configuration_version"] = Json::UInt64{record.configuration_version};
    return result;
}

// Throws Json::Exception when a member has another type. Empty for an unknown state.
std::optional<protocol::member_record> record_from_json(const Json::Value& value)
{
    const std::uint64_t state = value["state"].asUInt64();
    if (state > static_cast<std::uint64_t>(protocol::member_state::left))
        return std::nullopt;
    return protocol::member_record{value["vm"].asString(),
                                   value["data_centre"].asString(),
                                   value["address"].asString(),
                                   value["incarnation"].asUInt64(),
                                   value["epoch"].asUInt64(),
                                   static_cast<protocol::member_state>(state),
                                   value["configuration_version"].asUInt64()};
}

} // namespace

peer_exchange::peer_exchange(agent_state& state, gossip_service& gossip, observe::event_log& events,
                             observe::metrics& metrics)
    : m_state(state), m_gossip(gossip), m_events(events),
      m_calls(metrics.find_counter("ospreystair_fetch_calls_total")),
      m_failures(metrics.find_counter("ospreystair_fetch_failures_total")),
      m_bytes(metrics.find_counter("ospreystair_fetch_bytes_total")), m_random(base::system_seed())
{
}

std::optional<Json::Value> peer_exchange::answer_fetch(const Json::Value& parameters, base::error&)
{
    Json::Value result(Json::objectValue);
    if (parameters.isMember("digest"))
    {
        result["equal"] = parameters["digest"].asString() == m_gossip.digest();
        return result;
    }
    std::map<std::string, std::uint64_t> known_versions;
    const Json::Value& versions = parameters["registers"];
    for (const std::string& key : versions.getMemberNames())
        known_versions[key] = versions[key].asUInt64();
    result["registers"] = Json::arrayValue;
    for (const protocol::register_item& item : m_gossip.newer_registers(known_versions))
    {
        // The configuration is answered as a document below; its register has no value.
        if (item.key == configuration_key)
            continue;
        Json::Value entry;
        entry["key"] = item.key;
        entry["version"] = Json::UInt64{item.version};
        entry["value"] = *item.value;
        result["registers"].append(std::move(entry));
    }
    result["members"] = Json::arrayValue;
    for (const protocol::member_record& record : m_gossip.members())
        result["members"].append(to_json(record));
    const auto object = m_state.current_configuration();
    if (object.version > parameters["configuration_version"].asUInt64())
    {
        result["configuration_version"] = Json::UInt64{object.version};
        result["configuration"] = object.text;
    }
    return result;
}

void peer_exchange::fetch_from(const std::string& address)
{
    if (m_is_stopping.load())
        return;
    {
        const std::scoped_lock lock(m_mutex);
        if (!m_pending_fetches.insert(address).second)
            return;
    }
    asio::post(m_worker,
               [this, address]
               {
                   {
                       // A change at the peer from here on must queue another fetch.
                       const std::scoped_lock lock(m_mutex);
                       m_pending_fetches.erase(address);
                   }
                   fetch(address);
               });
}

asio::awaitable<void> peer_exchange::run(std::vector<settings::socket_address> seeds)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!m_is_stopping.load())
    {
        const bool is_starting = m_state.configuration_version() == 0;
        if (is_starting)
            for (const auto& seed : seeds)
                fetch_from(seed.to_text());
        if (const std::string address = pick_random_member(); !address.empty())
        {
            if (is_starting)
                fetch_from(address);
            else
                asio::post(m_worker, [this, address] { compare(address); });
        }
        const std::chrono::milliseconds period = is_starting ? startup_period : compare_period;
        std::chrono::milliseconds delay{};
        {
            const std::scoped_lock lock(m_mutex);
            delay = period / 2 + std::chrono::milliseconds{
                                     m_random.below(static_cast<std::uint64_t>(period.count()))};
        }
        timer.expires_after(delay);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

void peer_exchange::stop()
{
    m_is_stopping.store(true);
    m_worker.join();
}

void peer_exchange::compare(const std::string& address)
{
    Json::Value parameters;
    parameters["digest"] = m_gossip.digest();
    const auto result = call(address, std::move(parameters));
    if (result && !(*result)["equal"].asBool())
        fetch(address);
}

void peer_exchange::fetch(const std::string& address)
{
    Json::Value parameters;
    parameters["configuration_version"] = Json::UInt64{m_state.configuration_version()};
    parameters["registers"] = Json::objectValue;
    for (const auto& [key, version] : m_gossip.register_versions())
        parameters["registers"][key] = Json::UInt64{version};
    const auto result = call(address, std::move(parameters));
    if (!result)
        return;
    try
    {
        adopt(*result);
    }
    catch (const Json::Exception& exception)
    {
        m_events.write(observe::log_level::warning, "fetch_malformed", "",
                       {{"peer", address},
                        {"message", exception.what()},
                        {"remedy", "run the same release on both"}});
    }
}

std::optional<Json::Value> peer_exchange::call(const std::string& address, Json::Value parameters)
{
    if (m_is_stopping.load())
        return std::nullopt;
    parameters["protocol"] = Json::UInt64{protocol::protocol_version};
    parameters["stamp"] = m_events.clock().tick().to_text();
    const std::string text = rpc::to_text(parameters);
    std::string result;
    std::string error_text;
    m_calls.add();
    rpc::rpc_client client(address, call_timeout);
    const auto status = client.call("fetch", text, result, error_text);
    m_bytes.add(text.size() + result.size());
    base::error reason;
    auto parsed =
        status == rpc::call_status::answered ? rpc::parse_json(result, reason) : std::nullopt;
    if (parsed && parsed->isObject())
    {
        if (const auto stamp = observe::stamp::from_text((*parsed)["stamp"].asString()))
            m_events.clock().observe(*stamp);
        return parsed;
    }
    m_failures.add();
    m_events.write(observe::log_level::debug, "fetch_failed", "",
                   {{"peer", address}, {"message", error_text + reason.message}});
    return std::nullopt;
}

void peer_exchange::adopt(const Json::Value& result)
{
    std::vector<protocol::member_record> records;
    for (const Json::Value& item : result["members"])
        if (auto record = record_from_json(item))
            records.push_back(std::move(*record));
    m_gossip.merge_members(records);
    if (result.isMember("configuration"))
    {
        const std::uint64_t version = result["configuration_version"].asUInt64();
        if (m_state.adopt_configuration(version, result["configuration"].asString(), "peer"))
            m_gossip.announce_configuration(version);
    }
    for (const Json::Value& item : result["registers"])
        m_gossip.publish(
            {item["key"].asString(), item["version"].asUInt64(), item["value"].asString()});
}

std::string peer_exchange::pick_random_member()
{
    std::vector<std::string> addresses;
    const auto records = m_gossip.members();
    for (auto record = records.begin() + 1; record != records.end(); ++record)
        if (record->state == protocol::member_state::alive)
            addresses.push_back(record->address);
    if (addresses.empty())
        return {};
    const std::scoped_lock lock(m_mutex);
    return addresses[m_random.below(addresses.size())];
}

} // namespace ospreystair::agent
