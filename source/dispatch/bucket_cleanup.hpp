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

/// Deletes at most `max_deletions` expired buckets, with one call to the store each, until the
/// deadline. Returns how many were deleted. A bucket that another VM has changed or deleted
/// meanwhile, or whose deletion fails, is left to the next call. Fails when the buckets cannot be
/// listed.
template<objects::object_store Store, dispatch_clock Clock>
http::awaitable<std::optional<std::size_t>>
delete_expired_buckets(Store& store, const Clock& clock, std::size_t max_deletions,
                       base::time_point deadline, base::error& reason)
{
    const auto listed = co_await store.list(std::string(claims_prefix), deadline, reason);
    if (!listed)
        co_return std::nullopt;
    std::size_t deleted_count = 0;
    for (const objects::listed_object& item : *listed)
    {
        if (deleted_count >= max_deletions || clock.now() >= deadline)
            break;
        if (!is_expired_bucket(item.key, clock.unix_time()))
            continue;
        base::error ignored;
        const auto status = co_await store.erase(item.key, item.version, deadline, ignored);
        if (status == objects::write_status::applied)
            ++deleted_count;
    }
    co_return deleted_count;
}

} // namespace ospreystair::dispatch

#endif
