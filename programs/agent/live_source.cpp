// Calls to the entry and to other agents, and the search of the durable records.

#include "live_source.hpp"

#include <algorithm>
#include <chrono>
#include <future>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include <boost/asio/use_future.hpp>
#include <fmt/format.h>

#include "configuration/credential.hpp"
#include "http/client_connection.hpp"
#include "protocol/datagram.hpp"
#include "rpc/rpc_server.hpp"

namespace ospreystair::agent
{

namespace
{

using namespace std::chrono_literals;
namespace asio = http::asio;

// A command has 5 s. Within it another agent must answer in peer_timeout, and within that its entry
// in entry_timeout.
constexpr std::chrono::milliseconds peer_timeout{2000};
constexpr std::chrono::milliseconds entry_timeout{1200};
constexpr std::chrono::milliseconds timeout_grace{500};
// Per process. The events of an entry and an agent together must stay below the 4 MB of a reply.
constexpr Json::ArrayIndex max_events = 4000;

// Returns the VM of a request id `<vm>-<incarnation>-<counter>`; empty when the form is wrong.
std::string vm_of(const std::string& request_id)
{
    const std::size_t counter_dash = request_id.rfind('-');
    if (counter_dash == std::string::npos || counter_dash == 0)
        return {};
    const std::size_t incarnation_dash = request_id.rfind('-', counter_dash - 1);
    return incarnation_dash == std::string::npos ? std::string()
                                                 : request_id.substr(0, incarnation_dash);
}

// Checked because ids become part of an HTTP path of the entry and of a key in the platform.
bool is_request_id(const std::string& text)
{
    constexpr std::size_t max_bytes = 128;
    return text.size() <= max_bytes && configuration::is_valid_name(vm_of(text)) &&
           text.find_first_not_of("0123456789abcdefghijklmnopqrstuvwxyz", vm_of(text).size() + 1) ==
               text.rfind('-');
}

// A key `records/<vm>-<incarnation>/<sequence>`, split into the folder of one run of a VM's agent
// and the sequence.
struct record_key
{
    record_key(std::string folder_name, std::uint64_t number)
        : folder(std::move(folder_name)), sequence(number)
    {
    }

    std::string folder;
    std::uint64_t sequence = 0;
};

// Returns nothing for a key of another VM, whose name may begin with that of `vm`.
std::optional<record_key> parse_record_key(const std::string& key, const std::string& vm)
{
    const std::string prefix = fmt::format("records/{}-", vm);
    const std::size_t slash = key.rfind('/');
    if (!key.starts_with(prefix) || slash == std::string::npos || slash < prefix.size())
        return std::nullopt;
    if (key.substr(prefix.size(), slash - prefix.size()).find_first_of("-/") != std::string::npos)
        return std::nullopt;
    std::uint64_t sequence = 0;
    for (const char digit : key.substr(slash + 1))
    {
        if (digit < '0' || digit > '9')
            return std::nullopt;
        sequence = sequence * 10 + static_cast<std::uint64_t>(digit - '0');
    }
    return record_key(key.substr(0, slash), sequence);
}

std::vector<record_key> sort_newest_first(const std::vector<objects::listed_object>& objects,
                                          const std::string& vm)
{
    std::vector<record_key> result;
    for (const objects::listed_object& item : objects)
        if (auto key = parse_record_key(item.key, vm))
            result.push_back(std::move(*key));
    // Until the year 2059 incarnations have the same length in base 36, so that their text order is
    // their numeric order.
    std::sort(
        result.begin(), result.end(),
        [](const record_key& left, const record_key& right)
        { return std::tie(left.folder, left.sequence) > std::tie(right.folder, right.sequence); });
    return result;
}

std::optional<Json::Value> find_in_batch(const std::string& text, const std::string& request_id)
{
    if (text.find(request_id) == std::string::npos)
        return std::nullopt;
    base::error ignored;
    const auto batch = rpc::parse_json(text, ignored);
    if (!batch || !batch->isObject() || !(*batch)["records"].isArray())
        return std::nullopt;
    for (const Json::Value& record : (*batch)["records"])
        if (record.isObject() && record["request_id"] == Json::Value(request_id))
            return record;
    return std::nullopt;
}

} // namespace

// Used on one strand only.
struct live_source::gather_operation
{
    explicit gather_operation(const asio::any_io_executor& executor) : completion_timer(executor) {}

    operators::gathered_rows result;
    // VMs that have not answered yet.
    std::set<std::string> pending_vms;
    // Cancelled when all VMs have answered.
    asio::steady_timer completion_timer;
};

live_source::live_source(asio::io_context& context, objects::http_object_store& store,
                         const agent_settings& settings, agent_state& state, record_writer& records,
                         observe::event_log& events)
    : m_context(context), m_store(store), m_settings(settings), m_state(state), m_records(records),
      m_events(events)
{
}

asio::awaitable<std::optional<operators::gathered_rows>>
live_source::gather(operators::row_kind kind, base::time_point deadline, base::error&)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto operation = std::make_shared<gather_operation>(executor);
    const base::time_point peer_deadline =
        std::min(deadline, std::chrono::steady_clock::now() + peer_timeout);
    Json::Value parameters;
    parameters["kind"] = std::string(operators::to_string(kind));
    std::vector<configuration::member> members;
    configuration::member local_member;
    local_member.vm = m_settings.identity.vm;
    members.push_back(local_member);
    std::set<std::string> missing_vms;
    for (const configuration::member& item : m_state.current_view().members)
        if (item.vm != local_member.vm && item.is_live())
            members.push_back(item);
        else if (item.vm != local_member.vm && item.state == "failed")
            missing_vms.insert(item.vm);
    for (const configuration::member& item : members)
    {
        missing_vms.erase(item.vm);
        operation->pending_vms.insert(item.vm);
    }
    for (const configuration::member& item : members)
    {
        auto inspection = [this, operation, item, parameters, peer_deadline]
        {
            return inspect_member(operation, item, parameters, peer_deadline);
        };
        asio::co_spawn(executor, inspection, asio::detached);
    }
    operation->completion_timer.expires_at(peer_deadline + timeout_grace);
    while (!operation->pending_vms.empty() &&
           std::chrono::steady_clock::now() < peer_deadline + timeout_grace)
    {
        boost::system::error_code ignored;
        co_await operation->completion_timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    operators::gathered_rows result = std::move(operation->result);
    missing_vms.insert(operation->pending_vms.begin(), operation->pending_vms.end());
    missing_vms.insert(result.missing.begin(), result.missing.end());
    result.missing.assign(missing_vms.begin(), missing_vms.end());
    co_return result;
}

asio::awaitable<void> live_source::inspect_member(std::shared_ptr<gather_operation> operation,
                                                  configuration::member member,
                                                  Json::Value parameters, base::time_point deadline)
{
    std::optional<Json::Value> answer;
    if (member.vm == m_settings.identity.vm)
        answer = co_await inspect_local(parameters, deadline);
    else
        answer = co_await inspect_peer(member.address, parameters, deadline);
    if (answer)
        for (operators::row& row : operators::rows_from_json((*answer)["rows"]))
            operation->result.rows.push_back(std::move(row));
    if (!answer || (*answer)["complete"] != Json::Value(true))
        operation->result.missing.push_back(member.vm);
    operation->pending_vms.erase(member.vm);
    if (operation->pending_vms.empty())
        operation->completion_timer.cancel();
}

asio::awaitable<std::optional<Json::Value>> live_source::inspect_peer(settings::socket_address peer,
                                                                      Json::Value parameters,
                                                                      base::time_point deadline)
{
    parameters["protocol"] = Json::UInt64{protocol::protocol_version};
    parameters["stamp"] = m_events.clock().tick().to_text();
    parameters["credential"] = m_settings.operator_credential;
    Json::Value call;
    call["jsonrpc"] = "2.0";
    call["id"] = 1;
    call["method"] = "inspect";
    call["params"] = std::move(parameters);
    http::request message(http::verb::post, "/rpc", 11);
    message.set(http::field::host, peer.to_text());
    message.set(http::field::content_type, "application/json");
    message.body() = rpc::to_text(call);
    message.prepare_payload();
    const auto endpoint = http::make_endpoint(peer.host, peer.port);
    http::exchange_progress progress{};
    base::error reason;
    const auto reply = co_await http::exchange_once(m_context, endpoint, std::move(message),
                                                    deadline, progress, reason);
    auto answer = reply ? rpc::parse_json(reply->body(), reason) : std::nullopt;
    if (answer && answer->isObject() && (*answer)["result"].isObject())
    {
        Json::Value result = (*answer)["result"];
        if (result["stamp"].isString())
            if (const auto stamp = observe::stamp::from_text(result["stamp"].asString()))
                m_events.clock().observe(*stamp);
        co_return result;
    }
    m_events.write(observe::log_level::info, "inspection_failed", "",
                   {{"peer", peer.to_text()},
                    {"message", reply ? "the agent refused; run the same release with the same "
                                        "--operator-credential on all VMs"
                                      : reason.message}});
    co_return std::nullopt;
}

asio::awaitable<Json::Value> live_source::inspect_local(Json::Value parameters,
                                                        base::time_point deadline)
{
    const base::time_point entry_deadline =
        std::min(deadline, std::chrono::steady_clock::now() + entry_timeout);
    Json::Value result(Json::objectValue);
    base::error reason;
    if (parameters.isMember("request"))
    {
        const std::string request_id = parameters["request"].asString();
        const std::string target = "/requests/" + request_id;
        auto record = co_await ask_entry(target, entry_deadline, reason);
        result["complete"] = record.has_value() || reason.kind == base::error_kind::not_found;
        if (!record)
        {
            record = m_records.find_pending(request_id);
            if (record)
                (*record)["source"] = "the agent's records that wait to be written to the platform";
        }
        if (record)
            result["record"] = std::move(*record);
        co_return result;
    }
    const std::string kind = parameters["kind"].asString();
    result["rows"] = Json::arrayValue;
    std::string target = "/" + kind;
    if (kind == "requests")
        target += "?summary";
    else if (kind == "vms")
        target = "/upstreams";
    const auto answer = co_await ask_entry(target, entry_deadline, reason);
    result["complete"] = answer.has_value();
    if (kind == "vms")
    {
        Json::Value row;
        row["state"] = "alive";
        row["entry_answers"] = answer.has_value();
        row["configuration_version"] = Json::UInt64{m_state.configuration_version()};
        row["incarnation"] = Json::Int64{m_settings.identity.incarnation.count()};
        row["address"] = m_settings.control_address.to_text();
        Json::Value list(Json::arrayValue);
        list.append(std::move(row));
        add_rows(result["rows"], list, nullptr);
    }
    else if (answer)
        add_rows(result["rows"], (*answer)[kind], kind == "events" ? "entry" : nullptr);
    if (kind == "events")
        if (const auto agent_events = rpc::parse_json(m_events.to_json(0), reason))
            add_rows(result["rows"], (*agent_events)["events"], "agent");
    co_return result;
}

void live_source::add_rows(Json::Value& rows, const Json::Value& list, const char* process) const
{
    if (!list.isArray())
        return;
    const Json::ArrayIndex first =
        process && list.size() > max_events ? list.size() - max_events : 0;
    for (Json::ArrayIndex index = first; index < list.size(); ++index)
    {
        Json::Value row = list[index];
        row["vm"] = m_settings.identity.vm;
        row["data_centre"] = m_settings.identity.data_centre;
        if (process)
            row["process"] = process;
        rows.append(std::move(row));
    }
}

asio::awaitable<std::optional<Json::Value>>
live_source::ask_entry(std::string target, base::time_point deadline, base::error& reason)
{
    http::request message(http::verb::get, target, 11);
    message.set(http::field::host, m_settings.entry_address.to_text());
    const auto endpoint =
        http::make_endpoint(m_settings.entry_address.host, m_settings.entry_address.port);
    http::exchange_progress progress{};
    const auto reply = co_await http::exchange_once(m_context, endpoint, std::move(message),
                                                    deadline, progress, reason);
    if (!reply)
        co_return std::nullopt;
    if (reply->result() != http::status::ok)
    {
        reason =
            base::error(reply->result() == http::status::not_found ? base::error_kind::not_found
                                                                   : base::error_kind::protocol,
                        "the entry refused; run the same release on the VM");
        co_return std::nullopt;
    }
    auto answer = rpc::parse_json(reply->body(), reason);
    if (answer && !answer->isObject())
        answer.reset();
    co_return answer;
}

std::optional<configuration::member> live_source::find_live_member(const std::string& vm) const
{
    for (const configuration::member& item : m_state.current_view().members)
        if (item.vm == vm && item.is_live())
            return item;
    return std::nullopt;
}

asio::awaitable<std::optional<Json::Value>>
live_source::find_request(std::string request_id, base::time_point deadline, base::error& reason)
{
    const std::string vm = vm_of(request_id);
    if (!is_request_id(request_id))
    {
        reason = base::error(base::error_kind::invalid_argument,
                             "a request id is VM-INCARNATION-NUMBER, as in X-Request-Id");
        co_return std::nullopt;
    }
    Json::Value parameters;
    parameters["request"] = request_id;
    const base::time_point peer_deadline =
        std::min(deadline, std::chrono::steady_clock::now() + peer_timeout);
    std::optional<Json::Value> answer;
    if (vm == m_settings.identity.vm)
        answer = co_await inspect_local(parameters, peer_deadline);
    else if (const auto member = find_live_member(vm))
        answer = co_await inspect_peer(member->address, parameters, peer_deadline);
    if (answer && (*answer)["record"].isObject())
        co_return (*answer)["record"];
    const bool is_complete = answer && (*answer)["complete"] == Json::Value(true);
    const std::string live_state =
        fmt::format("VM {} {}", vm, is_complete ? "no longer has it" : "does not answer");
    auto record = co_await find_durable_record(vm, request_id, deadline, reason);
    if (record)
    {
        (*record)["source"] = fmt::format("durable records in the platform; {}", live_state);
        co_return record;
    }
    if (reason.kind == base::error_kind::not_found)
        reason = base::error(base::error_kind::not_found,
                             fmt::format("no record of request {} remains: {}, and the durable "
                                         "records, which keep commands, refusals, partial and "
                                         "failed answers, have none",
                                         request_id, live_state));
    else
        reason = base::error(reason.kind, fmt::format("{}, and the durable records could not be "
                                                      "searched: {}; ask again later",
                                                      live_state, reason.message));
    co_return std::nullopt;
}

asio::awaitable<std::optional<Json::Value>>
live_source::find_durable_record(std::string vm, std::string request_id, base::time_point deadline,
                                 base::error& reason)
{
    const std::string prefix = fmt::format("records/{}-", vm);
    const auto objects = co_await m_store.list(prefix, deadline, reason);
    if (!objects)
        co_return std::nullopt;
    const std::vector<record_key> keys = sort_newest_first(*objects, vm);
    for (const record_key& item : keys)
    {
        const std::string key = fmt::format("{}/{}", item.folder, item.sequence);
        const auto object = co_await m_store.read(key, deadline, reason);
        // The object was deleted after the listing.
        if (!object && reason.kind == base::error_kind::not_found)
            continue;
        if (!object)
            co_return std::nullopt;
        auto record = find_in_batch(object->value, request_id);
        if (record)
            co_return record;
    }
    reason = base::error(base::error_kind::not_found, "no object has it");
    co_return std::nullopt;
}

std::optional<Json::Value> live_source::answer_inspect(const Json::Value& parameters,
                                                       base::error& reason)
{
    if (!configuration::is_credential_valid(m_settings.operator_credential,
                                            parameters["credential"].asString()))
        return base::fail(reason, base::error_kind::permission_denied,
                          "the credential is missing or wrong; give all agents the same "
                          "--operator-credential");
    Json::Value inspect_parameters;
    if (parameters.isMember("request"))
        inspect_parameters["request"] = parameters["request"].asString();
    else
        inspect_parameters["kind"] = parameters["kind"].asString();
    const std::string kind = inspect_parameters.get("kind", "requests").asString();
    if ((kind != "requests" && kind != "events" && kind != "upstreams" && kind != "vms") ||
        (inspect_parameters.isMember("request") &&
         !is_request_id(inspect_parameters["request"].asString())))
        return base::fail(reason, base::error_kind::invalid_argument,
                          "inspect needs a kind (requests, events, upstreams or vms) or the id of "
                          "a request");
    const auto deadline = std::chrono::steady_clock::now() + entry_timeout;
    const auto result = std::make_shared<Json::Value>();
    auto finished = asio::co_spawn(
        asio::make_strand(m_context),
        [this, result, inspect_parameters, deadline]() -> asio::awaitable<void>
        { *result = co_await inspect_local(inspect_parameters, deadline); },
        asio::use_future);
    if (finished.wait_until(deadline + timeout_grace) != std::future_status::ready)
        return base::fail(reason, base::error_kind::timeout,
                          "this VM's entry did not answer in time; ask again");
    return *result;
}

} // namespace ospreystair::agent
