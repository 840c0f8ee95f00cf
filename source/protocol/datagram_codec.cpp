// MessagePack codec of datagrams.

#include "protocol/datagram_codec.hpp"

#include <exception>
#include <limits>

#include <fmt/format.h>

// Without this the library needs Boost headers that nothing else here uses.
#define MSGPACK_NO_BOOST
#include <msgpack.hpp>

namespace ospreystair::protocol
{

namespace
{

// Keys of a datagram.
constexpr std::string_view key_protocol = "p";
constexpr std::string_view key_kind = "k";
constexpr std::string_view key_sender = "f";
constexpr std::string_view key_sequence = "q";
constexpr std::string_view key_target = "t";
constexpr std::string_view key_target_address = "a";
constexpr std::string_view key_physical = "h";
constexpr std::string_view key_logical = "l";
constexpr std::string_view key_members = "m";
constexpr std::string_view key_registers = "r";
// Keys of a member record.
constexpr std::string_view key_vm = "v";
constexpr std::string_view key_data_centre = "d";
constexpr std::string_view key_address = "a";
constexpr std::string_view key_incarnation = "i";
constexpr std::string_view key_epoch = "e";
constexpr std::string_view key_state = "s";
constexpr std::string_view key_configuration = "c";
// Keys of a register.
constexpr std::string_view key_name = "k";
constexpr std::string_view key_version = "n";
constexpr std::string_view key_value = "v";

// Limits of the parser. The shortest register takes 7 bytes.
constexpr std::size_t max_array_items = 256;
constexpr std::size_t max_map_items = 64;
constexpr std::size_t max_depth = 6;

using packer = msgpack::packer<msgpack::sbuffer>;

void pack_text(packer& out, std::string_view text)
{
    out.pack_str(static_cast<std::uint32_t>(text.size()));
    out.pack_str_body(text.data(), static_cast<std::uint32_t>(text.size()));
}

void pack_field(packer& out, std::string_view key, std::string_view text)
{
    pack_text(out, key);
    pack_text(out, text);
}

void pack_field(packer& out, std::string_view key, std::uint64_t number)
{
    pack_text(out, key);
    out.pack_uint64(number);
}

// Fields with their default value are omitted to save bytes.
void pack_record(packer& out, const member_record& record)
{
    const bool has_epoch = record.epoch != 0;
    const bool has_state = record.state != member_state::alive;
    const bool has_configuration = record.configuration_version != 0;
    constexpr std::uint32_t mandatory_field_count = 4;
    out.pack_map(mandatory_field_count + (has_epoch ? 1 : 0) + (has_state ? 1 : 0) +
                 (has_configuration ? 1 : 0));
    pack_field(out, key_vm, record.vm);
    pack_field(out, key_data_centre, record.data_centre);
    pack_field(out, key_address, record.address);
    pack_field(out, key_incarnation, record.incarnation);
    if (has_epoch)
        pack_field(out, key_epoch, record.epoch);
    if (has_state)
        pack_field(out, key_state, static_cast<std::uint64_t>(record.state));
    if (has_configuration)
        pack_field(out, key_configuration, record.configuration_version);
}

void pack_register(packer& out, const register_item& item)
{
    out.pack_map(item.value ? 3 : 2);
    pack_field(out, key_name, item.key);
    pack_field(out, key_version, item.version);
    if (item.value)
        pack_field(out, key_value, *item.value);
}

std::string_view read_text(const msgpack::object& value)
{
    if (value.type != msgpack::type::STR)
        throw msgpack::type_error();
    return {value.via.str.ptr, value.via.str.size};
}

std::uint64_t read_number(const msgpack::object& value)
{
    if (value.type != msgpack::type::POSITIVE_INTEGER)
        throw msgpack::type_error();
    return value.via.u64;
}

// Calls `read(key, value)` for each field of a map.
template<class Read>
void read_map(const msgpack::object& value, Read read)
{
    if (value.type != msgpack::type::MAP)
        throw msgpack::type_error();
    for (std::uint32_t index = 0; index < value.via.map.size; ++index)
        read(read_text(value.via.map.ptr[index].key), value.via.map.ptr[index].val);
}

template<class Read>
void read_array(const msgpack::object& value, Read read)
{
    if (value.type != msgpack::type::ARRAY)
        throw msgpack::type_error();
    for (std::uint32_t index = 0; index < value.via.array.size; ++index)
        read(value.via.array.ptr[index]);
}

// Refuses a number without an enumerator, because a switch over the enumeration does not handle it.
template<class Enumeration>
Enumeration read_enumerator(const msgpack::object& value, Enumeration last)
{
    const std::uint64_t number = read_number(value);
    if (number > static_cast<std::uint64_t>(last))
        throw msgpack::type_error();
    return static_cast<Enumeration>(number);
}

member_record read_record(const msgpack::object& source)
{
    member_record record;
    read_map(source,
             [&](std::string_view key, const msgpack::object& value)
             {
                 if (key == key_vm)
                     record.vm = read_text(value);
                 else if (key == key_data_centre)
                     record.data_centre = read_text(value);
                 else if (key == key_address)
                     record.address = read_text(value);
                 else if (key == key_incarnation)
                     record.incarnation = read_number(value);
                 else if (key == key_epoch)
                     record.epoch = read_number(value);
                 else if (key == key_state)
                     record.state = read_enumerator(value, member_state::left);
                 else if (key == key_configuration)
                     record.configuration_version = read_number(value);
             });
    if (record.vm.empty() || record.address.empty())
        throw msgpack::type_error();
    return record;
}

register_item read_register(const msgpack::object& source)
{
    register_item item;
    read_map(source,
             [&](std::string_view key, const msgpack::object& value)
             {
                 if (key == key_name)
                     item.key = read_text(value);
                 else if (key == key_version)
                     item.version = read_number(value);
                 else if (key == key_value)
                     item.value = std::string(read_text(value));
             });
    return item;
}

void read_field(datagram& message, std::string_view key, const msgpack::object& value)
{
    if (key == key_kind)
        message.kind = read_enumerator(value, datagram_kind::push);
    else if (key == key_sender)
        message.sender = read_record(value);
    else if (key == key_sequence)
        message.sequence = read_number(value);
    else if (key == key_target)
        message.target = read_text(value);
    else if (key == key_target_address)
        message.target_address = read_text(value);
    else if (key == key_physical)
        message.stamp.physical = std::chrono::milliseconds{static_cast<std::int64_t>(
            read_number(value) & std::numeric_limits<std::int64_t>::max())};
    else if (key == key_logical)
        message.stamp.logical = static_cast<std::uint32_t>(read_number(value));
    else if (key == key_members)
        read_array(value, [&](const msgpack::object& item)
                   { message.members.push_back(read_record(item)); });
    else if (key == key_registers)
        read_array(value, [&](const msgpack::object& item)
                   { message.registers.push_back(read_register(item)); });
}

template<class Value, class Pack>
std::size_t packed_size(const Value& value, Pack pack)
{
    msgpack::sbuffer buffer;
    packer out(buffer);
    pack(out, value);
    return buffer.size();
}

} // namespace

std::string encode(const datagram& message)
{
    msgpack::sbuffer buffer;
    packer out(buffer);
    const bool has_target = !message.target.empty();
    const bool has_target_address = !message.target_address.empty();
    const bool has_members = !message.members.empty();
    const bool has_registers = !message.registers.empty();
    constexpr std::uint32_t mandatory_field_count = 6;
    out.pack_map(mandatory_field_count + (has_target ? 1 : 0) + (has_target_address ? 1 : 0) +
                 (has_members ? 1 : 0) + (has_registers ? 1 : 0));
    // The version comes first, so that a receiver can refuse the message whatever follows.
    pack_field(out, key_protocol, protocol_version);
    pack_field(out, key_kind, static_cast<std::uint64_t>(message.kind));
    pack_text(out, key_sender);
    pack_record(out, message.sender);
    pack_field(out, key_sequence, message.sequence);
    pack_field(out, key_physical, static_cast<std::uint64_t>(message.stamp.physical.count()));
    pack_field(out, key_logical, message.stamp.logical);
    if (has_target)
        pack_field(out, key_target, message.target);
    if (has_target_address)
        pack_field(out, key_target_address, message.target_address);
    if (has_members)
    {
        pack_text(out, key_members);
        out.pack_array(static_cast<std::uint32_t>(message.members.size()));
        for (const member_record& record : message.members)
            pack_record(out, record);
    }
    if (has_registers)
    {
        pack_text(out, key_registers);
        out.pack_array(static_cast<std::uint32_t>(message.registers.size()));
        for (const register_item& item : message.registers)
            pack_register(out, item);
    }
    return {buffer.data(), buffer.size()};
}

std::optional<datagram> decode(std::string_view bytes, base::error& reason)
{
    if (bytes.size() > max_datagram_bytes)
        return base::fail(reason, base::error_kind::protocol,
                          fmt::format("a datagram has {} bytes, more than {}; check the sender",
                                      bytes.size(), max_datagram_bytes));
    try
    {
        const msgpack::unpack_limit limit(max_array_items, max_map_items, max_datagram_bytes,
                                          max_datagram_bytes, max_datagram_bytes, max_depth);
        const msgpack::object_handle handle =
            msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr, limit);
        std::uint64_t version = 0;
        read_map(handle.get(),
                 [&](std::string_view key, const msgpack::object& value)
                 {
                     if (key == key_protocol)
                         version = read_number(value);
                 });
        if (version == 0 || version > protocol_version)
            return base::fail(reason, base::error_kind::protocol,
                              fmt::format("a datagram has protocol {}, this release speaks {}; "
                                          "upgrade the older agents first",
                                          version, protocol_version));
        datagram message;
        read_map(handle.get(), [&](std::string_view key, const msgpack::object& value)
                 { read_field(message, key, value); });
        if (message.sender.vm.empty())
            return base::fail(reason, base::error_kind::protocol,
                              "a datagram names no sender; check what sends to this port");
        return message;
    }
    catch (const std::exception& exception)
    {
        return base::fail(reason, base::error_kind::protocol,
                          fmt::format("a datagram is malformed: {}; check what sends to this port",
                                      exception.what()));
    }
}

std::size_t encoded_size(const member_record& record)
{
    return packed_size(record, pack_record);
}

std::size_t encoded_size(const register_item& item)
{
    return packed_size(item, pack_register);
}

} // namespace ospreystair::protocol
