// Answers commands of callers: claims each key in the platform, dispatches it at most once and
// reports whether it ran.

#ifndef OSPREYSTAIR_PROGRAMS_ENTRY_COMMAND_SERVICE_HPP
#define OSPREYSTAIR_PROGRAMS_ENTRY_COMMAND_SERVICE_HPP

#include <atomic>
#include <memory>
#include <string>

#include "dispatch/claim_ledger.hpp"
#include "dispatch/dispatch_clock.hpp"
#include "http/server.hpp"
#include "objects/http_object_store.hpp"
#include "programs/entry/command_sender.hpp"
#include "programs/entry/entry_context.hpp"

namespace ospreystair::entry
{

/// Serves the command path of callers. Thread-safe.
class command_service
{
public:
    command_service(entry_context& context, std::unique_ptr<objects::http_object_store> store);

    /// Runs one command. It continues when the caller disconnects, because its outcome must be
    /// recorded.
    http::awaitable<http::response> answer(std::string service_name, const http::request& message,
                                           std::shared_ptr<http::exchange_context> exchange);

    /// Number of outcomes that are not stored yet; a graceful stop waits for them.
    std::size_t unrecorded_count() const { return m_unrecorded_count.load(); }

private:
    using ledger_type =
        dispatch::claim_ledger<objects::http_object_store, dispatch::system_dispatch_clock,
                               base::seeded_random>;

    // A request that has passed its checks.
    struct checked_command
    {
        std::shared_ptr<const configuration::view> view;
        const configuration::service* service = nullptr;
        const configuration::shard* shard = nullptr;
        std::optional<dispatch::idempotency_key> key;
        base::time_point deadline{};
    };

    std::optional<checked_command> check(const std::string& service_name,
                                         const http::request& message, base::time_point start,
                                         base::error& reason) const;
    http::awaitable<std::optional<dispatch::claim_result>>
    claim(const checked_command& command, const std::string& request_id, base::error& reason);
    http::awaitable<command_result> dispatch_claimed(const checked_command& command,
                                                     const std::string& request_id,
                                                     std::string body,
                                                     dispatch::dispatch_permit permit);
    http::awaitable<void> record(dispatch::claim_handle claim, dispatch::outcome result,
                                 std::string answer);
    void record_in_background(dispatch::claim_handle claim, dispatch::outcome result,
                              std::string answer);
    http::response answer_repeat(const std::string& request_id,
                                 const dispatch::claim_record& earlier_claim);
    http::response answer_result(const std::string& request_id, const command_result& result);
    http::response finish(query::request_record record, base::time_point start,
                          http::response reply);

    entry_context& m_context;
    const std::unique_ptr<objects::http_object_store> m_store;
    const dispatch::system_dispatch_clock m_dispatch_clock{};
    const std::shared_ptr<ledger_type> m_ledger;
    command_sender m_sender;
    std::atomic<std::size_t> m_unrecorded_count{0};
    // Claims are refused without a call until this time, in ticks of the steady clock, because the
    // platform did not answer.
    std::atomic<base::duration::rep> m_platform_retry_at{0};
    observe::latency_histogram& m_latency;
    observe::latency_histogram& m_claim_latency;
};

} // namespace ospreystair::entry

#endif
