// Calls of the store stand-in: lists, watches and changes.

#include "standins/users_platform/store_standin.hpp"

#include <charconv>
#include <utility>

#include <fmt/format.h>

#include "http/target.hpp"

namespace ospreystair::standins
{

namespace
{

using std::chrono::milliseconds;

constexpr std::string_view objects_path = "/v1/objects/";
constexpr milliseconds watch_poll_interval{5};

std::string to_text(const Json::Value& value)
{
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, value);
}

http::response make_reply(http::status code, const Json::Value& body)
{
    return http::make_json_response(code, to_text(body));
}

std::optional<char> parse_hex_byte(std::string_view digits)
{
    unsigned value = 0;
    const auto [end, code] =
        std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
    if (digits.size() != 2 || code != std::errc{} || end != digits.data() + digits.size())
        return std::nullopt;
    return static_cast<char>(value);
}

// Whether each '%' is followed by two hexadecimal digits.
bool is_well_formed(std::string_view target)
{
    for (auto at = target.find('%'); at != std::string_view::npos; at = target.find('%', at + 1))
        if (!parse_hex_byte(target.substr(at + 1, 2)))
            return false;
    return true;
}

// Decodes a name in a well-formed target. In a query, '+' stands for a blank.
std::string decode_name(std::string_view text, bool is_in_query)
{
    std::string result;
    for (std::size_t index = 0; index < text.size(); ++index)
    {
        const auto byte =
            text[index] == '%' ? parse_hex_byte(text.substr(index + 1, 2)) : std::nullopt;
        result += byte ? *byte : is_in_query && text[index] == '+' ? ' ' : text[index];
        index += byte ? 2 : 0;
    }
    return result;
}

} // namespace

std::optional<std::unique_ptr<store_standin>> store_standin::create(http::asio::io_context& context,
                                                                    http::tcp::endpoint address,
                                                                    base::error& reason)
{
    std::unique_ptr<store_standin> result(new store_standin(context));
    http::server_options options;
    options.address = std::move(address);
    const auto server = http::server::create(
        context, options,
        [store = result.get()](const http::request& message,
                               std::shared_ptr<http::exchange_context> peer)
        { return store->answer(message, std::move(peer)); },
        reason);
    if (!server)
        return std::nullopt;
    result->m_server = *server;
    return result;
}

std::optional<http::tcp::endpoint>
store_standin::serve_edited(std::function<void(std::string&)> edit, base::error& reason)
{
    const auto edited = std::make_shared<const std::function<void(std::string&)>>(std::move(edit));
    const std::size_t index = m_edited_servers.size();
    http::server_options options;
    options.address = {m_server->address().address(), 0};
    auto created = http::server::create(
        m_context, std::move(options),
        [this, edited,
         index](const http::request& message,
                std::shared_ptr<http::exchange_context> peer) -> http::awaitable<http::response>
        {
            http::response reply = co_await answer(message, std::move(peer));
            (*edited)(reply.body());
            co_await wait(delay_at(m_edited_servers[index]->address()));
            co_return reply;
        },
        reason);
    if (!created)
        return std::nullopt;
    m_edited_servers.push_back(*created);
    return m_edited_servers.back()->address();
}

void store_standin::delay_answers_at(const http::tcp::endpoint& address, milliseconds delay)
{
    const std::scoped_lock lock(m_mutex);
    m_delays_by_address[address] = delay;
}

milliseconds store_standin::delay_at(const http::tcp::endpoint& address) const
{
    const std::scoped_lock lock(m_mutex);
    const auto found = m_delays_by_address.find(address);
    return found == m_delays_by_address.end() ? milliseconds{0} : found->second;
}

std::uint64_t store_standin::put(const std::string& kind, const std::string& name,
                                 Json::Value content)
{
    const std::scoped_lock lock(m_mutex);
    return write(kind, name, std::move(content));
}

void store_standin::remove(const std::string& kind, const std::string& name)
{
    const std::scoped_lock lock(m_mutex);
    erase(kind, name);
}

std::optional<Json::Value> store_standin::find(const std::string& kind,
                                               const std::string& name) const
{
    const std::scoped_lock lock(m_mutex);
    const auto objects_of_kind = m_objects.find(kind);
    if (objects_of_kind == m_objects.end() || !objects_of_kind->second.contains(name))
        return std::nullopt;
    return objects_of_kind->second.at(name).content;
}

void store_standin::set_page_size(std::size_t items)
{
    const std::scoped_lock lock(m_mutex);
    m_page_size = items;
}

void store_standin::set_mode(store_mode mode)
{
    const std::scoped_lock lock(m_mutex);
    m_mode = mode;
}

void store_standin::set_delay(milliseconds delay)
{
    const std::scoped_lock lock(m_mutex);
    m_delay = delay;
}

void store_standin::set_losing_answers(bool is_losing)
{
    const std::scoped_lock lock(m_mutex);
    m_is_losing_answers = is_losing;
}

void store_standin::drop_history()
{
    const std::scoped_lock lock(m_mutex);
    m_history.clear();
    m_history_start = m_revision;
}

void store_standin::keep_copy()
{
    const std::scoped_lock lock(m_mutex);
    m_copy = m_objects;
    m_copy_revision = m_revision;
}

void store_standin::restore_copy()
{
    {
        const std::scoped_lock lock(m_mutex);
        m_objects = m_copy;
        m_revision = m_copy_revision;
        m_history.clear();
        m_history_start = m_revision;
        ++m_era;
    }
    cut_connections();
}

std::uint64_t store_standin::era() const
{
    const std::scoped_lock lock(m_mutex);
    return m_era;
}

void store_standin::cut_connections()
{
    {
        const std::scoped_lock lock(m_mutex);
        ++m_cuts;
    }
    m_server->abort_connections();
    for (const auto& each : m_edited_servers)
        each->abort_connections();
}

std::uint64_t store_standin::call_count() const
{
    const std::scoped_lock lock(m_mutex);
    return m_calls;
}

http::awaitable<void> store_standin::wait(milliseconds time)
{
    http::asio::steady_timer timer(m_context, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(http::asio::redirect_error(http::asio::use_awaitable, ignored));
}

http::awaitable<http::response> store_standin::answer(const http::request& message,
                                                      std::shared_ptr<http::exchange_context> peer)
{
    http::response reply = co_await answer_call(message, std::move(peer));
    reply.set("Store-Era", fmt::format("{}", era()));
    co_return reply;
}

http::awaitable<http::response>
store_standin::answer_call(const http::request& message,
                           std::shared_ptr<http::exchange_context> peer)
{
    // What follows a '#' is a fragment, which is no part of a request's target.
    const std::string target(message.target().substr(0, message.target().find('#')));
    if (!is_well_formed(target))
        co_return make_reply(http::status::bad_request, Json::objectValue);
    const bool is_change = message.method() != http::verb::get;
    store_mode mode{};
    milliseconds delay{};
    bool is_losing = false;
    {
        const std::scoped_lock lock(m_mutex);
        ++m_calls;
        mode = m_mode;
        delay = m_delay;
        is_losing = m_is_losing_answers && is_change;
    }
    constexpr milliseconds unlimited_delay{3'600'000};
    if (mode == store_mode::silent)
        co_await wait(unlimited_delay);
    if (delay.count() > 0)
        co_await wait(delay);
    if (mode == store_mode::refusing)
        co_return make_reply(http::status::service_unavailable, Json::objectValue);
    if (mode == store_mode::limiting)
        co_return make_reply(http::status::too_many_requests, Json::objectValue);
    if (!target.starts_with(objects_path))
        co_return make_reply(http::status::not_found, Json::objectValue);
    std::string path = target.substr(objects_path.size(), target.find('?') - objects_path.size());
    const std::size_t slash = path.find('/');
    const std::string kind = path.substr(0, slash);
    const std::string name =
        slash == std::string::npos ? "" : decode_name(path.substr(slash + 1), false);
    if (const auto revision = http::find_number(target, "watch"); revision && !is_change)
        co_return co_await answer_watch(
            kind, *revision, milliseconds{http::find_number(target, "waitMs").value_or(0)},
            std::move(peer));
    if (!is_change && name.empty())
        co_return answer_list(
            kind, decode_name(http::find_parameter(target, "after").value_or(""), true));
    http::response reply = answer_change(message, kind, name);
    if (is_losing)
        co_await wait(unlimited_delay);
    co_return reply;
}

http::awaitable<http::response>
store_standin::answer_watch(std::string kind, std::uint64_t revision, milliseconds wait_time,
                            std::shared_ptr<http::exchange_context> peer)
{
    const auto end = std::chrono::steady_clock::now() + wait_time;
    while (true)
    {
        {
            const std::scoped_lock lock(m_mutex);
            if (auto reply = find_changes(kind, revision))
                co_return std::move(*reply);
            if (std::chrono::steady_clock::now() >= end || peer->is_peer_disconnected())
            {
                Json::Value body;
                body["events"] = Json::arrayValue;
                body["asOf"] = Json::UInt64{m_revision};
                co_return make_reply(http::status::ok, body);
            }
        }
        co_await wait(watch_poll_interval);
    }
}

std::optional<http::response> store_standin::find_changes(const std::string& kind,
                                                          std::uint64_t revision)
{
    if (revision < m_history_start || revision > m_revision)
        return make_reply(http::status::gone, Json::objectValue);
    Json::Value events(Json::arrayValue);
    std::uint64_t last_revision = m_revision;
    for (const change& item : m_history)
    {
        if (item.revision <= revision || item.kind != kind)
            continue;
        Json::Value event;
        event["object"] = to_json(item.state);
        event["deleted"] = item.is_deleted;
        events.append(std::move(event));
        last_revision = item.revision;
        if (events.size() == max_events)
            break;
        last_revision = m_revision;
    }
    if (events.empty())
        return std::nullopt;
    Json::Value body;
    body["events"] = std::move(events);
    body["asOf"] = Json::UInt64{last_revision};
    return make_reply(http::status::ok, body);
}

http::response store_standin::answer_list(const std::string& kind, const std::string& after)
{
    const std::scoped_lock lock(m_mutex);
    Json::Value body;
    body["items"] = Json::arrayValue;
    body["more"] = false;
    body["asOf"] = Json::UInt64{m_revision};
    const auto& objects_of_kind = m_objects[kind];
    for (auto item = objects_of_kind.upper_bound(after); item != objects_of_kind.end(); ++item)
    {
        if (body["items"].size() == m_page_size)
        {
            body["more"] = true;
            break;
        }
        body["items"].append(to_json(item->second));
    }
    return make_reply(http::status::ok, body);
}

http::response store_standin::answer_change(const http::request& message, const std::string& kind,
                                            const std::string& name)
{
    const std::scoped_lock lock(m_mutex);
    Json::Value body;
    Json::CharReaderBuilder().newCharReader()->parse(
        message.body().data(), message.body().data() + message.body().size(), &body, nullptr);
    auto& objects_of_kind = m_objects[kind];
    if (message.method() == http::verb::post)
    {
        const std::string created = body["meta"]["name"].asString();
        if (objects_of_kind.contains(created))
            return make_reply(http::status::conflict, to_json(objects_of_kind.at(created)));
        write(kind, created, body["spec"]);
        return make_reply(http::status::created, to_json(objects_of_kind.at(created)));
    }
    if (!objects_of_kind.contains(name))
        return make_reply(http::status::not_found, Json::objectValue);
    if (message.method() == http::verb::get)
        return make_reply(http::status::ok, to_json(objects_of_kind.at(name)));
    const Json::Value& body_revision = body["meta"]["revision"];
    const auto expected = body_revision.isUInt64()
                              ? std::optional<std::uint64_t>(body_revision.asUInt64())
                              : http::find_number(std::string(message.target()), "revision");
    if (expected && *expected != objects_of_kind.at(name).revision)
        return make_reply(http::status::conflict, to_json(objects_of_kind.at(name)));
    if (message.method() == http::verb::delete_)
    {
        erase(kind, name);
        return make_reply(http::status::ok, Json::objectValue);
    }
    write(kind, name, body["spec"]);
    return make_reply(http::status::ok, to_json(objects_of_kind.at(name)));
}

std::uint64_t store_standin::write(const std::string& kind, const std::string& name,
                                   Json::Value content)
{
    object& item = m_objects[kind][name];
    if (item.revision != 0 && item.content == content)
        return item.revision;
    item.name = name;
    item.revision = ++m_revision;
    if (item.created == 0)
        item.created = m_revision;
    item.content = std::move(content);
    m_history.push_back({m_revision, kind, item, false});
    return m_revision;
}

void store_standin::erase(const std::string& kind, const std::string& name)
{
    auto& objects_of_kind = m_objects[kind];
    const auto found = objects_of_kind.find(name);
    if (found == objects_of_kind.end())
        return;
    m_history.push_back({++m_revision, kind, found->second, true});
    objects_of_kind.erase(found);
}

Json::Value store_standin::to_json(const object& item)
{
    Json::Value result;
    result["meta"]["name"] = item.name;
    result["meta"]["revision"] = Json::UInt64{item.revision};
    result["meta"]["created"] = Json::UInt64{item.created};
    result["meta"]["finalizers"] = Json::arrayValue;
    result["meta"]["deleting"] = false;
    result["spec"] = item.content;
    result["status"] = item.status;
    return result;
}

} // namespace ospreystair::standins
