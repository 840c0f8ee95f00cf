// A request to one replica, its reply and its cancellation.

#ifndef OSPREYSTAIR_QUERY_SUB_REQUEST_HPP
#define OSPREYSTAIR_QUERY_SUB_REQUEST_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "base/error.hpp"

namespace ospreystair::query
{

/// The result of a sub-request.
enum class sub_result
{
    answered,
    timeout,
    unreachable,
    overloaded,       ///< The replica shed the request and did not run it.
    version_not_held, ///< The replica no longer holds the pinned version.
    wrong_version,    ///< The reply came from another version than asked for.
    wrong_shard,      ///< The replica does not serve the shard.
    mismatched,       ///< The reply does not repeat the request's ids.
    failed,           ///< The replica answered with an error.
    no_replica,       ///< No usable replica.
    cancelled         ///< Cancelled here: another attempt answered, or the query ended.
};

std::string_view to_string(sub_result result);

/// An idempotent request to one shard at one index version.
struct sub_request
{
    std::string request_id;
    /// Unique within the request, also when its query restarts on a newer index version.
    std::uint32_t number = 0;
    std::string shard;
    std::uint64_t index_version = 0;
    std::shared_ptr<const std::string> body;
};

/// The outcome of one attempt.
struct sub_reply
{
    sub_reply() = default;
    sub_reply(sub_result outcome, std::string answer, base::error cause)
        : result(outcome), body(std::move(answer)), reason(std::move(cause))
    {
    }

    sub_result result = sub_result::cancelled;
    /// The JSON text of the answer.
    std::string body;
    /// The replica reported that it is draining.
    bool is_draining = false;
    /// Whether a whole reply arrived, so that `request_limit` is up to date.
    bool is_complete = false;
    /// Requests a second that the replica takes from all VMs together; empty when it names no
    /// limit.
    std::optional<double> request_limit;
    /// There was no connection to the replica: no byte was sent, so the attempt caused no load on
    /// the upstream.
    bool is_unsent = false;
    base::error reason;
};

/// Cancels an attempt. Used on one strand.
class cancellation
{
public:
    void cancel()
    {
        m_is_cancelled = true;
        if (auto action = std::exchange(m_action, nullptr))
            action();
    }
    bool is_cancelled() const { return m_is_cancelled; }
    /// Sets the function that cancel() calls, replacing the previous one.
    void on_cancel(std::function<void()> action) { m_action = std::move(action); }

private:
    bool m_is_cancelled = false;
    std::function<void()> m_action;
};

} // namespace ospreystair::query

#endif
