// Behaviour of a route: faults and delays of the data that it forwards. "Forward" is the direction
// from client to target.
//
//     POST /control {"routes":["127.0.0.1:9000","udp:127.0.0.1:9001"] or "all","set":{
//       "mode":"<route_mode>","delay_forward_ms":10,"delay_backward_ms":10,
//       "bytes_per_second":100000,                      per direction; 0 is no limit
//       "loss_forward":0.1,"loss_backward":0.1,         probability (0 to 1) per datagram, UDP only
//       "lose_reply":{"after_bytes":0,"count":1}|null}} TCP only
//
// lose_reply resets a connection when its target has sent more than `after_bytes` since the fault
// was set; the bytes beyond the limit are not forwarded.

#ifndef OSPREYSTAIR_STANDINS_FAULT_PROXY_ROUTE_BEHAVIOUR_HPP
#define OSPREYSTAIR_STANDINS_FAULT_PROXY_ROUTE_BEHAVIOUR_HPP

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include <json/json.h>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "base/random.hpp"

namespace ospreystair::fault_proxy
{

enum class direction
{
    forward,
    backward
};

enum class route_mode
{
    pass,
    cut,           ///< Resets open connections and refuses new ones.
    refuse_new,    ///< Refuses new connections; open ones work on.
    freeze,        ///< Keeps connections open and forwards nothing until the mode changes.
    drop_forward,  ///< Discards what the client sends.
    drop_backward, ///< Discards what the target sends.
    half_open      ///< The connection to the target is closed without notice to the client.
};

/// The changeable state of one route. Not thread-safe.
class route_behaviour
{
public:
    /// Applies a `set` document as a whole or not at all. Fails with invalid_argument.
    std::optional<bool> apply(const Json::Value& change, base::error& reason);

    route_mode mode() const { return m_mode; }
    bool is_frozen() const { return m_mode == route_mode::freeze; }
    bool discards(direction way) const
    {
        return (m_mode == route_mode::drop_forward && way == direction::forward) ||
               (m_mode == route_mode::drop_backward && way == direction::backward);
    }

    /// Returns when `size` bytes that arrived at `now` may be sent.
    /// Successive times of one direction never decrease, so that the order of bytes is kept.
    /// `previous` is the time returned for the preceding bytes.
    base::time_point due_time(direction way, base::time_point now, base::time_point previous,
                              std::size_t size) const;

    /// Whether a datagram is lost, because of the mode or at random.
    template<base::random_source Random>
    bool loses_datagram(direction way, Random& random) const
    {
        if (m_mode != route_mode::pass && !(is_one_way() && !discards(way)))
            return true;
        constexpr std::uint64_t resolution = 1'000'000;
        return static_cast<double>(random.below(resolution)) < m_loss[index(way)] * resolution;
    }

    /// The number of reply bytes after which a connection is closed, while replies are being lost.
    std::optional<std::uint64_t> reply_limit() const
    {
        return m_replies_to_lose == 0 ? std::nullopt : m_reply_limit;
    }
    /// Decrements the number of replies still to be lost, unless it is unlimited.
    void count_lost_reply()
    {
        if (m_replies_to_lose != 0 && m_replies_to_lose != unlimited)
            --m_replies_to_lose;
    }

private:
    static constexpr std::uint64_t unlimited = UINT64_MAX;

    static std::size_t index(direction way) { return way == direction::forward ? 0 : 1; }
    bool is_one_way() const
    {
        return m_mode == route_mode::drop_forward || m_mode == route_mode::drop_backward;
    }
    bool apply_member(const std::string& name, const Json::Value& value);
    bool apply_mode(const Json::Value& value);
    bool apply_lose_reply(const Json::Value& value);

    route_mode m_mode = route_mode::pass;
    std::array<base::duration, 2> m_delay{};
    std::array<double, 2> m_loss{};
    // Per direction; 0 is no limit.
    double m_bytes_per_second = 0;
    std::optional<std::uint64_t> m_reply_limit;
    std::uint64_t m_replies_to_lose = 0;
};

} // namespace ospreystair::fault_proxy

#endif
