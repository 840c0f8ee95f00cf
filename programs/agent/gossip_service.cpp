// Datagram loop and timer loop of the membership state machine.

#include "gossip_service.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "base/hash.hpp"
#include "membership/watch_plan.hpp"
#include "protocol/datagram_codec.hpp"

namespace ospreystair::agent
{

namespace
{

namespace asio = http::asio;
using asio::ip::udp;
using namespace std::chrono_literals;
using observe::log_level;

constexpr auto tick_interval = 100ms;
// Changes of members and registers update the view that the entry polls at once. Other
// changes, such as the end of a drain, update it once per this many ticks.
constexpr int ticks_per_refresh = 5;
constexpr std::string_view index_prefix = "index/";
// Long enough that extending drains costs little, short enough that an upstream that returns
// without any agent noticing is idle for a minute at most.
constexpr auto drain_lifetime = 60s;
// A drain is extended when less than this remains.
constexpr auto drain_extension_margin = 30s;
// Expired drains are kept this long, so that an agent whose clock differs does not publish them
// again.
constexpr auto drain_retention = 120s;

protocol::member_record make_self(const agent_settings& settings)
{
    protocol::member_record self;
    self.vm = settings.identity.vm;
    self.data_centre = settings.identity.data_centre;
    self.address = settings.advertised_address.to_text();
    self.incarnation = static_cast<std::uint64_t>(settings.identity.incarnation.count());
    return self;
}

std::set<std::string> to_texts(const std::vector<settings::socket_address>& addresses)
{
    std::set<std::string> result;
    for (const auto& address : addresses)
        result.insert(address.to_text());
    return result;
}

} // namespace

gossip_service::gossip_service(asio::io_context& context, const agent_settings& settings,
                               agent_state& state, observe::event_log& events,
                               observe::metrics& metrics)
    : m_state(state), m_events(events),
      m_sent_bytes(metrics.find_counter("ospreystair_gossip_sent_bytes_total")),
      m_sent_datagrams(metrics.find_counter("ospreystair_gossip_sent_datagrams_total")),
      m_received_bytes(metrics.find_counter("ospreystair_gossip_received_bytes_total")),
      m_refused_datagrams(metrics.find_counter("ospreystair_gossip_refused_datagrams_total")),
      m_live_members(metrics.find_gauge("ospreystair_live_members")),
      m_strand(asio::make_strand(context)), m_socket(m_strand), m_timer(m_strand),
      m_random(base::system_seed()), m_swim(make_self(settings), m_clock, m_random)
{
    m_swim.set_seeds(to_texts(settings.peer_addresses));
}

std::optional<std::unique_ptr<gossip_service>>
gossip_service::create(asio::io_context& context, const agent_settings& settings,
                       agent_state& state, observe::event_log& events, observe::metrics& metrics,
                       base::error& reason)
{
    std::unique_ptr<gossip_service> result(
        new gossip_service(context, settings, state, events, metrics));
    if (!result->bind(settings.control_address, reason))
        return std::nullopt;
    return result;
}

bool gossip_service::bind(const settings::socket_address& address, base::error& reason)
{
    boost::system::error_code code;
    const udp::endpoint endpoint(asio::ip::make_address(address.host, code), address.port);
    m_socket.open(endpoint.protocol(), code);
    if (!code)
        m_socket.bind(endpoint, code);
    if (!code)
        m_socket.non_blocking(true, code);
    if (!code)
        return true;
    base::fail(reason,
               code == asio::error::address_in_use ? base::error_kind::address_in_use
                                                   : base::error_kind::invalid_settings,
               fmt::format("cannot receive datagrams on {}: {}; stop the process that uses it or "
                           "choose another address",
                           address.to_text(), code.message()));
    return false;
}

void gossip_service::start(fetch_function fetch)
{
    m_fetch = std::move(fetch);
    refresh_state();
    asio::co_spawn(m_strand, receive_loop(), asio::detached);
    asio::co_spawn(m_strand, tick_loop(), asio::detached);
}

void gossip_service::leave()
{
    membership::swim_output output;
    {
        const std::scoped_lock lock(m_mutex);
        output = m_swim.leave();
    }
    apply(std::move(output));
}

asio::awaitable<void> gossip_service::receive_loop()
{
    std::array<char, 2048> buffer{};
    udp::endpoint sender;
    for (;;)
    {
        boost::system::error_code code;
        const std::size_t count = co_await m_socket.async_receive_from(
            asio::buffer(buffer), sender, asio::redirect_error(asio::use_awaitable, code));
        if (code == asio::error::operation_aborted)
            co_return;
        // Other errors need no action: Linux reports here that an earlier datagram had no receiver.
        if (!code)
            receive({buffer.data(), count});
    }
}

asio::awaitable<void> gossip_service::tick_loop()
{
    for (int count = 0;; ++count)
    {
        m_timer.expires_after(tick_interval);
        boost::system::error_code code;
        co_await m_timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
        if (code)
            co_return;
        membership::swim_output output;
        {
            const std::scoped_lock lock(m_mutex);
            output = m_swim.tick();
        }
        apply(std::move(output));
        if (count % ticks_per_refresh == 0)
            refresh_state();
    }
}

void gossip_service::receive(std::string_view bytes)
{
    m_received_bytes.add(bytes.size());
    base::error reason;
    const auto message = protocol::decode(bytes, reason);
    if (!message)
    {
        m_refused_datagrams.add();
        m_events.write(log_level::debug, "datagram_refused", "", {{"message", reason.message}});
        return;
    }
    m_events.clock().observe(message->stamp);
    membership::swim_output output;
    {
        const std::scoped_lock lock(m_mutex);
        output = m_swim.receive(*message);
    }
    apply(std::move(output));
}

void gossip_service::apply(membership::swim_output output)
{
    for (membership::outgoing_datagram& item : output.messages)
        send(std::move(item));
    log_changes(output);
    for (const protocol::register_item& item : output.adopted_registers)
        if (item.key.starts_with(index_prefix))
            m_state.adopt_index(item.key.substr(index_prefix.size()), item.version, *item.value,
                                "peer");
    if (!output.adopted_registers.empty() || !output.changed_members.empty())
        refresh_state();
    std::set<std::string> holders;
    for (const membership::register_fetch& fetch : output.register_fetches)
        holders.insert(fetch.holder);
    for (const std::string& holder : holders)
        if (m_fetch)
            m_fetch(holder);
}

void gossip_service::send(membership::outgoing_datagram item)
{
    const auto address = settings::socket_address::from_text(item.address);
    if (!address)
        return;
    item.message.stamp = m_events.clock().tick();
    std::string bytes = protocol::encode(item.message);
    m_sent_bytes.add(bytes.size());
    m_sent_datagrams.add();
    boost::system::error_code code;
    const udp::endpoint endpoint(asio::ip::make_address(address->host, code), address->port);
    asio::dispatch(m_strand,
                   [this, endpoint, bytes = std::move(bytes)]
                   {
                       // A failure to send counts as a lost datagram, which the protocol tolerates.
                       boost::system::error_code ignored;
                       m_socket.send_to(asio::buffer(bytes), endpoint, 0, ignored);
                   });
}

void gossip_service::log_changes(const membership::swim_output& output)
{
    for (const protocol::member_record& record : output.changed_members)
    {
        const bool is_failure = record.state == protocol::member_state::failed;
        m_events.write(is_failure ? log_level::warning : log_level::info, "member_changed", "",
                       {{"member", record.vm},
                        {"member_data_centre", record.data_centre},
                        {"address", record.address},
                        {"incarnation", record.incarnation},
                        {"epoch", record.epoch},
                        {"state", protocol::to_string(record.state)}});
    }
    for (const protocol::register_item& item : output.adopted_registers)
        m_events.write(log_level::debug, "register_adopted", "",
                       {{"key", item.key}, {"version", item.version}});
    const std::scoped_lock lock(m_mutex);
    if (output.is_name_taken && !std::exchange(m_is_name_taken, true))
        m_events.write(log_level::error, "name_taken", "",
                       {{"message", "another agent uses this VM's name at another address; give "
                                    "each VM its own --vm"}});
}

void gossip_service::refresh_state()
{
    std::vector<configuration::member> members;
    std::set<std::string> draining;
    {
        const std::scoped_lock lock(m_mutex);
        for (const protocol::member_record& record : m_swim.members())
            members.push_back({record.vm, record.data_centre,
                               settings::socket_address::from_text(record.address)
                                   .value_or(settings::socket_address{}),
                               std::string(protocol::to_string(record.state)), record.incarnation,
                               record.configuration_version});
        const auto now = wall_time();
        m_swim.forget_registers(
            [now](const std::string& key, const membership::register_table::entry& entry)
            {
                const auto value = key.starts_with(drain_prefix)
                                       ? drain_register::from_text(entry.value)
                                       : std::nullopt;
                return value && value->expires + drain_retention < now;
            });
        draining = find_draining(m_swim.registers(), now);
    }
    m_live_members.set(std::count_if(members.begin(), members.end(),
                                     [](const auto& item)
                                     { return item.state == "alive" || item.state == "suspect"; }));
    m_state.set_members(std::move(members));
    m_state.set_draining(std::move(draining));
}

void gossip_service::publish(const protocol::register_item& item)
{
    membership::swim_output output;
    {
        const std::scoped_lock lock(m_mutex);
        output = m_swim.publish(item);
    }
    apply(std::move(output));
}

void gossip_service::publish_drain(const std::string& upstream, bool is_draining)
{
    const std::string key = std::string(drain_prefix) + upstream;
    const auto now = wall_time();
    membership::swim_output output;
    {
        const std::scoped_lock lock(m_mutex);
        const auto* const entry = m_swim.registers().find(key);
        const auto value = entry ? drain_register::from_text(entry->value) : std::nullopt;
        const bool is_known =
            value && (is_draining ? value->is_in_force(now + drain_extension_margin)
                                  : !value->is_in_force(now));
        if (is_known || (!value && !is_draining))
            return;
        // Based on the time, so that the version is higher than that of a register for the same
        // upstream that was removed meanwhile.
        const std::uint64_t version =
            std::max(entry ? entry->version + 1 : 0, static_cast<std::uint64_t>(now.count()));
        output = m_swim.publish(
            {key, version, drain_register{now + drain_lifetime, is_draining}.to_text()});
    }
    m_events.write(log_level::info, "drain_published", "",
                   {{"upstream", upstream}, {"state", is_draining ? "draining" : "serving"}});
    apply(std::move(output));
}

void gossip_service::announce_configuration(std::uint64_t version)
{
    membership::swim_output output;
    {
        const std::scoped_lock lock(m_mutex);
        m_swim.set_configuration_version(version);
        // The value is empty because the document is too large for a datagram; members fetch it.
        output = m_swim.publish({"configuration", version, ""});
    }
    apply(std::move(output));
}

void gossip_service::merge_members(const std::vector<protocol::member_record>& records)
{
    membership::swim_output output;
    {
        const std::scoped_lock lock(m_mutex);
        output = m_swim.merge_members(records);
    }
    apply(std::move(output));
}

void gossip_service::set_seeds(std::set<std::string> addresses)
{
    const std::scoped_lock lock(m_mutex);
    m_swim.set_seeds(std::move(addresses));
}

std::vector<protocol::member_record> gossip_service::members() const
{
    const std::scoped_lock lock(m_mutex);
    return m_swim.members();
}

std::map<std::string, std::uint64_t> gossip_service::register_versions() const
{
    const std::scoped_lock lock(m_mutex);
    std::map<std::string, std::uint64_t> result;
    for (const auto& [key, entry] : m_swim.registers().entries())
        result.emplace(key, entry.version);
    return result;
}

std::vector<protocol::register_item>
gossip_service::newer_registers(const std::map<std::string, std::uint64_t>& known_versions) const
{
    const std::scoped_lock lock(m_mutex);
    return m_swim.registers().newer_than(known_versions);
}

std::string gossip_service::digest() const
{
    std::vector<protocol::member_record> records = members();
    std::sort(records.begin(), records.end(),
              [](const auto& left, const auto& right) { return left.vm < right.vm; });
    std::string text;
    // Agents remove failed members at different times, which is not a difference to repair.
    for (const auto& record : records)
        if (record.state <= protocol::member_state::suspect)
            text += fmt::format("{} {} {};", record.vm, record.incarnation, record.epoch);
    for (const auto& [key, version] : register_versions())
        text += fmt::format("{} {};", key, version);
    return fmt::format("{:016x}", base::stable_hash(text));
}

bool gossip_service::is_watcher() const
{
    const auto records = members();
    const auto watchers = membership::plan_watchers(records, records.front().data_centre);
    return std::find(watchers.begin(), watchers.end(), records.front().vm) != watchers.end();
}

std::map<std::string, drain_register> gossip_service::drains() const
{
    const auto now = wall_time();
    std::map<std::string, drain_register> result;
    const std::scoped_lock lock(m_mutex);
    for (const std::string& name : find_draining(m_swim.registers(), now))
        result[name] = *drain_register::from_text(
            m_swim.registers().find(std::string(drain_prefix) + name)->value);
    return result;
}

bool gossip_service::is_responsible_for(const std::string& task) const
{
    const auto records = members();
    const auto task_hash = [&](const protocol::member_record& record)
    {
        return base::stable_hash(fmt::format("{}/{}", task, record.vm));
    };
    const std::uint64_t own_hash = task_hash(records.front());
    return std::none_of(records.begin() + 1, records.end(),
                        [&](const auto& record) {
                            return record.state <= protocol::member_state::suspect &&
                                   task_hash(record) < own_hash;
                        });
}

} // namespace ospreystair::agent
