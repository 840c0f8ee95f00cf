// MessagePack encoding of datagrams: maps with one-letter keys, because control traffic is limited
// to 3 KB/s per node. A receiver ignores keys that it does not know.

#ifndef OSPREYSTAIR_PROTOCOL_DATAGRAM_CODEC_HPP
#define OSPREYSTAIR_PROTOCOL_DATAGRAM_CODEC_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "base/error.hpp"
#include "protocol/datagram.hpp"

namespace ospreystair::protocol
{

/// Encodes a message. The sender limits the message to max_datagram_bytes by means of
/// encoded_size().
std::string encode(const datagram& message);

/// Decodes a message; fails with protocol. Never throws, and allocates at most a few times
/// max_datagram_bytes whatever the input is.
std::optional<datagram> decode(std::string_view bytes, base::error& reason);

/// Number of bytes that a record or register adds to a message.
std::size_t encoded_size(const member_record& record);
std::size_t encoded_size(const register_item& item);

} // namespace ospreystair::protocol

#endif
