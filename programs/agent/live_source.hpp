// Gathers live state for operators: from this VM's entry, from the agents of the other VMs, and
// from the durable records in the platform.

#ifndef OSPREYSTAIR_PROGRAMS_AGENT_LIVE_SOURCE_HPP
#define OSPREYSTAIR_PROGRAMS_AGENT_LIVE_SOURCE_HPP

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <json/json.h>

#include "agent_settings.hpp"
#include "agent_state.hpp"
#include "base/clock.hpp"
#include "base/error.hpp"
#include "http/asio.hpp"
#include "objects/http_object_store.hpp"
#include "observe/event_log.hpp"
#include "operators/live_inquiry_executor.hpp"
#include "record_writer.hpp"

namespace ospreystair::agent
{

/// Satisfies operators::live_source. Thread-safe; gather() and find_request() must run on a strand,
/// which the calls that they start share.
class live_source
{
public:
    /// All references must outlive the source and its calls.
    live_source(http::asio::io_context& context, objects::http_object_store& store,
                const agent_settings& settings, agent_state& state, record_writer& records,
                observe::event_log& events);

    /// Asks this VM and all live members in parallel. VMs that were declared failed are not asked
    /// and are reported as missing, as are those whose answer is absent or incomplete.
    http::awaitable<std::optional<operators::gathered_rows>>
    gather(operators::row_kind kind, base::time_point deadline, base::error& reason);

    /// Asks the VM that the id names, then searches the durable records. Fails with
    /// invalid_argument, not_found, or the reason for which the records could not be read.
    http::awaitable<std::optional<Json::Value>>
    find_request(std::string request_id, base::time_point deadline, base::error& reason);

    /// Answers the method `inspect` of another agent: `{"rows":[…],"complete":…}` for `kind`, or
    /// `{"record":…,"complete":…}` for `request`. Blocks; must not be called on a network thread.
    std::optional<Json::Value> answer_inspect(const Json::Value& parameters, base::error& reason);

private:
    // State of one call of gather().
    struct gather_operation;

    // Answers from this VM's entry, pending records and events. Here and below, `parameters` are
    // those of `inspect`, without the credential.
    http::awaitable<Json::Value> inspect_local(Json::Value parameters, base::time_point deadline);
    http::awaitable<std::optional<Json::Value>>
    inspect_peer(settings::socket_address peer, Json::Value parameters, base::time_point deadline);
    // Adds the rows of one member to `operation`, or names the member as missing.
    http::awaitable<void> inspect_member(std::shared_ptr<gather_operation> operation,
                                         configuration::member member, Json::Value parameters,
                                         base::time_point deadline);
    http::awaitable<std::optional<Json::Value>>
    ask_entry(std::string target, base::time_point deadline, base::error& reason);
    http::awaitable<std::optional<Json::Value>> find_durable_record(std::string vm,
                                                                    std::string request_id,
                                                                    base::time_point deadline,
                                                                    base::error& reason);
    // Adds the elements of `list` as rows with this VM's name and data centre.
    void add_rows(Json::Value& rows, const Json::Value& list, const char* process) const;
    std::optional<configuration::member> find_live_member(const std::string& vm) const;

    http::asio::io_context& m_context;
    objects::http_object_store& m_store;
    const agent_settings m_settings;
    agent_state& m_state;
    record_writer& m_records;
    observe::event_log& m_events;
};

} // namespace ospreystair::agent

#endif
