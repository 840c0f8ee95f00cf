// SWIM membership (Das, Gupta, Motivala 2002) with suspicion, and dissemination of registers. Does
// no I/O: it processes messages and ticks and returns the datagrams to send.

#ifndef OSPREYSTAIR_MEMBERSHIP_SWIM_HPP
#define OSPREYSTAIR_MEMBERSHIP_SWIM_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/clock.hpp"
#include "base/random.hpp"
#include "membership/broadcast_queue.hpp"
#include "membership/register_table.hpp"
#include "protocol/datagram.hpp"
#include "protocol/datagram_codec.hpp"

namespace ospreystair::membership
{

struct swim_options
{
    base::duration protocol_period = std::chrono::milliseconds{500};
    /// Timeout of a direct ack; after it other members are asked to ping. Well above the latency
    /// between data centres, and leaves the rest of the period for the indirect acks.
    base::duration ping_timeout = std::chrono::milliseconds{200};
    /// Time in which a suspected member can refute before it is marked as failed.
    base::duration suspicion_time = std::chrono::seconds{3};
    /// Average interval of attempts to reach seeds and failed members.
    base::duration rejoin_period = std::chrono::seconds{10};
    /// The same while no other member is live.
    base::duration isolated_rejoin_period = std::chrono::seconds{1};
    /// Failed and left members are removed after this time, which bounds memory. A partition that
    /// heals later is detected through the seeds.
    base::duration failed_retention = std::chrono::minutes{10};
    /// A longer gap between ticks means that this process was paused. Missing messages of that time
    /// are then no sign that other members failed.
    base::duration max_tick_gap = std::chrono::seconds{1};
    /// Members that are asked to ping a member that does not answer.
    std::size_t indirect_probes = 3;
    /// Members of the data centre that an adopted register is pushed to at once.
    std::size_t eager_pushes = 3;
};

/// A datagram to send to `address`.
struct outgoing_datagram
{
    std::string address;
    protocol::datagram message;
};

/// A register whose newer version must be fetched from another member.
struct register_fetch
{
    std::string key;
    std::uint64_t version = 0;
    /// Control address of a member that has the version.
    std::string holder;
};

/// Datagrams and changes that result from a message, a tick or another call.
struct swim_output
{
    std::vector<outgoing_datagram> messages;
    /// Members whose state or incarnation changed.
    std::vector<protocol::member_record> changed_members;
    std::vector<protocol::register_item> adopted_registers;
    std::vector<register_fetch> register_fetches;
    /// Another process uses this VM's name at another address.
    bool is_name_taken = false;
};

/// The membership state machine of one agent. Not thread-safe.
template<base::clock_source Clock, base::random_source Random>
class swim
{
public:
    /// Bounds memory; ten times the target scale.
    static constexpr std::size_t max_members = 4096;
    static constexpr std::size_t max_relays = 1024;
    /// A register or record reaches all members when each member sends it about this many times
    /// log2 of the member count.
    static constexpr std::size_t retransmission_factor = 3;
    /// A new configuration version changes the record of every member at once. With the usual
    /// retransmissions, 520 changes a day would take 5 KB/s per node at 410 nodes. With three it is
    /// 0.6 KB/s, and the records in probes carry the version to the remaining members.
    static constexpr std::size_t configuration_retransmissions = 3;

    /// `clock` and `random` must outlive the state machine.
    swim(protocol::member_record self, const Clock& clock, Random& random,
         swim_options options = {})
        : m_clock(clock), m_random(random), m_options(options), m_self(std::move(self))
    {
        m_self.state = protocol::member_state::alive;
        m_last_tick = m_clock.now();
        m_next_period = m_last_tick;
        m_next_rejoin = m_last_tick;
        m_queue.add(m_self, retransmission_limit());
    }

    /// Replaces the seed addresses, which get pings while no live member is known at them.
    void set_seeds(std::set<std::string> addresses) { m_seeds = std::move(addresses); }

    /// Starts probes and handles timeouts. Must be called about every 100 ms.
    swim_output tick()
    {
        swim_output result;
        const base::time_point now = m_clock.now();
        if (m_self.state == protocol::member_state::left)
            return result;
        compensate_for_pause(now);
        std::erase_if(m_relays, [&](const auto& item) { return item.second.expires_at <= now; });
        if (m_probe && !m_probe->is_indirect && now - m_probe->sent_at >= m_options.ping_timeout)
            request_indirect_probes(result);
        if (now >= m_next_period)
        {
            m_next_period = now + m_options.protocol_period;
            if (m_probe)
                suspect(std::exchange(m_probe, std::nullopt)->vm, result);
            start_probe(result);
        }
        expire_members(now, result);
        if (now >= m_next_rejoin)
            rejoin(now, result);
        return result;
    }

    swim_output receive(const protocol::datagram& message)
    {
        swim_output result;
        const protocol::member_record& sender = message.sender;
        if (m_self.state == protocol::member_state::left ||
            (sender.vm == m_self.vm && sender.address == m_self.address))
            return result;
        merge(sender, result);
        for (const protocol::member_record& record : message.members)
            merge(record, result);
        for (const protocol::register_item& item : message.registers)
            merge_register(item, sender.address, result);
        push_adopted(result);
        bool is_answered = false;
        switch (message.kind)
        {
        case protocol::datagram_kind::ping:
            is_answered = answer_ping(message, result);
            break;
        case protocol::datagram_kind::ack:
            handle_ack(message, result);
            break;
        case protocol::datagram_kind::ping_request:
            relay_ping(message, result);
            break;
        case protocol::datagram_kind::push:
            break;
        }
        // A member that counts as suspect or failed here must be told so, or it cannot refute.
        const auto member = m_members.find(sender.vm);
        if (!is_answered && member != m_members.end() && member->second.record.state != alive)
            result.messages.push_back(make_message(protocol::datagram_kind::push, sender.vm,
                                                   sender.address, next_sequence()));
        return result;
    }

    /// Merges records that were not received as datagrams.
    swim_output merge_members(const std::vector<protocol::member_record>& records)
    {
        swim_output result;
        for (const protocol::member_record& record : records)
            merge(record, result);
        return result;
    }

    /// Adopts a register that this process has created or fetched, and disseminates it.
    swim_output publish(const protocol::register_item& item)
    {
        swim_output result;
        merge_register(item, m_self.address, result);
        push_adopted(result);
        return result;
    }

    /// Announces the configuration version in force on this VM.
    void set_configuration_version(std::uint64_t version)
    {
        if (version <= m_self.configuration_version)
            return;
        m_self.configuration_version = version;
        m_queue.add(m_self, configuration_retransmissions);
    }

    /// Tells some members that this one leaves. Afterwards it sends nothing and ignores messages.
    swim_output leave()
    {
        constexpr std::size_t leave_receivers = 8;
        swim_output result;
        m_self.state = protocol::member_state::left;
        m_queue.add(m_self, leave_receivers);
        for (const std::string& vm : pick_live(leave_receivers, [](const auto&) { return true; }))
            result.messages.push_back(make_message(protocol::datagram_kind::push, vm,
                                                   m_members.at(vm).record.address,
                                                   next_sequence()));
        return result;
    }

    /// Removes the registers for which `is_obsolete` returns true. Returns how many.
    template<class Predicate>
    std::size_t forget_registers(Predicate is_obsolete)
    {
        return m_registers.erase_if(is_obsolete);
    }

    const protocol::member_record& self() const { return m_self; }
    const register_table& registers() const { return m_registers; }

    /// All known members, this one first.
    std::vector<protocol::member_record> members() const
    {
        std::vector<protocol::member_record> result{m_self};
        for (const auto& [vm, member] : m_members)
            result.push_back(member.record);
        return result;
    }

private:
    static constexpr protocol::member_state alive = protocol::member_state::alive;

    struct tracked_member
    {
        protocol::member_record record;
        // When the record was last replaced, or its state changed.
        base::time_point updated_at{};
    };

    struct probe
    {
        std::uint64_t sequence = 0;
        std::string vm;
        base::time_point sent_at{};
        bool is_indirect = false;
    };

    // A ping sent on behalf of another member, to which the ack is relayed.
    struct relayed_ping
    {
        std::string origin_address;
        std::string origin_vm;
        std::uint64_t origin_sequence = 0;
        base::time_point expires_at{};
    };

    std::uint64_t next_sequence() { return ++m_last_sequence; }

    static bool is_live(const protocol::member_record& record)
    {
        return record.state <= protocol::member_state::suspect;
    }

    std::size_t retransmission_limit() const
    {
        std::size_t log = 1;
        for (std::size_t count = m_members.size() + 1; count > 1; count /= 2)
            ++log;
        return retransmission_factor * log;
    }

    // After a pause of this process, drops the probe and extends the timeouts of all members.
    void compensate_for_pause(base::time_point now)
    {
        const base::duration gap = now - std::exchange(m_last_tick, now);
        if (gap <= m_options.max_tick_gap)
            return;
        m_probe.reset();
        for (auto& [vm, member] : m_members)
            member.updated_at += gap;
    }

    // Returns up to `count` distinct random live members that satisfy `is_wanted`.
    template<class Predicate>
    std::vector<std::string> pick_live(std::size_t count, Predicate is_wanted)
    {
        std::vector<std::string> candidates;
        for (const auto& [vm, member] : m_members)
            if (is_live(member.record) && is_wanted(member.record))
                candidates.push_back(vm);
        shuffle(candidates);
        if (candidates.size() > count)
            candidates.resize(count);
        return candidates;
    }

    template<class Value>
    void shuffle(std::vector<Value>& values)
    {
        for (std::size_t left = values.size(); left > 1; --left)
            std::swap(values[left - 1], values[m_random.below(left)]);
    }

    outgoing_datagram make_message(protocol::datagram_kind kind, const std::string& receiver,
                                   const std::string& address, std::uint64_t sequence,
                                   const std::string& target = {},
                                   const std::string& target_address = {})
    {
        outgoing_datagram result{address, {}};
        protocol::datagram& message = result.message;
        message.kind = kind;
        message.sender = m_self;
        message.sequence = sequence;
        message.target = target;
        message.target_address = target_address;
        std::size_t budget = free_bytes(message);
        const auto member = m_members.find(receiver);
        if (member != m_members.end() && member->second.record.state != alive)
            budget = append(message.members, member->second.record, budget);
        // Pushes go to few receivers, often the same ones. They must not use up the
        // retransmissions, since only the probes go to all members.
        if (kind != protocol::datagram_kind::push)
            budget = m_queue.fill(message, budget);
        append_random(message, budget);
        return result;
    }

    // Returns how many bytes remain for records and registers in a message that has none yet.
    static std::size_t free_bytes(const protocol::datagram& message)
    {
        // Reserved for the stamp, which the transport fills in, and the headers of both lists.
        constexpr std::size_t reserved_bytes = 32;
        const std::size_t used = protocol::encode(message).size() + reserved_bytes;
        return protocol::max_datagram_bytes - std::min(used, protocol::max_datagram_bytes);
    }

    template<class Value>
    static std::size_t append(std::vector<Value>& values, const Value& value, std::size_t budget)
    {
        const std::size_t bytes = protocol::encoded_size(value);
        if (bytes > budget)
            return budget;
        values.push_back(value);
        return budget - bytes;
    }

    // Appends one random record and one random register, so that members converge even when every
    // datagram that carried a change was lost.
    void append_random(protocol::datagram& message, std::size_t budget)
    {
        if (!m_members.empty())
        {
            auto position = m_members.begin();
            std::advance(position, static_cast<std::ptrdiff_t>(m_random.below(m_members.size())));
            budget = append(message.members, position->second.record, budget);
        }
        const auto& entries = m_registers.entries();
        if (entries.empty())
            return;
        auto position = entries.begin();
        std::advance(position, static_cast<std::ptrdiff_t>(m_random.below(entries.size())));
        append(message.registers,
               to_wire({position->first, position->second.version, position->second.value}),
               budget);
    }

    void start_probe(swim_output& result)
    {
        while (m_probe_order.empty() || !is_live_member(m_probe_order.back()))
        {
            if (m_probe_order.empty())
            {
                m_probe_order = pick_live(max_members, [](const auto&) { return true; });
                if (m_probe_order.empty())
                    return;
                continue;
            }
            m_probe_order.pop_back();
        }
        const std::string vm = std::move(m_probe_order.back());
        m_probe_order.pop_back();
        m_probe = probe{next_sequence(), vm, m_clock.now()};
        result.messages.push_back(make_message(protocol::datagram_kind::ping, vm,
                                               m_members.at(vm).record.address, m_probe->sequence,
                                               vm));
    }

    bool is_live_member(const std::string& vm) const
    {
        const auto member = m_members.find(vm);
        return member != m_members.end() && is_live(member->second.record);
    }

    void request_indirect_probes(swim_output& result)
    {
        m_probe->is_indirect = true;
        const auto target = m_members.find(m_probe->vm);
        if (target == m_members.end())
            return;
        const std::string target_address = target->second.record.address;
        const auto helpers = pick_live(m_options.indirect_probes, [&](const auto& record)
                                       { return record.vm != m_probe->vm; });
        for (const std::string& vm : helpers)
            result.messages.push_back(make_message(protocol::datagram_kind::ping_request, vm,
                                                   m_members.at(vm).record.address,
                                                   m_probe->sequence, m_probe->vm, target_address));
    }

    void suspect(const std::string& vm, swim_output& result)
    {
        const auto member = m_members.find(vm);
        if (member == m_members.end() || member->second.record.state != alive)
            return;
        set_state(member->second, protocol::member_state::suspect, result);
    }

    void set_state(tracked_member& member, protocol::member_state state, swim_output& result)
    {
        member.record.state = state;
        member.updated_at = m_clock.now();
        m_queue.add(member.record, retransmission_limit());
        result.changed_members.push_back(member.record);
    }

    void expire_members(base::time_point now, swim_output& result)
    {
        for (auto& [vm, member] : m_members)
            if (member.record.state == protocol::member_state::suspect &&
                now - member.updated_at >= m_options.suspicion_time)
                set_state(member, protocol::member_state::failed, result);
        std::erase_if(m_members,
                      [&](const auto& item)
                      {
                          return !is_live(item.second.record) &&
                                 now - item.second.updated_at >= m_options.failed_retention;
                      });
    }

    // Pings some addresses where a member may have appeared or come back. The ping names no target,
    // because another VM may own the address now.
    void rejoin(base::time_point now, swim_output& result)
    {
        constexpr std::size_t max_pings_per_list = 3;
        std::set<std::string> live_addresses{m_self.address};
        std::vector<std::string> failed_addresses;
        for (const auto& [vm, member] : m_members)
            if (is_live(member.record))
                live_addresses.insert(member.record.address);
            else if (member.record.state == protocol::member_state::failed)
                failed_addresses.push_back(member.record.address);
        std::vector<std::string> seeds;
        std::set_difference(m_seeds.begin(), m_seeds.end(), live_addresses.begin(),
                            live_addresses.end(), std::back_inserter(seeds));
        std::set<std::string> ping_addresses;
        for (auto* const addresses : {&seeds, &failed_addresses})
        {
            shuffle(*addresses);
            for (std::size_t index = 0; index < std::min(max_pings_per_list, addresses->size());
                 ++index)
                ping_addresses.insert((*addresses)[index]);
        }
        for (const std::string& address : ping_addresses)
            result.messages.push_back(make_message(protocol::datagram_kind::ping,
                                                   find_vm_at(address), address, next_sequence()));
        const base::duration period =
            live_addresses.size() > 1 ? m_options.rejoin_period : m_options.isolated_rejoin_period;
        // Jitter keeps agents that started together from trying the same seed at the same time.
        m_next_rejoin = now + period / 2 +
                        base::duration{static_cast<base::duration::rep>(
                            m_random.below(static_cast<std::uint64_t>(period.count())))};
    }

    std::string find_vm_at(const std::string& address) const
    {
        for (const auto& [vm, member] : m_members)
            if (member.record.address == address)
                return vm;
        return {};
    }

    bool answer_ping(const protocol::datagram& message, swim_output& result)
    {
        // The ping may be for a VM that had this address before; the push tells the sender which VM
        // has it now.
        const bool is_for_this_vm = message.target.empty() || message.target == m_self.vm;
        result.messages.push_back(make_message(
            is_for_this_vm ? protocol::datagram_kind::ack : protocol::datagram_kind::push,
            message.sender.vm, message.sender.address, message.sequence));
        return true;
    }

    void handle_ack(const protocol::datagram& message, swim_output& result)
    {
        const std::string& vm = message.target.empty() ? message.sender.vm : message.target;
        if (m_probe && m_probe->sequence == message.sequence && m_probe->vm == vm)
            m_probe.reset();
        const auto position = m_relays.find(message.sequence);
        if (position == m_relays.end())
            return;
        const relayed_ping pending_ping = std::move(position->second);
        m_relays.erase(position);
        result.messages.push_back(make_message(protocol::datagram_kind::ack, pending_ping.origin_vm,
                                               pending_ping.origin_address,
                                               pending_ping.origin_sequence, vm));
    }

    void relay_ping(const protocol::datagram& message, swim_output& result)
    {
        if (m_relays.size() >= max_relays || message.target_address.empty())
            return;
        const std::uint64_t sequence = next_sequence();
        m_relays[sequence] =
            relayed_ping{message.sender.address, message.sender.vm, message.sequence,
                         m_clock.now() + m_options.protocol_period};
        result.messages.push_back(make_message(protocol::datagram_kind::ping, message.target,
                                               message.target_address, sequence, message.target));
    }

    void merge(const protocol::member_record& record, swim_output& result)
    {
        constexpr std::size_t max_text_bytes = 64;
        if (record.vm.empty() || record.vm.size() > max_text_bytes ||
            record.data_centre.size() > max_text_bytes || record.address.size() > max_text_bytes)
            return;
        if (record.vm == m_self.vm)
        {
            merge_self(record, result);
            return;
        }
        const auto position = m_members.find(record.vm);
        if (position == m_members.end())
        {
            // A failed member that was removed here is not added again, or its record would
            // circulate for ever.
            if (!is_live(record) || m_members.size() >= max_members)
                return;
            m_members[record.vm] = tracked_member{record, m_clock.now()};
        }
        else if (record.supersedes(position->second.record))
        {
            protocol::member_record& current = position->second.record;
            const bool is_unchanged =
                record.incarnation == current.incarnation && record.state == current.state;
            const std::uint64_t configuration_version =
                record.incarnation == current.incarnation
                    ? std::max(record.configuration_version, current.configuration_version)
                    : record.configuration_version;
            current = record;
            current.configuration_version = configuration_version;
            // A suspicion with a new epoch gets its full time.
            position->second.updated_at = m_clock.now();
            m_queue.add(current, retransmission_limit());
            if (!is_unchanged)
                result.changed_members.push_back(current);
            if (is_live(record))
                fail_replaced_members(record, result);
            return;
        }
        else
        {
            merge_configuration_version(position->second.record, record);
            return;
        }
        m_queue.add(record, retransmission_limit());
        result.changed_members.push_back(record);
        fail_replaced_members(record, result);
    }

    void merge_configuration_version(protocol::member_record& current,
                                     const protocol::member_record& record)
    {
        if (current.incarnation != record.incarnation ||
            current.configuration_version >= record.configuration_version)
            return;
        current.configuration_version = record.configuration_version;
        m_queue.add(current, configuration_retransmissions);
    }

    // Marks members as failed whose address now belongs to `owner`, which started later.
    void fail_replaced_members(const protocol::member_record& owner, swim_output& result)
    {
        for (auto& [vm, member] : m_members)
            if (vm != owner.vm && member.record.address == owner.address &&
                is_live(member.record) && member.record.incarnation < owner.incarnation)
                set_state(member, protocol::member_state::failed, result);
    }

    void merge_self(const protocol::member_record& record, swim_output& result)
    {
        if (record.incarnation < m_self.incarnation)
            return;
        if (record.incarnation > m_self.incarnation)
        {
            if (record.address != m_self.address)
            {
                result.is_name_taken = true;
                return;
            }
            // The wall clock was set back between two starts at this address.
            m_self.incarnation = record.incarnation + 1;
        }
        else if (record.epoch < m_self.epoch ||
                 (record.epoch == m_self.epoch && record.state == alive))
            return;
        else
            m_self.epoch = record.epoch + 1;
        m_queue.add(m_self, retransmission_limit());
    }

    void merge_register(const protocol::register_item& item, const std::string& holder,
                        swim_output& result)
    {
        switch (m_registers.merge(item))
        {
        case register_table::merge_result::adopted:
            m_queue.add(item, retransmission_limit());
            result.adopted_registers.push_back(item);
            break;
        case register_table::merge_result::needs_fetch:
            result.register_fetches.push_back({item.key, item.version, holder});
            break;
        case register_table::merge_result::ignored:
            break;
        }
    }

    // Pushes adopted registers to some members of this data centre, where they must arrive sooner
    // than the next probes would carry them.
    void push_adopted(swim_output& result)
    {
        if (result.adopted_registers.empty())
            return;
        const auto receivers = pick_live(m_options.eager_pushes, [&](const auto& record)
                                         { return record.data_centre == m_self.data_centre; });
        for (const std::string& vm : receivers)
        {
            outgoing_datagram push_message =
                make_message(protocol::datagram_kind::push, vm, m_members.at(vm).record.address,
                             next_sequence());
            // The adopted registers replace what make_message() added.
            push_message.message.members.clear();
            push_message.message.registers.clear();
            std::size_t budget = free_bytes(push_message.message);
            for (const protocol::register_item& item : result.adopted_registers)
                budget = append(push_message.message.registers, to_wire(item), budget);
            result.messages.push_back(std::move(push_message));
        }
    }

    const Clock& m_clock;
    Random& m_random;
    const swim_options m_options;
    protocol::member_record m_self;
    // All known members except this one. At most max_members.
    std::map<std::string, tracked_member> m_members;
    register_table m_registers;
    broadcast_queue m_queue;
    std::set<std::string> m_seeds;
    // Members that are still to be probed in this round, the next one last.
    std::vector<std::string> m_probe_order;
    std::optional<probe> m_probe;
    // By the sequence number of the relayed ping. At most max_relays.
    std::map<std::uint64_t, relayed_ping> m_relays;
    std::uint64_t m_last_sequence = 0;
    base::time_point m_last_tick{};
    base::time_point m_next_period{};
    base::time_point m_next_rejoin{};
};

} // namespace ospreystair::membership

#endif
