// Fetches events by HTTP and parses log files.

#include "event_source.hpp"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>

#include <fmt/format.h>

#include "base/clock.hpp"
#include "http/client_connection.hpp"
#include "rpc/rpc_server.hpp"

namespace ospreystair::timeline
{

namespace
{

std::optional<std::vector<operators::timeline_event>> read_events(const http::response& reply,
                                                                  base::error& reason)
{
    if (reply.result() != http::status::ok)
        return base::fail(reason, base::error_kind::protocol,
                          fmt::format("it answered {}; check that the address is an operator or "
                                      "control port",
                                      reply.result_int()));
    const auto document = rpc::parse_json(reply.body(), reason);
    if (!document)
        return std::nullopt;
    if (!document->isObject())
        return base::fail(reason, base::error_kind::protocol,
                          "its answer is not a JSON object; check that the address is an operator "
                          "or control port");
    return operators::events_from_json(*document, reason);
}

http::awaitable<void> gather_from_process(http::asio::io_context& context,
                                          settings::socket_address address,
                                          base::time_point deadline, gathered_events& target)
{
    base::error reason;
    http::request message(http::verb::get, "/events?after=0", 11);
    message.set(http::field::host, address.to_text());
    http::exchange_progress progress{};
    const auto reply =
        co_await http::exchange_once(context, http::make_endpoint(address.host, address.port),
                                     std::move(message), deadline, progress, reason);
    std::optional<std::vector<operators::timeline_event>> events;
    if (reply)
        events = read_events(*reply, reason);
    if (events)
        std::move(events->begin(), events->end(), std::back_inserter(target.events));
    else
        target.missing.push_back({address.to_text(), reason.message});
}

} // namespace

void gather_from_processes(const std::vector<settings::socket_address>& addresses,
                           std::chrono::milliseconds timeout, gathered_events& target)
{
    http::asio::io_context context;
    const base::time_point deadline = std::chrono::steady_clock::now() + timeout;
    // All coroutines run on this thread, so `target` needs no lock.
    for (const settings::socket_address& address : addresses)
        http::asio::co_spawn(context, gather_from_process(context, address, deadline, target),
                             http::asio::detached);
    context.run();
}

void gather_from_file(const std::string& path, gathered_events& target)
{
    std::ifstream file(path);
    std::string line;
    std::uint64_t number = 0;
    while (std::getline(file, line))
    {
        ++number;
        if (auto event = operators::event_from_line(line, number))
            target.events.push_back(std::move(*event));
    }
    if (number == 0 && !file.is_open())
        target.missing.push_back(
            {path, fmt::format("cannot be read: {}; check the path", std::strerror(errno))});
}

} // namespace ospreystair::timeline
