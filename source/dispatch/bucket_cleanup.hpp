// Deletes claim buckets whose keys no VM accepts any more.

#ifndef OSPREYSTAIR_DISPATCH_BUCKET_CLEANUP_HPP
#define OSPREYSTAIR_DISPATCH_BUCKET_CLEANUP_HPP

#include <cstddef>
#include <optional>
#include <string>

#include "dispatch/dispatch_clock.hpp"
#include "dispatch/idempotency_key.hpp"
#include "objects/object_store.hpp"

namespace ospreystair::dispatch
{

/// Deletes at most `max_deletions` expired buckets, one call each, until the deadline and returns
/// how many. A bucket that another VM deletes or that fails is left to the next call. Fails when
/// the listing fails.
template<objects::object_store Store, dispatch_clock Clock>
http::awaitable<std::optional<std::size_t>>
delete_expired_buckets(Store& store, const Clock& clock, std::size_t max_deletions,
                       base::time_point deadline, base::error& reason)
{
    const auto listed = co_await store.list(std::string(claims_prefix), deadline, reason);
    if (!listed)
        co_return std::nullopt;
    std::size_t count = 0;
    for (const objects::listed_object& item : *listed)
    {
        if (count >= max_deletions || clock.now() >= deadline)
            break;
        if (!is_expired_bucket(item.key, clock.unix_time()))
            continue;
        base::error ignored;
        const auto status = co_await store.erase(item.key, item.version, deadline, ignored);
        if (status == objects::write_status::applied)
            ++count;
    }
    co_return count;
}

} // namespace ospreystair::dispatch

#endif
