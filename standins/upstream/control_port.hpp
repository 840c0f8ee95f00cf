// Control port of the stand-ins: changes the behaviour of named items, such as replicas or routes,
// and reports their counts.

#ifndef OSPREYSTAIR_STANDINS_UPSTREAM_CONTROL_PORT_HPP
#define OSPREYSTAIR_STANDINS_UPSTREAM_CONTROL_PORT_HPP

#include <algorithm>
#include <concepts>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <json/json.h>

#include "base/error.hpp"
#include "http/asio.hpp"
#include "http/server.hpp"
#include "rpc/rpc_server.hpp"

namespace ospreystair::standins
{

/// Something whose behaviour can be changed at run time. apply(), reset_counts() and
/// counts_to_json() are called on the item's context only.
template<class Item>
concept controllable = requires(Item& item, const Json::Value& change, base::error& reason)
{
    {
        item.name()
        } -> std::convertible_to<std::string>;
    {
        item.context()
        } -> std::same_as<http::asio::io_context&>;
    {
        item.apply(change, reason)
        } -> std::same_as<std::optional<bool>>;
    item.reset_counts();
    {
        item.counts_to_json()
        } -> std::same_as<Json::Value>;
};

/// Answers `POST /control` with `{"<list name>":["<name>",…] or "all","set":{…}}` and
/// `GET /control/counts`. Thread-safe.
template<controllable Item>
class control_port : public std::enable_shared_from_this<control_port<Item>>
{
public:
    using item_list = std::vector<std::shared_ptr<Item>>;

    control_port(std::string list_name, item_list items)
        : m_list_name(std::move(list_name)), m_items(std::move(items))
    {
    }

    /// Starts serving on `address`. Fails with address_in_use or invalid_settings.
    std::optional<std::shared_ptr<http::server>>
    listen(http::asio::io_context& context, http::tcp::endpoint address, base::error& reason)
    {
        http::server_options options;
        options.address = std::move(address);
        return http::server::create(
            context, options,
            [self = this->shared_from_this()](const http::request& message,
                                              std::shared_ptr<http::exchange_context>)
            { return self->answer(message); },
            reason);
    }

private:
    http::awaitable<http::response> answer(const http::request& message) const
    {
        if (message.method() == http::verb::post && message.target() == "/control")
            co_return co_await change(message.body());
        if (message.method() == http::verb::get && message.target() == "/control/counts")
            co_return co_await report();
        co_return http::make_text_response(http::status::not_found,
                                           "use POST /control or GET /control/counts\n");
    }

    http::awaitable<http::response> change(const std::string& text) const
    {
        base::error reason;
        const auto document = rpc::parse_json(text, reason);
        if (!document || !document->isObject())
        {
            if (document)
                base::fail(reason, base::error_kind::invalid_argument,
                           fmt::format("the document is not an object; give {{\"{}\":…,\"set\":…}}",
                                       m_list_name));
            co_return make_error(reason);
        }
        const auto selected = select((*document)[m_list_name], reason);
        if (!selected)
            co_return make_error(reason);
        const bool resets_counts = (*document)["reset_counts"] == true;
        const Json::Value set =
            document->isMember("set") ? (*document)["set"] : Json::Value(Json::objectValue);
        for (const auto& item : *selected)
        {
            const auto apply = [item, &set, &reason,
                                resets_counts]() -> http::awaitable<std::optional<bool>>
            {
                if (resets_counts)
                    item->reset_counts();
                co_return item->apply(set, reason);
            };
            if (!co_await http::asio::co_spawn(item->context(), apply, http::asio::use_awaitable))
                co_return make_error(reason);
        }
        co_return http::make_json_response(http::status::ok, "{}");
    }

    http::awaitable<http::response> report() const
    {
        Json::Value body;
        body[m_list_name] = Json::objectValue;
        for (const auto& item : m_items)
        {
            const auto read = [item]() -> http::awaitable<Json::Value>
            {
                co_return item->counts_to_json();
            };
            body[m_list_name][item->name()] =
                co_await http::asio::co_spawn(item->context(), read, http::asio::use_awaitable);
        }
        co_return http::make_json_response(http::status::ok, rpc::to_text(body));
    }

    std::optional<item_list> select(const Json::Value& names, base::error& reason) const
    {
        if (names == "all")
            return m_items;
        item_list selected;
        for (const Json::Value& name : names.isArray() ? names : Json::Value(Json::arrayValue))
        {
            const auto position =
                std::find_if(m_items.begin(), m_items.end(),
                             [&name](const auto& item) { return name == item->name(); });
            if (position == m_items.end())
                return base::fail(reason, base::error_kind::not_found,
                                  fmt::format("\"{}\" names {}, which does not exist; use a name "
                                              "from GET /control/counts",
                                              m_list_name, rpc::to_text(name)));
            selected.push_back(*position);
        }
        if (selected.empty())
            return base::fail(
                reason, base::error_kind::invalid_argument,
                fmt::format("\"{}\" is empty; give a list of names or \"all\"", m_list_name));
        return selected;
    }

    static http::response make_error(const base::error& reason)
    {
        Json::Value body;
        body["error"]["kind"] = std::string(base::to_string(reason.kind));
        body["error"]["message"] = reason.message;
        return http::make_json_response(http::status::bad_request, rpc::to_text(body));
    }

    const std::string m_list_name;
    const item_list m_items;
};

} // namespace ospreystair::standins

#endif
