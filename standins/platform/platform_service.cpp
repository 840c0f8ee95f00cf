// Answers object calls, watches, VM lists and the control interface of the platform stand-in.

#include "standins/platform/platform_service.hpp"

#include <charconv>

#include <fmt/format.h>

namespace ospreystair::standins
{

namespace
{

constexpr std::string_view objects_path = "/v1/objects";
constexpr std::chrono::milliseconds poll_interval{5};
constexpr std::chrono::milliseconds max_watch_wait{600'000};

std::string decode_percent_encoding(std::string_view text)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index)
    {
        constexpr int hexadecimal = 16;
        unsigned byte = 0;
        if (text[index] == '%' && index + 2 < text.size() &&
            std::from_chars(text.data() + index + 1, text.data() + index + 3, byte, hexadecimal)
                    .ptr == text.data() + index + 3)
        {
            result += static_cast<char>(byte);
            index += 2;
        }
        else
            result += text[index];
    }
    return result;
}

std::optional<std::string> query_value(std::string_view query, std::string_view name)
{
    while (!query.empty())
    {
        const std::size_t end = std::min(query.find('&'), query.size());
        const std::string_view item = query.substr(0, end);
        if (item.size() > name.size() && item.starts_with(name) && item[name.size()] == '=')
            return decode_percent_encoding(item.substr(name.size() + 1));
        query.remove_prefix(std::min(end + 1, query.size()));
    }
    return std::nullopt;
}

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size())
        return std::nullopt;
    return value;
}

// The version that a change expects; 0 for If-None-Match: *.
std::optional<std::uint64_t> expected_version(const http::request& message)
{
    const auto tag = message[http::field::if_match];
    if (tag.size() > 2 && tag.front() == '"' && tag.back() == '"')
        return parse_number({tag.data() + 1, tag.size() - 2});
    if (message.method() == http::verb::put && message[http::field::if_none_match] == "*")
        return 0;
    return std::nullopt;
}

std::string to_text(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

http::response make_error(http::status code, const std::string& message)
{
    return http::make_text_response(code, message + "\n");
}

http::response make_object_response(const objects::stored_object& object)
{
    http::response reply(http::status::ok, 11);
    reply.set(http::field::etag, fmt::format("\"{}\"", object.version));
    reply.body() = object.value;
    return reply;
}

http::awaitable<void> pause(std::chrono::milliseconds time)
{
    http::asio::steady_timer timer(co_await http::asio::this_coro::executor, time);
    co_await timer.async_wait(http::asio::use_awaitable);
}

std::string classify_call(const http::request& message)
{
    const std::string_view target(message.target().data(), message.target().size());
    if (target.starts_with("/v1/vms"))
        return "vms";
    if (message.method() == http::verb::put)
        return "write";
    if (message.method() == http::verb::delete_)
        return "erase";
    if (target.find("after=") != std::string_view::npos)
        return "watch";
    return target.starts_with("/v1/objects?") ? "list" : "read";
}

} // namespace

http::awaitable<http::response>
platform_service::answer(const http::request& message,
                         std::shared_ptr<http::exchange_context> context)
{
    if (message.target() == "/control" && message.method() == http::verb::post)
        co_return answer_control(message.body());
    if (message.target() == "/control/counts")
        co_return answer_counts();
    ++m_call_counts[classify_call(message)];
    if (m_faults.outage == outage_mode::none && is_over_rate())
    {
        http::response reply = make_error(http::status::too_many_requests, "call rate exceeded");
        reply.set(http::field::retry_after, "1");
        co_return reply;
    }
    if (m_faults.latency.count() > 0)
        co_await pause(m_faults.latency);
    while (m_faults.outage == outage_mode::hang && !context->is_peer_disconnected())
    {
        co_await pause(poll_interval);
        if (m_faults.outage != outage_mode::hang)
            co_return make_error(http::status::service_unavailable, "was down");
    }
    if (m_faults.outage != outage_mode::none)
        co_return make_error(http::status::service_unavailable, "down");
    co_return co_await answer_call(message, std::move(context));
}

http::awaitable<http::response>
platform_service::answer_call(const http::request& message,
                              std::shared_ptr<http::exchange_context> context)
{
    const std::string_view target(message.target().data(), message.target().size());
    const std::size_t question = std::min(target.find('?'), target.size());
    const std::string path = decode_percent_encoding(target.substr(0, question));
    const std::string query(target.substr(std::min(question + 1, target.size())));
    if (path == "/v1/vms")
        co_return answer_vms();
    if (path == objects_path)
        co_return answer_list(query_value(query, "prefix").value_or(""));
    if (!path.starts_with(fmt::format("{}/", objects_path)))
        co_return make_error(http::status::not_found, "no such resource");
    std::string key = path.substr(objects_path.size() + 1);
    co_return co_await answer_object(message, std::move(key), query, std::move(context));
}

http::awaitable<http::response>
platform_service::answer_object(const http::request& message, std::string key, std::string query,
                                std::shared_ptr<http::exchange_context> context)
{
    if (message.method() == http::verb::put || message.method() == http::verb::delete_)
        co_return co_await apply_change(message, std::move(key), std::move(context));
    if (message.method() != http::verb::get)
        co_return make_error(http::status::method_not_allowed, "use GET, PUT or DELETE");
    if (const auto after = query_value(query, "after"))
    {
        const auto version = parse_number(*after);
        const auto wait = parse_number(query_value(query, "wait_ms").value_or("0"));
        if (!version || !wait)
            co_return make_error(http::status::bad_request, "after and wait_ms are numbers");
        co_return co_await answer_watch(
            std::move(key), *version,
            std::min(std::chrono::milliseconds(static_cast<std::int64_t>(*wait)), max_watch_wait),
            std::move(context));
    }
    const objects::stored_object* object = m_table.find(key);
    if (object == nullptr)
        co_return make_error(http::status::not_found, "no such object");
    co_return make_object_response(*object);
}

http::awaitable<http::response>
platform_service::answer_watch(std::string key, std::uint64_t after_version,
                               std::chrono::milliseconds wait,
                               std::shared_ptr<http::exchange_context> context)
{
    const clock::time_point end = clock::now() + wait;
    http::asio::steady_timer timer(co_await http::asio::this_coro::executor);
    const auto entry = m_watch_timers.emplace(key, &timer);
    ++m_waiting_watches;
    context->on_peer_disconnected([&timer] { timer.cancel(); });
    std::optional<http::response> reply;
    while (!reply && clock::now() < end && !context->is_peer_disconnected() &&
           m_faults.outage == outage_mode::none)
    {
        const objects::stored_object* object = m_table.find(key);
        if (object != nullptr && object->version > after_version && !m_faults.has_silent_watches)
        {
            reply = make_object_response(*object);
            break;
        }
        boost::system::error_code code;
        timer.expires_at(end);
        co_await timer.async_wait(http::asio::redirect_error(http::asio::use_awaitable, code));
    }
    context->on_peer_disconnected(nullptr);
    m_watch_timers.erase(entry);
    --m_waiting_watches;
    if (reply)
        co_return std::move(*reply);
    if (m_faults.outage != outage_mode::none)
        co_return make_error(http::status::service_unavailable, "down");
    co_return http::response(http::status::not_modified, 11);
}

http::awaitable<http::response>
platform_service::apply_change(const http::request& message, std::string key,
                               std::shared_ptr<http::exchange_context> context)
{
    const auto expected = expected_version(message);
    if (!expected)
        co_return make_error(http::status::bad_request, "give If-Match or If-None-Match: *");
    if (message.body().size() > objects::max_value_bytes)
        co_return make_error(http::status::payload_too_large, "values have at most 1 MB");
    http::response reply(http::status::ok, 11);
    if (message.method() == http::verb::delete_)
    {
        if (!m_table.erase(key, *expected))
            co_return make_error(http::status::precondition_failed, "other version");
    }
    else
    {
        const auto version = m_table.write(key, message.body(), *expected);
        if (!version)
            co_return make_error(http::status::precondition_failed, "other version");
        reply.set(http::field::etag, fmt::format("\"{}\"", *version));
    }
    ++m_applied_writes;
    wake_watches(key);
    if (!should_lose_answer(key))
        co_return reply;
    if (!m_faults.loses_with_error)
        co_await wait_until_peer_disconnects(std::move(context));
    co_return make_error(http::status::internal_server_error, "the answer is lost");
}

http::response platform_service::answer_list(const std::string& prefix) const
{
    Json::Value body;
    body["objects"] = Json::arrayValue;
    for (const objects::listed_object& item : m_table.list(prefix))
    {
        Json::Value line;
        line["key"] = item.key;
        line["version"] = Json::UInt64{item.version};
        body["objects"].append(line);
    }
    return http::make_json_response(http::status::ok, to_text(body));
}

http::response platform_service::answer_vms() const
{
    Json::Value body;
    body["vms"] = Json::arrayValue;
    const clock::time_point newest_visible = clock::now() - m_faults.vm_list_lag;
    // The oldest list is always visible, so that a lag never hides the first list.
    for (const vm_list& list : m_vm_list_history)
        if (&list == &m_vm_list_history.front() || list.since <= newest_visible)
            body["vms"] = list.vms;
    return http::make_json_response(http::status::ok, to_text(body));
}

http::response platform_service::answer_counts() const
{
    Json::Value body;
    std::uint64_t total = 0;
    for (const char* kind : {"read", "write", "erase", "watch", "list", "vms"})
    {
        const auto position = m_call_counts.find(kind);
        const std::uint64_t count = position == m_call_counts.end() ? 0 : position->second;
        body["calls"][kind] = Json::UInt64{count};
        total += count;
    }
    body["total"] = Json::UInt64{total};
    body["writes_applied"] = Json::UInt64{m_applied_writes};
    body["watches_waiting"] = Json::UInt64{m_waiting_watches};
    body["lose_answers"] = Json::UInt64{m_faults.lose_answers};
    return http::make_json_response(http::status::ok, to_text(body));
}

http::response platform_service::answer_control(const std::string& body)
{
    Json::Value settings;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    std::string message;
    try
    {
        if (reader->parse(body.data(), body.data() + body.size(), &settings, &message) &&
            settings.isObject() && apply_control(settings))
            return http::make_json_response(http::status::ok, "{}");
    }
    catch (const Json::Exception& exception)
    {
        message = exception.what();
    }
    return make_error(http::status::bad_request, fmt::format("bad control body {}", message));
}

bool platform_service::apply_control(const Json::Value& settings)
{
    fault_settings updated_settings = m_faults;
    for (const std::string& name : settings.getMemberNames())
    {
        const Json::Value& value = settings[name];
        if (name == "outage")
        {
            const std::string mode = value.asString();
            if (mode != "none" && mode != "fail" && mode != "hang")
                return false;
            updated_settings.outage = mode == "none"   ? outage_mode::none
                                      : mode == "fail" ? outage_mode::fail
                                                       : outage_mode::hang;
        }
        else if (name == "latency_ms")
            updated_settings.latency = std::chrono::milliseconds{value.asInt64()};
        else if (name == "lose_answers")
            updated_settings.lose_answers = value.asUInt64();
        else if (name == "lose_prefix")
            updated_settings.lose_prefix = value.asString();
        else if (name == "lose_how")
            updated_settings.loses_with_error = value.asString() == "error";
        else if (name == "silent_watches")
            updated_settings.has_silent_watches = value.asBool();
        else if (name == "vm_list_lag_ms")
            updated_settings.vm_list_lag = std::chrono::milliseconds{value.asInt64()};
        else if (name == "calls_per_second")
            updated_settings.calls_per_second = value.asUInt64();
        else if (name != "vms" || !value.isArray())
            return false;
    }
    if (settings.isMember("vms"))
        m_vm_list_history.push_back({clock::now(), settings["vms"]});
    m_faults = updated_settings;
    // Wakes all watches, so that they apply the new settings immediately.
    for (const auto& [key, timer] : m_watch_timers)
        timer->cancel();
    return true;
}

bool platform_service::is_over_rate()
{
    const clock::time_point now = clock::now();
    if (now - m_rate_window_start >= std::chrono::seconds{1})
    {
        m_rate_window_start = now;
        m_calls_in_window = 0;
    }
    ++m_calls_in_window;
    return m_faults.calls_per_second != 0 && m_calls_in_window > m_faults.calls_per_second;
}

bool platform_service::should_lose_answer(const std::string& key)
{
    if (m_faults.lose_answers == 0 || !key.starts_with(m_faults.lose_prefix))
        return false;
    --m_faults.lose_answers;
    return true;
}

void platform_service::wake_watches(const std::string& key)
{
    const auto [first, last] = m_watch_timers.equal_range(key);
    for (auto position = first; position != last; ++position)
        position->second->cancel();
}

http::awaitable<void>
platform_service::wait_until_peer_disconnects(std::shared_ptr<http::exchange_context> context)
{
    const clock::time_point end = clock::now() + max_watch_wait;
    while (!context->is_peer_disconnected() && clock::now() < end)
        co_await pause(poll_interval);
}

} // namespace ospreystair::standins
