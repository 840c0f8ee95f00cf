// State shared by the services of the entry program.

#ifndef OSPREYSTAIR_PROGRAMS_ENTRY_ENTRY_CONTEXT_HPP
#define OSPREYSTAIR_PROGRAMS_ENTRY_ENTRY_CONTEXT_HPP

#include <atomic>

#include "base/clock.hpp"
#include "base/identifier.hpp"
#include "http/asio.hpp"
#include "observe/event_log.hpp"
#include "observe/metrics.hpp"
#include "programs/entry/admission_gate.hpp"
#include "programs/entry/entry_policy.hpp"
#include "programs/entry/entry_settings.hpp"
#include "programs/entry/view_holder.hpp"
#include "query/record_store.hpp"
#include "query/upstream_client.hpp"

namespace ospreystair::entry
{

/// Lives as long as the process; every member is thread-safe.
struct entry_context
{
    entry_context(http::asio::io_context& io_context, const entry_settings& checked_settings,
                  std::uint64_t seed)
        : io(io_context), settings(checked_settings),
          log("entry", checked_settings.identity, checked_settings.level),
          identifiers(checked_settings.identity), upstreams(io_context, metrics),
          policy(clock, views, metrics, checked_settings.identity, seed), admission(clock, metrics)
    {
    }

    http::asio::io_context& io;
    const entry_settings settings;
    observe::event_log log;
    observe::metrics metrics;
    base::identifier_factory identifiers;
    base::steady_clock_source clock;
    view_holder views;
    query::record_store records;
    query::upstream_client upstreams;
    entry_policy policy;
    admission_gate admission;
    /// False once a graceful stop has begun.
    std::atomic<bool> is_serving{true};
};

} // namespace ospreystair::entry

#endif
