// Mapping of object store calls to HTTP requests, and of answers and failures to results.

#include "objects/http_object_store.hpp"

#include <charconv>

#include <fmt/format.h>
#include <json/json.h>

#include "http/target.hpp"

namespace ospreystair::objects
{

namespace
{

constexpr std::string_view objects_path = "/v1/objects";

// Keys are paths.
constexpr std::string_view unescaped_in_keys = "/";

std::string object_target(const std::string& key)
{
    return fmt::format("{}/{}", objects_path, http::percent_encode(key, unescaped_in_keys));
}

std::optional<std::uint64_t> parse_version(const http::response& reply)
{
    const auto tag = reply[http::field::etag];
    std::uint64_t version = 0;
    if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"')
        return std::nullopt;
    const char* const end = tag.data() + tag.size() - 1;
    const auto parsed = std::from_chars(tag.data() + 1, end, version);
    if (parsed.ec != std::errc{} || parsed.ptr != end || version == 0)
        return std::nullopt;
    return version;
}

std::optional<std::chrono::milliseconds> parse_retry_after(const http::response& reply)
{
    const auto text = reply[http::field::retry_after];
    constexpr unsigned max_seconds = 3'600;
    unsigned seconds = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (parsed.ec != std::errc{} || seconds > max_seconds)
        return std::nullopt;
    return std::chrono::seconds{seconds};
}

// Converts an unexpected answer to an error.
std::nullopt_t fail_with(const http::response& reply, base::error& reason)
{
    using http::status;
    switch (reply.result())
    {
    case status::not_found:
        return base::fail(reason, base::error_kind::not_found, "the platform has no such object");
    case status::too_many_requests:
        return base::fail(reason, base::error_kind::overloaded,
                          "the platform's call rate is exceeded; call less often",
                          parse_retry_after(reply));
    case status::service_unavailable:
        return base::fail(reason, base::error_kind::unreachable,
                          "the platform is not available; try again later",
                          parse_retry_after(reply));
    default:
        return base::fail(reason, base::error_kind::protocol,
                          fmt::format("the platform answered {}; check that both sides speak the "
                                      "same version of its interface",
                                      reply.result_int()));
    }
}

std::nullopt_t fail_malformed(base::error& reason)
{
    return base::fail(reason, base::error_kind::protocol,
                      "the platform's answer has another form than documented; check its address");
}

std::optional<stored_object> parse_object(http::response& reply, base::error& reason)
{
    const auto version = parse_version(reply);
    if (!version)
        return fail_malformed(reason);
    return stored_object{std::move(reply.body()), *version};
}

std::optional<Json::Value> parse_array(const std::string& text, const char* member,
                                       base::error& reason)
{
    Json::Value root;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    std::string message;
    bool is_parsed = false;
    try
    {
        is_parsed = reader->parse(text.data(), text.data() + text.size(), &root, &message);
    }
    catch (const Json::Exception&)
    {
        is_parsed = false;
    }
    if (!is_parsed || !root.isObject() || !root[member].isArray())
        return fail_malformed(reason);
    return root[member];
}

std::string text_member(const Json::Value& item, const char* name)
{
    return item.isObject() && item[name].isString() ? item[name].asString() : std::string();
}

std::optional<listed_object> read_listed_object(const Json::Value& item)
{
    std::string key = text_member(item, "key");
    if (key.empty() || !item["version"].isUInt64())
        return std::nullopt;
    return listed_object{std::move(key), item["version"].asUInt64()};
}

std::optional<vm_entry> read_vm_entry(const Json::Value& item)
{
    vm_entry entry{text_member(item, "vm"), text_member(item, "data_centre"),
                   text_member(item, "address"), text_member(item, "state") == "leaving"};
    if (entry.vm.empty())
        return std::nullopt;
    return entry;
}

// Parses the array `member` of a reply. Not a coroutine, so that items may be brace-initialised
// aggregates.
template<class Item>
std::optional<std::vector<Item>> read_items(const http::response& reply, const char* member,
                                            std::optional<Item> (*read_item)(const Json::Value&),
                                            base::error& reason)
{
    if (reply.result() != http::status::ok)
        return fail_with(reply, reason);
    const auto items = parse_array(reply.body(), member, reason);
    if (!items)
        return std::nullopt;
    std::vector<Item> result;
    for (const Json::Value& item : *items)
    {
        auto value = read_item(item);
        if (!value)
            return fail_malformed(reason);
        result.push_back(std::move(*value));
    }
    return result;
}

} // namespace

http_object_store::http_object_store(http::asio::io_context& context,
                                     std::vector<http::tcp::endpoint> addresses)
    : m_context(context), m_addresses(std::move(addresses))
{
}

std::optional<std::unique_ptr<http_object_store>>
http_object_store::create(http::asio::io_context& context,
                          const std::vector<settings::socket_address>& addresses,
                          base::error& reason)
{
    if (addresses.empty())
        return base::fail(reason, base::error_kind::invalid_settings,
                          "no platform address is set; give at least one ip:port");
    std::vector<http::tcp::endpoint> endpoints;
    for (const settings::socket_address& address : addresses)
        endpoints.push_back(http::make_endpoint(address.host, address.port));
    return std::unique_ptr<http_object_store>(new http_object_store(context, std::move(endpoints)));
}

http::awaitable<std::optional<stored_object>>
http_object_store::read(std::string key, base::time_point deadline, base::error& reason)
{
    http::request message = make_request(http::verb::get, object_target(key));
    http::exchange_progress progress{};
    auto reply = co_await call(std::move(message), deadline, progress, reason);
    if (!reply)
        co_return std::nullopt;
    if (reply->result() != http::status::ok)
        co_return fail_with(*reply, reason);
    co_return parse_object(*reply, reason);
}

http::awaitable<write_status>
http_object_store::write(std::string key, std::string value, std::uint64_t expected_version,
                         base::time_point deadline, std::uint64_t& new_version, base::error& reason)
{
    if (value.size() > max_value_bytes)
    {
        base::fail(reason, base::error_kind::invalid_argument,
                   fmt::format("the value of {} has {} bytes; the platform stores at most {}", key,
                               value.size(), max_value_bytes));
        co_return write_status::refused;
    }
    http::request message = make_request(http::verb::put, object_target(key));
    if (expected_version == 0)
        message.set(http::field::if_none_match, "*");
    else
        message.set(http::field::if_match, fmt::format("\"{}\"", expected_version));
    message.body() = std::move(value);
    message.prepare_payload();
    co_return co_await send_write(std::move(message), deadline, new_version, reason);
}

http::awaitable<write_status> http_object_store::erase(std::string key,
                                                       std::uint64_t expected_version,
                                                       base::time_point deadline,
                                                       base::error& reason)
{
    http::request message = make_request(http::verb::delete_, object_target(key));
    message.set(http::field::if_match, fmt::format("\"{}\"", expected_version));
    std::uint64_t ignored = 0;
    co_return co_await send_write(std::move(message), deadline, ignored, reason);
}

http::awaitable<std::optional<watch_result>>
http_object_store::watch(std::string key, std::uint64_t after_version,
                         std::chrono::milliseconds wait, base::error& reason)
{
    http::request message =
        make_request(http::verb::get, fmt::format("{}?after={}&wait_ms={}", object_target(key),
                                                  after_version, wait.count()));
    const base::time_point deadline = std::chrono::steady_clock::now() + wait + watch_grace;
    http::exchange_progress progress{};
    auto reply = co_await call(std::move(message), deadline, progress, reason);
    if (!reply)
        co_return std::nullopt;
    if (reply->result() == http::status::not_modified)
        co_return watch_result{};
    if (reply->result() != http::status::ok)
        co_return fail_with(*reply, reason);
    auto object = parse_object(*reply, reason);
    if (!object)
        co_return std::nullopt;
    co_return watch_result(std::move(*object));
}

http::awaitable<std::optional<std::vector<listed_object>>>
http_object_store::list(std::string prefix, base::time_point deadline, base::error& reason)
{
    http::request message =
        make_request(http::verb::get, fmt::format("{}?prefix={}", objects_path,
                                                  http::percent_encode(prefix, unescaped_in_keys)));
    http::exchange_progress progress{};
    auto reply = co_await call(std::move(message), deadline, progress, reason);
    if (!reply)
        co_return std::nullopt;
    co_return read_items(*reply, "objects", read_listed_object, reason);
}

http::awaitable<std::optional<std::vector<vm_entry>>>
http_object_store::list_vms(base::time_point deadline, base::error& reason)
{
    http::request message = make_request(http::verb::get, "/v1/vms");
    http::exchange_progress progress{};
    auto reply = co_await call(std::move(message), deadline, progress, reason);
    if (!reply)
        co_return std::nullopt;
    co_return read_items(*reply, "vms", read_vm_entry, reason);
}

http::awaitable<std::optional<http::response>>
http_object_store::call(http::request message, base::time_point deadline,
                        http::exchange_progress& progress, base::error& reason)
{
    progress = http::exchange_progress::nothing_sent;
    const bool is_read = message.method() == http::verb::get;
    const auto shared_message = std::make_shared<const http::request>(std::move(message));
    connection_pointer connection = take_idle_connection();
    const bool is_reused = connection != nullptr;
    if (!connection)
        connection = co_await connect(deadline, reason);
    if (!connection)
        co_return std::nullopt;
    auto reply = co_await connection->exchange(shared_message, deadline, progress, reason);
    // The platform may have closed the idle connection meanwhile, or sent a reply a second time. A
    // read can be sent again, because it changes nothing; a write only if nothing of it was sent.
    const bool may_send_again = is_read || progress == http::exchange_progress::nothing_sent;
    if (!reply && is_reused && may_send_again && reason.kind == base::error_kind::unreachable)
    {
        connection = co_await connect(deadline, reason);
        if (!connection)
            co_return std::nullopt;
        reply = co_await connection->exchange(shared_message, deadline, progress, reason);
    }
    if (reply)
        return_connection(connection);
    co_return reply;
}

http::awaitable<http_object_store::connection_pointer>
http_object_store::connect(base::time_point deadline, base::error& reason)
{
    connection_pointer result;
    const std::size_t first_index = m_preferred_index.load();
    for (std::size_t attempt = 0; !result && attempt < m_addresses.size(); ++attempt)
    {
        // Splits the remaining time, so that the other addresses can be tried if one does not
        // respond.
        const auto now = std::chrono::steady_clock::now();
        const auto timeout = (deadline - now) / static_cast<int>(m_addresses.size() - attempt);
        const std::size_t index = (first_index + attempt) % m_addresses.size();
        const auto opened = co_await http::client_connection::connect(
            m_context, m_addresses[index], now + timeout, reason, http::stray_bytes::refuse);
        if (!opened)
            continue;
        m_preferred_index.store(index);
        result = *opened;
    }
    co_return result;
}

http::awaitable<write_status> http_object_store::send_write(http::request message,
                                                            base::time_point deadline,
                                                            std::uint64_t& new_version,
                                                            base::error& reason)
{
    const bool is_deletion = message.method() == http::verb::delete_;
    http::exchange_progress progress{};
    auto reply = co_await call(std::move(message), deadline, progress, reason);
    if (!reply && progress == http::exchange_progress::nothing_sent)
        co_return write_status::refused;
    if (!reply)
    {
        const std::string cause = std::move(reason.message);
        base::fail(reason, base::error_kind::outcome_unknown,
                   fmt::format("the answer to a write was lost ({}); read the object back", cause));
        co_return write_status::unknown;
    }
    const auto version = parse_version(*reply);
    if (reply->result() == http::status::ok && (version || is_deletion))
    {
        new_version = version.value_or(0);
        co_return write_status::applied;
    }
    if (reply->result() == http::status::precondition_failed)
    {
        base::fail(reason, base::error_kind::conflict,
                   "the object has another version; read it and decide again");
        co_return write_status::conflict;
    }
    fail_with(*reply, reason);
    const bool is_refusal = http::beast::http::to_status_class(reply->result()) ==
                                http::beast::http::status_class::client_error ||
                            reply->result() == http::status::service_unavailable;
    if (is_refusal)
        co_return write_status::refused;
    reason.kind = base::error_kind::outcome_unknown;
    co_return write_status::unknown;
}

http::request http_object_store::make_request(http::verb method, const std::string& target) const
{
    http::request message(method, target, 11);
    message.set(http::field::host, "platform");
    return message;
}

http_object_store::connection_pointer http_object_store::take_idle_connection()
{
    const base::time_point min_idle_since = std::chrono::steady_clock::now() - max_idle_time;
    const std::scoped_lock lock(m_mutex);
    std::erase_if(m_idle, [min_idle_since](const idle_connection& item)
                  { return item.idle_since < min_idle_since; });
    if (m_idle.empty())
        return nullptr;
    connection_pointer connection = std::move(m_idle.back().connection);
    m_idle.pop_back();
    return connection;
}

void http_object_store::return_connection(const connection_pointer& connection)
{
    if (!connection->is_open())
        return;
    const std::scoped_lock lock(m_mutex);
    if (m_idle.size() < max_idle_connections)
        m_idle.push_back({connection, std::chrono::steady_clock::now()});
    else
        connection->close();
}

} // namespace ospreystair::objects
