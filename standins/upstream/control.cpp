// Handles control requests.

#include "standins/upstream/control.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "http/server.hpp"
#include "rpc/rpc_server.hpp"

namespace ospreystair::standin_upstream
{

namespace asio = http::asio;

namespace
{

http::response make_error(const base::error& reason)
{
    Json::Value body;
    body["error"]["kind"] = std::string(base::to_string(reason.kind));
    body["error"]["message"] = reason.message;
    return http::make_json_response(http::status::bad_request, rpc::to_text(body));
}

} // namespace

http::awaitable<http::response> control::answer(const http::request& message) const
{
    if (message.method() == http::verb::post && message.target() == "/control")
        co_return co_await change(message.body());
    if (message.method() == http::verb::get && message.target() == "/control/counts")
        co_return co_await report();
    co_return http::make_text_response(http::status::not_found,
                                       "use POST /control or GET /control/counts\n");
}

std::optional<std::vector<std::shared_ptr<replica>>> control::select(const Json::Value& names,
                                                                     base::error& reason) const
{
    if (names == "all")
        return m_replicas;
    std::vector<std::shared_ptr<replica>> selected;
    for (const Json::Value& name : names.isArray() ? names : Json::Value(Json::arrayValue))
    {
        const auto position =
            std::find_if(m_replicas.begin(), m_replicas.end(),
                         [&name](const auto& item) { return Json::Value(item->name()) == name; });
        if (position == m_replicas.end())
            return base::fail(reason, base::error_kind::not_found,
                              fmt::format("there is no replica {}; use a name from --replicas",
                                          rpc::to_text(name)));
        selected.push_back(*position);
    }
    if (selected.empty())
        return base::fail(reason, base::error_kind::invalid_argument,
                          "\"replicas\" names none; give a list of names or \"all\"");
    return selected;
}

http::awaitable<http::response> control::change(const std::string& text) const
{
    base::error reason;
    const auto document = rpc::parse_json(text, reason);
    if (!document || !document->isObject())
    {
        if (document)
            base::fail(reason, base::error_kind::invalid_argument,
                       "the document is not an object; give {\"replicas\":…,\"set\":{…}}");
        co_return make_error(reason);
    }
    const auto selected = select((*document)["replicas"], reason);
    if (!selected)
        co_return make_error(reason);
    const bool resets_counts = (*document)["reset_counts"] == true;
    const Json::Value change =
        document->isMember("set") ? (*document)["set"] : Json::Value(Json::objectValue);
    for (const auto& item : *selected)
    {
        const auto apply = [item, &change, &reason,
                            resets_counts]() -> http::awaitable<std::optional<bool>>
        {
            if (resets_counts)
                item->reset_counts();
            co_return item->apply(change, reason);
        };
        if (!co_await asio::co_spawn(item->context(), apply, asio::use_awaitable))
            co_return make_error(reason);
    }
    co_return http::make_json_response(http::status::ok, "{}");
}

http::awaitable<http::response> control::report() const
{
    Json::Value body;
    body["replicas"] = Json::objectValue;
    for (const auto& item : m_replicas)
    {
        const auto read = [item]() -> http::awaitable<Json::Value>
        {
            co_return item->counts_to_json();
        };
        body["replicas"][item->name()] =
            co_await asio::co_spawn(item->context(), read, asio::use_awaitable);
    }
    co_return http::make_json_response(http::status::ok, rpc::to_text(body));
}

} // namespace ospreystair::standin_upstream
