// Runs callers' queries and records their outcome.

#ifndef OSPREYSTAIR_PROGRAMS_ENTRY_QUERY_SERVICE_HPP
#define OSPREYSTAIR_PROGRAMS_ENTRY_QUERY_SERVICE_HPP

#include <memory>
#include <string>

#include "http/server.hpp"
#include "programs/entry/entry_context.hpp"
#include "query/query_run.hpp"

namespace ospreystair::entry
{

/// Serves the query path of callers. Thread-safe.
class query_service
{
public:
    explicit query_service(entry_context& context);

    /// Runs one query. Call it on the strand of the caller's connection.
    http::awaitable<http::response> answer(std::string service_name, const http::request& message,
                                           std::shared_ptr<http::exchange_context> exchange);

private:
    using run_type =
        query::query_run<query::upstream_client, query_decisions, base::steady_clock_source>;

    http::awaitable<std::shared_ptr<run_type>>
    run_once(const run_type::task& task, query_decisions decisions,
             std::shared_ptr<http::exchange_context> exchange);
    http::awaitable<std::optional<query::pinned_snapshot>>
    find_newer_snapshot(const query::pinned_snapshot& old, base::time_point restart_deadline);
    http::response refuse(query::request_record record, const base::error& reason);
    void store_record(query::request_record record, const run_type& run, base::time_point start);

    entry_context& m_context;
    observe::latency_histogram& m_latency;
    observe::counter& m_answered_count;
    observe::counter& m_partial_count;
    observe::counter& m_refused_count;
    observe::counter& m_cancelled_count;
    observe::counter& m_restart_count;
};

} // namespace ospreystair::entry

#endif
