// HTTP form of sub-requests and replies.

#include "query/upstream_client.hpp"

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <set>
#include <utility>

#include <fmt/format.h>
#include <json/json.h>

#include "base/number.hpp"
#include "http/string_views.hpp"

namespace ospreystair::query
{

namespace asio = http::asio;

namespace
{

std::shared_ptr<const http::request> make_search_request(const configuration::replica& target,
                                                         const sub_request& message,
                                                         base::time_point deadline)
{
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        deadline - std::chrono::steady_clock::now());
    auto result = std::make_shared<http::request>(http::verb::post, "/v1/search", 11);
    result->set(http::field::host, target.address.to_text());
    result->set("X-Request-Id", message.request_id);
    result->set("X-Sub-Request", std::to_string(message.number));
    result->set("X-Shard", message.shard);
    result->set("X-Index-Version", std::to_string(message.index_version));
    result->set("X-Deadline-Ms", std::to_string(std::max<std::int64_t>(left.count(), 1)));
    result->body() = *message.body;
    result->prepare_payload();
    return result;
}

sub_result to_result(base::error_kind kind)
{
    switch (kind)
    {
    case base::error_kind::timeout:
        return sub_result::timeout;
    case base::error_kind::cancelled:
        return sub_result::cancelled;
    case base::error_kind::overloaded:
        return sub_result::overloaded;
    case base::error_kind::protocol:
        return sub_result::failed;
    default:
        return sub_result::unreachable;
    }
}

sub_reply make_failure(sub_result result, base::error_kind kind, std::string message)
{
    return {result, {}, {kind, std::move(message)}};
}

template<class Message>
std::string_view header(const Message& message, std::string_view name)
{
    return http::to_view(message[http::to_beast(name)]);
}

bool repeats_ids(const http::request& message, const http::response& reply)
{
    constexpr std::array<std::string_view, 3> id_fields{"X-Request-Id", "X-Sub-Request", "X-Shard"};
    return std::all_of(id_fields.begin(), id_fields.end(),
                       [&](std::string_view name)
                       { return header(reply, name) == header(message, name); });
}

// Each answer is inserted unchanged into the document for the caller, so an answer that is not JSON
// would make the whole document invalid.
std::optional<Json::Value> parse_answer(const std::string& body)
{
    const auto make_reader = []
    {
        // Bounds the stack depth that a malicious or faulty replica can cause.
        constexpr int max_depth = 128;
        Json::CharReaderBuilder builder;
        Json::CharReaderBuilder::strictMode(&builder.settings_);
        builder["strictRoot"] = false;
        builder["stackLimit"] = max_depth;
        return std::unique_ptr<Json::CharReader>(builder.newCharReader());
    };
    // Creating a reader takes several times as long as parsing a small answer.
    thread_local const std::unique_ptr<Json::CharReader> reader = make_reader();
    Json::Value value;
    std::string ignored;
    try
    {
        if (reader->parse(body.data(), body.data() + body.size(), &value, &ignored))
            return value;
    }
    catch (const Json::Exception&)
    {
        // Nested more deeply than max_depth.
    }
    return std::nullopt;
}

} // namespace

std::optional<double> find_request_limit(const http::response& reply)
{
    return base::parse_amount(header(reply, "X-Request-Limit"));
}

upstream_client::upstream_client(asio::io_context& context, observe::metrics& metrics)
    : m_context(context),
      m_wrong_version_count(metrics.find_counter("ospreystair_replies_wrong_version_total")),
      m_mismatched_count(metrics.find_counter("ospreystair_replies_mismatched_total"))
{
}

void upstream_client::apply(const configuration::view& view,
                            const connection_limit_function& connection_limit)
{
    std::set<std::string> configured_names;
    for (const auto& [service_name, service] : view.configuration.services)
        for (const configuration::shard& shard : service.shards)
            for (const configuration::replica& replica : shard.replicas)
            {
                configured_names.insert(replica.name);
                const std::size_t limit = connection_limit(replica);
                const auto make_entry = [&]
                {
                    return pool_entry{
                        replica.address,
                        connection_pool::create(
                            m_context,
                            http::make_endpoint(replica.address.host, replica.address.port),
                            limit)};
                };
                const bool is_draining = view.draining.contains(replica.name);
                m_pools.update(replica.name, make_entry,
                               [&](pool_entry& entry)
                               {
                                   if (entry.address != replica.address)
                                   {
                                       entry.pool->close();
                                       entry = make_entry();
                                   }
                                   entry.pool->set_limit(limit);
                                   if (!is_draining)
                                       entry.pool->warm_up(
                                           std::min<std::size_t>(limit, replica.slots));
                               });
            }
    for (const auto& [name, entry] : m_pools.copy_all())
        if (!configured_names.contains(name))
        {
            entry.pool->close();
            m_pools.erase(name);
        }
}

std::shared_ptr<connection_pool> upstream_client::find_pool(const std::string& replica_name) const
{
    const auto entry = m_pools.find(replica_name);
    return entry ? entry->pool : nullptr;
}

http::awaitable<sub_reply> upstream_client::send(const configuration::replica& target,
                                                 const sub_request& message,
                                                 base::time_point deadline,
                                                 std::shared_ptr<cancellation> cancel)
{
    const std::shared_ptr<connection_pool> pool = find_pool(target.name);
    if (!pool)
        co_return make_failure(
            sub_result::unreachable, base::error_kind::not_found,
            fmt::format("replica \"{}\" is not in the configuration any more; try again",
                        target.name));
    upstream_exchange ended;
    // A connection that cannot be used is closed, and the pool gives another one.
    while (ended.progress == http::exchange_progress::nothing_sent)
    {
        base::error reason;
        auto connection = co_await pool->acquire(deadline, cancel, reason);
        if (!connection)
        {
            sub_reply refused = make_failure(to_result(reason.kind), reason.kind, reason.message);
            refused.is_unsent = refused.result == sub_result::unreachable;
            co_return refused;
        }
        if (cancel->is_cancelled())
        {
            pool->release(std::move(*connection));
            co_return make_failure(sub_result::cancelled, base::error_kind::cancelled, {});
        }
        // Upstreams cancel a request when its connection is closed. Closing also keeps a late reply
        // from being read as the reply to the next request on this connection.
        cancel->on_cancel([active = *connection] { active->close(); });
        ended = co_await exchange(*connection, make_search_request(target, message, deadline),
                                  deadline);
        cancel->on_cancel(nullptr);
        pool->release(std::move(*connection));
    }
    // A replica that reset one connection has most likely stopped. Each idle connection that turns
    // out to be dead later would cost another request an attempt.
    if (ended.reason.kind == base::error_kind::unreachable)
        pool->close_idle();
    if (ended.reply)
        co_return check_reply(message, *ended.reply);
    const sub_result result =
        ended.is_mismatched ? sub_result::mismatched : to_result(ended.reason.kind);
    co_return make_failure(cancel->is_cancelled() ? sub_result::cancelled : result,
                           ended.reason.kind, ended.reason.message);
}

http::awaitable<upstream_exchange>
upstream_client::exchange(connection_pointer connection,
                          std::shared_ptr<const http::request> message, base::time_point deadline)
{
    upstream_exchange result;
    result.reply = co_await connection->exchange(message, deadline, result.progress, result.reason);
    if (!result.reply || repeats_ids(*message, *result.reply))
        co_return result;
    m_mismatched_count.add();
    connection->close();
    result.reply.reset();
    result.is_mismatched = true;
    base::fail(result.reason, base::error_kind::protocol,
               "the reply does not repeat the ids of its request; it was dropped and the "
               "connection closed; see the replica's log");
    co_return result;
}

sub_reply upstream_client::check_reply(const sub_request& message, const http::response& reply)
{
    sub_reply result;
    switch (reply.result())
    {
    case http::status::ok:
        result = check_answer(message, reply);
        break;
    case http::status::conflict:
        result =
            make_failure(sub_result::version_not_held, base::error_kind::version_not_held,
                         fmt::format("the replica holds versions {} and not {}; query again",
                                     header(reply, "X-Index-Versions"), message.index_version));
        break;
    case http::status::misdirected_request:
        result = make_failure(sub_result::wrong_shard, base::error_kind::not_found,
                              fmt::format("the replica does not serve shard \"{}\"; correct the "
                                          "configuration",
                                          message.shard));
        break;
    case http::status::service_unavailable:
    case http::status::too_many_requests:
        result = make_failure(sub_result::overloaded, base::error_kind::overloaded,
                              "the replica shed the request; use another replica or come back");
        break;
    case http::status::gateway_timeout:
        result = make_failure(sub_result::timeout, base::error_kind::timeout,
                              "the replica dropped the request at its deadline; allow more time");
        break;
    default:
        result = make_failure(
            sub_result::failed, base::error_kind::protocol,
            fmt::format("the replica answered with status {}; see its log", reply.result_int()));
    }
    result.is_draining = header(reply, "X-Draining") == "true";
    result.is_complete = true;
    result.request_limit = find_request_limit(reply);
    return result;
}

sub_reply upstream_client::check_answer(const sub_request& message, const http::response& reply)
{
    if (header(reply, "X-Index-Version") != std::to_string(message.index_version))
    {
        m_wrong_version_count.add();
        return make_failure(sub_result::wrong_version, base::error_kind::version_not_held,
                            fmt::format("the reply is from index version {} instead of {}; it was "
                                        "dropped",
                                        header(reply, "X-Index-Version"), message.index_version));
    }
    const auto document = parse_answer(reply.body());
    if (!document)
        return make_failure(sub_result::failed, base::error_kind::protocol,
                            "the replica's answer is not JSON; see its log");
    // An upstream reports some failures as a successful reply with an "error" member.
    if (document->isObject() && document->isMember("error"))
        return make_failure(sub_result::failed, base::error_kind::protocol,
                            "the replica's answer holds an error; see its log");
    return {sub_result::answered, reply.body(), {}};
}

} // namespace ospreystair::query
