// Sends sub-requests to replicas over HTTP/1.1 and checks that each reply matches its request.

#ifndef OSPREYSTAIR_QUERY_UPSTREAM_CLIENT_HPP
#define OSPREYSTAIR_QUERY_UPSTREAM_CLIENT_HPP

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "base/sharded_map.hpp"
#include "configuration/view.hpp"
#include "observe/metrics.hpp"
#include "query/connection_pool.hpp"
#include "query/sub_request.hpp"

namespace ospreystair::query
{

/// Returns the requests a second that the replica takes from all VMs together, as its reply names
/// them; empty when it names none or the text is no number.
std::optional<double> find_request_limit(const http::response& reply);

/// How an exchange with a replica ended.
struct upstream_exchange
{
    /// A complete reply to this request; empty when none arrived.
    std::optional<http::response> reply;
    http::exchange_progress progress = http::exchange_progress::nothing_sent;
    /// A complete reply arrived and did not repeat the ids of the request, which may have run.
    bool is_mismatched = false;
    /// Set when there is no reply.
    base::error reason;
};

/// Owns the connection pools of all replicas. Thread-safe.
class upstream_client
{
public:
    /// Returns how many connections this VM may open to a replica.
    using connection_limit_function = std::function<std::size_t(const configuration::replica&)>;

    upstream_client(http::asio::io_context& context, observe::metrics& metrics);

    /// Creates pools for new replicas, closes those of removed ones and adjusts limits.
    void apply(const configuration::view& view, const connection_limit_function& connection_limit);

    /// Sends one sub-request. Completes with `cancelled` soon after `cancel->cancel()`.
    /// Call it on the strand of `cancel`.
    http::awaitable<sub_reply> send(const configuration::replica& target,
                                    const sub_request& message, base::time_point deadline,
                                    std::shared_ptr<cancellation> cancel);

    /// Sends a request to a replica and reads its reply. Replicas repeat the ids of a request in
    /// each reply, refusals too. A reply that does not may be a late second reply to an earlier
    /// request: it is dropped, and the connection closed, because the replies that follow would be
    /// taken for those to the wrong requests. The connection still belongs to the calling code.
    http::awaitable<upstream_exchange> exchange(connection_pointer connection,
                                                std::shared_ptr<const http::request> message,
                                                base::time_point deadline);

    /// Returns the pool of a replica; null when the last applied view does not contain it.
    std::shared_ptr<connection_pool> find_pool(const std::string& replica_name) const;

private:
    struct pool_entry
    {
        settings::socket_address address;
        std::shared_ptr<connection_pool> pool;
    };

    sub_reply check_reply(const sub_request& message, const http::response& reply);
    sub_reply check_answer(const sub_request& message, const http::response& reply);

    http::asio::io_context& m_context;
    base::sharded_map<std::string, pool_entry> m_pools;
    observe::counter& m_wrong_version_count;
    observe::counter& m_mismatched_count;
};

} // namespace ospreystair::query

#endif
