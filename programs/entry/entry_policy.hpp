// Binds the routing decisions to the process: which replica a sub-request goes to, and when it is
// retried or hedged.

#ifndef OSPREYSTAIR_PROGRAMS_ENTRY_ENTRY_POLICY_HPP
#define OSPREYSTAIR_PROGRAMS_ENTRY_ENTRY_POLICY_HPP

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.hpp"
#include "base/error.hpp"
#include "base/random.hpp"
#include "base/sharded_map.hpp"
#include "programs/entry/view_holder.hpp"
#include "query/pinned_snapshot.hpp"
#include "query/sub_request.hpp"

namespace ospreystair::entry
{

/// Satisfies query::query_policy. Thread-safe.
class entry_policy
{
public:
    entry_policy(view_holder& views, std::uint64_t seed);

    const configuration::replica* choose(const query::pinned_snapshot& snapshot,
                                         const std::string& shard,
                                         const std::vector<std::string>& tried,
                                         base::error& reason);
    void begin(const configuration::replica& target);
    void finish(const configuration::service& service, const configuration::replica& target,
                const query::sub_reply& reply, base::duration elapsed);
    std::optional<base::duration> hedge_delay(const configuration::service& service);
    bool take_hedge(const configuration::service& service);
    bool take_retry(const configuration::service& service, const query::sub_reply& reply);
    void note_sub_request(const configuration::service& service);

private:
    std::uint64_t in_flight(const std::string& replica_name) const;

    view_holder& m_views;
    std::atomic<std::uint64_t> m_random_state;
    base::sharded_map<std::string, std::uint64_t> m_in_flight;
};

} // namespace ospreystair::entry

#endif
