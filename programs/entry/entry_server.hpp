// The entry process: its servers, the agent client and the graceful stop.

#ifndef OSPREYSTAIR_PROGRAMS_ENTRY_ENTRY_SERVER_HPP
#define OSPREYSTAIR_PROGRAMS_ENTRY_ENTRY_SERVER_HPP

#include <memory>
#include <optional>

#include "http/server.hpp"
#include "programs/entry/agent_client.hpp"
#include "programs/entry/command_service.hpp"
#include "programs/entry/entry_context.hpp"
#include "programs/entry/operator_service.hpp"
#include "programs/entry/query_service.hpp"

namespace ospreystair::entry
{

/// Owns everything that serves requests.
class entry_server
{
public:
    /// Binds both ports and starts serving. Fails with address_in_use or invalid_settings.
    static std::optional<std::unique_ptr<entry_server>>
    create(http::asio::io_context& io, const entry_settings& settings, base::error& reason);

    /// Serves until a stop is complete.
    void run();

private:
    entry_server(http::asio::io_context& io, const entry_settings& settings,
                 std::unique_ptr<objects::http_object_store> store);
    bool listen(base::error& reason);
    http::awaitable<http::response> route(const http::request& message,
                                          std::shared_ptr<http::exchange_context> exchange);
    void apply_view(const configuration::view& view);
    http::awaitable<void> stop_on_signal();
    http::awaitable<void> stop_gracefully();

    entry_context m_context;
    query_service m_queries;
    command_service m_commands;
    operator_service m_operators;
    agent_client m_agent;
    std::shared_ptr<http::server> m_caller_server;
    std::shared_ptr<http::server> m_operator_server;
};

} // namespace ospreystair::entry

#endif
