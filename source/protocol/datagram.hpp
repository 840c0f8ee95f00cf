// Messages that agents send each other as UDP datagrams.

#ifndef OSPREYSTAIR_PROTOCOL_DATAGRAM_HPP
#define OSPREYSTAIR_PROTOCOL_DATAGRAM_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "base/error.hpp"
#include "observe/hybrid_clock.hpp"

namespace ospreystair::protocol
{

/// Major version of the protocol of this release. A receiver refuses higher versions.
constexpr std::uint64_t protocol_version = 1;
/// Fits into an Ethernet frame with space for tunnel headers, so that a datagram is never
/// fragmented.
constexpr std::size_t max_datagram_bytes = 1200;

/// In ascending precedence: of two records that are otherwise equal, the one with the later
/// enumerator supersedes the other.
enum class member_state : std::uint8_t
{
    alive,
    suspect, ///< Did not answer; counts as live until the suspicion times out.
    failed,
    left ///< Announced that it stops.
};

std::string_view to_string(member_state state);

/// State of one VM's agent, as another agent knows it.
struct member_record
{
    std::string vm;
    std::string data_centre;
    /// Control address `ip:port`, for datagrams and JSON-RPC.
    std::string address;
    /// Start time of the agent in ms since the Unix epoch.
    std::uint64_t incarnation = 0;
    /// Incremented by the member itself to refute a suspicion within its incarnation.
    std::uint64_t epoch = 0;
    member_state state = member_state::alive;
    std::uint64_t configuration_version = 0;

    bool operator==(const member_record&) const = default;

    /// Whether this record replaces `other`. The order is total, so that all agents converge on the
    /// same record whatever the order of arrival.
    bool supersedes(const member_record& other) const
    {
        return std::tie(incarnation, epoch, state) >
               std::tie(other.incarnation, other.epoch, other.state);
    }
};

/// A versioned register. Without a value it only announces that the version exists.
struct register_item
{
    std::string key;
    std::uint64_t version = 0;
    std::optional<std::string> value;

    bool operator==(const register_item&) const = default;
};

enum class datagram_kind : std::uint8_t
{
    ping,         ///< Asks for an ack.
    ack,          ///< Answers a ping; `sequence` is the ping's.
    ping_request, ///< Asks the receiver to ping `target` and to forward its ack.
    push          ///< Contains registers only; not answered.
};

struct datagram
{
    datagram_kind kind = datagram_kind::ping;
    member_record sender;
    std::uint64_t sequence = 0;
    /// Name of the VM to probe; empty when only its address is known.
    std::string target;
    /// Address of the VM to probe, in a ping_request.
    std::string target_address;
    observe::stamp stamp;
    std::vector<member_record> members;
    std::vector<register_item> registers;

    bool operator==(const datagram&) const = default;
};

} // namespace ospreystair::protocol

#endif
