// Claims commands in the platform before they are dispatched, with many claims in one write.

#ifndef OSPREYSTAIR_DISPATCH_CLAIM_LEDGER_HPP
#define OSPREYSTAIR_DISPATCH_CLAIM_LEDGER_HPP

#include <algorithm>
#include <array>
#include <atomic>
#include <cassert>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "base/identifier.hpp"
#include "base/random.hpp"
#include "dispatch/claim_bucket.hpp"
#include "dispatch/completion.hpp"
#include "dispatch/dispatch_clock.hpp"
#include "dispatch/dispatch_permit.hpp"
#include "objects/object_store.hpp"

namespace ospreystair::dispatch
{

/// Either the permission to dispatch, or the claim of an earlier request with the same key.
struct claim_result
{
    std::optional<dispatch_permit> permit;
    /// Set when there is no permit. If it has no result, the earlier command may still be running
    /// and its outcome is unknown.
    std::optional<claim_record> earlier_claim;
};

/// Limits of the ledger's calls to the platform.
struct ledger_options
{
    /// Timeout of one call; it is unknown whether a write that is not answered by then is applied.
    std::chrono::milliseconds call_timeout{500};
    /// Upper limits of the random backoff after a conflict and after a failed call.
    std::chrono::milliseconds max_conflict_backoff{20};
    std::chrono::milliseconds max_failure_backoff{100};
    /// How long the ledger tries to release the claim of an abandoned attempt, so that the command
    /// can be repeated.
    std::chrono::milliseconds release_timeout{10'000};
    /// A bucket that was not read or written for this long is read again before its next write.
    std::chrono::milliseconds max_document_age{10};
    /// The state of a bucket without operations is dropped after this time.
    std::chrono::milliseconds idle_timeout{60'000};
};

/// Totals since the ledger was created.
struct ledger_counts
{
    std::atomic<std::uint64_t> reads{0};
    std::atomic<std::uint64_t> writes{0};
    std::atomic<std::uint64_t> conflicts{0};
    std::atomic<std::uint64_t> unknown_writes{0};
    std::atomic<std::uint64_t> won_claims{0};
    std::atomic<std::uint64_t> abandoned_claims{0};
};

/// Decides which attempt may dispatch a command. Thread-safe.
///
/// Each bucket has at most one call to the platform in flight; operations that arrive meanwhile
/// join the next write. A claim is won only when the store confirmed the write that contains its
/// token, or when the token was read back. A write without an answer may still be applied later, as
/// long as the object keeps the version that the write expects. It is known not to be applied only
/// when the object is seen at a higher version without the token; the ledger forces a higher
/// version by a further write that expects the same version.
///
/// A claim whose deadline passes is abandoned under the lock that also guards the creation of
/// permits, so that it never gets one. If its token may be stored, the ledger releases the claim
/// afterwards.
template<class Store, class Clock, class Random>
class claim_ledger : public std::enable_shared_from_this<claim_ledger<Store, Clock, Random>>
{
    static_assert(objects::object_store<Store>);
    static_assert(dispatch_clock<Clock>);
    static_assert(base::random_source<Random>);

public:
    /// `store` and `clock` must outlive the ledger and its calls. The incarnation in `identity`
    /// makes tokens differ across restarts, and the random source makes them differ across the
    /// ledgers of one process.
    static std::shared_ptr<claim_ledger> create(http::asio::any_io_executor executor, Store& store,
                                                const Clock& clock, Random random,
                                                const base::process_identity& identity,
                                                ledger_options options = {})
    {
        return std::shared_ptr<claim_ledger>(new claim_ledger(
            std::move(executor), store, clock, std::move(random), identity, options));
    }

    /// Claims the right to dispatch the command of `key`, or returns what is recorded for it. When
    /// it fails, the command was not and will not be dispatched by this attempt. Fails with
    /// invalid_argument (age of the key), overloaded, unreachable, timeout or protocol.
    http::awaitable<std::optional<claim_result>> claim(idempotency_key key, std::string request_id,
                                                       base::time_point deadline,
                                                       base::error& reason)
    {
        const auto self = this->shared_from_this();
        if (!key.check_age(m_clock.unix_time(), reason))
            co_return std::nullopt;
        auto item = std::make_shared<operation>(m_executor, std::move(key), deadline);
        item->is_claim = true;
        item->request_id = std::move(request_id);
        item->token = make_token();
        enqueue(item);
        co_await item->done->wait_until(deadline);
        co_return settle_claim(item, reason);
    }

    /// Records how a claimed command ended; not_run releases the claim. Returns whether the record
    /// is known to be stored; if not, repeats may see the command as unknown. After not_run the
    /// command must not be dispatched any more.
    http::awaitable<bool> record_outcome(claim_handle claim, outcome result,
                                         std::optional<std::string> answer,
                                         base::time_point deadline, base::error& reason)
    {
        const auto self = this->shared_from_this();
        auto item = std::make_shared<operation>(m_executor, std::move(claim.key), deadline);
        item->token = std::move(claim.token);
        item->result = result;
        item->answer = std::move(answer);
        enqueue(item);
        co_await item->done->wait_until(deadline);
        const std::scoped_lock lock(stripe_of(item->bucket).mutex);
        if (item->state == operation_state::stored)
            co_return true;
        item->is_abandoned = true;
        reason = item->state == operation_state::failed ? item->reason : timeout_reason(*item);
        co_return false;
    }

    const ledger_counts& counts() const { return m_counts; }

private:
    enum class operation_state
    {
        waiting,          ///< Not decided yet.
        stored,           ///< The claim or outcome is known to be in the bucket.
        claimed_by_other, ///< Another attempt has claimed the key.
        failed            ///< Known to have had no effect.
    };

    /// A claim or the record of an outcome. The members before `state` do not change once the
    /// operation is queued.
    struct operation
    {
        operation(const http::asio::any_io_executor& executor, idempotency_key claim_key,
                  base::time_point operation_deadline)
            : key(std::move(claim_key)), bucket(key.bucket()), deadline(operation_deadline),
              done(std::make_shared<completion>(executor))
        {
        }

        idempotency_key key;
        std::string bucket;
        base::time_point deadline;
        std::shared_ptr<completion> done;
        bool is_claim = false;
        std::string token;
        std::string request_id;
        outcome result = outcome::unknown;
        std::optional<std::string> answer;

        // Guarded by the stripe's mutex.
        operation_state state = operation_state::waiting;
        // No coroutine waits for the result any more. Once set, no permit is created.
        bool is_abandoned = false;
        // A write that contains the token may have been applied or may still be.
        bool may_be_stored = false;
        claim_record earlier_claim;
        base::error reason;
    };
    using operation_pointer = std::shared_ptr<operation>;

    /// A claim that must be released because its attempt was abandoned.
    struct pending_release
    {
        std::string key;
        base::time_point expires_at;
    };

    struct bucket_state
    {
        // Guarded by the stripe's mutex.
        std::vector<operation_pointer> queue;
        std::map<std::string, pending_release> pending_releases; // by token
        bool is_running = false;
        base::time_point last_used;

        // Used only by run_bucket(), which runs at most once at a time for each bucket. Without a
        // document the bucket must be read first.
        std::optional<claim_bucket> document;
        std::uint64_t version = 0;
        // When the document was last known to equal the stored object.
        base::time_point document_confirmed_at{};
        unsigned consecutive_failures = 0;
    };

    // Buckets that share one mutex.
    struct lock_stripe
    {
        std::mutex mutex;
        // Guarded by `mutex`.
        std::unordered_map<std::string, std::shared_ptr<bucket_state>> buckets;
    };

    /// The operations that run_bucket() handles in one iteration, with at most one write.
    struct write_batch
    {
        std::vector<operation_pointer> operations;
        std::map<std::string, pending_release> pending_releases;
        // Operations that are part of the next write.
        std::vector<operation_pointer> included;
        // Claims in the next write that are not in an earlier unresolved one.
        std::vector<operation_pointer> newly_sent;
        // Operations that are left to the next batch.
        std::vector<operation_pointer> deferred;
        // The bucket was read for this batch.
        bool is_refreshed = false;
        // The bucket must be read before it is written again.
        bool needs_refresh = false;
    };

    static constexpr std::size_t stripe_count = 16;
    static constexpr std::chrono::milliseconds retry_hint{1'000};

    claim_ledger(http::asio::any_io_executor executor, Store& store, const Clock& clock,
                 Random random, const base::process_identity& identity, ledger_options options)
        : m_executor(std::move(executor)), m_store(store), m_clock(clock), m_options(options),
          m_random(std::move(random)),
          m_token_prefix(
              fmt::format("{}-{}-{}-", identity.vm,
                          base::to_base36(static_cast<std::uint64_t>(identity.incarnation.count())),
                          base::to_base36(m_random.below(std::uint64_t{1} << 40))))
    {
    }

    lock_stripe& stripe_of(const std::string& bucket)
    {
        return m_stripes[std::hash<std::string>{}(bucket) % stripe_count];
    }

    std::string make_token()
    {
        return m_token_prefix +
               base::to_base36(m_token_counter.fetch_add(1, std::memory_order_relaxed));
    }

    static base::error timeout_reason(const operation& item)
    {
        return {base::error_kind::timeout,
                item.is_claim ? "the claim was not confirmed in time and this attempt was not run; "
                                "send it again"
                              : "the outcome was not confirmed as stored in time; repeats may see "
                                "the command as unknown",
                retry_hint};
    }

    void enqueue(const operation_pointer& item)
    {
        lock_stripe& stripe = stripe_of(item->bucket);
        const std::scoped_lock lock(stripe.mutex);
        auto position = stripe.buckets.find(item->bucket);
        if (position == stripe.buckets.end())
        {
            drop_idle_buckets(stripe);
            position = stripe.buckets.emplace(item->bucket, std::make_shared<bucket_state>()).first;
        }
        position->second->queue.push_back(item);
        ensure_running(item->bucket, position->second);
    }

    // The stripe's mutex must be held.
    void drop_idle_buckets(lock_stripe& stripe)
    {
        const base::time_point limit = m_clock.now() - m_options.idle_timeout;
        std::erase_if(stripe.buckets, [limit](const auto& item)
                      { return !item.second->is_running && item.second->last_used < limit; });
    }

    // The stripe's mutex must be held.
    void ensure_running(const std::string& bucket, const std::shared_ptr<bucket_state>& state)
    {
        state->last_used = m_clock.now();
        if (std::exchange(state->is_running, true))
            return;
        http::asio::co_spawn(
            m_executor,
            [self = this->shared_from_this(), bucket, state]
            { return self->run_bucket(bucket, state); },
            http::asio::detached);
    }

    // Returns the result of a claim after the wait for it; abandons a claim that was not won in
    // time.
    std::optional<claim_result> settle_claim(const operation_pointer& item, base::error& reason)
    {
        lock_stripe& stripe = stripe_of(item->bucket);
        const std::scoped_lock lock(stripe.mutex);
        reason = {};
        if (item->state == operation_state::claimed_by_other)
            return claim_result{std::nullopt, item->earlier_claim};
        if (item->state == operation_state::failed)
        {
            reason = item->reason;
            return std::nullopt;
        }
        // The age is checked again: if this VM was paused since the first check, the key's bucket
        // may have been deleted meanwhile, and the claim with it.
        if (item->state == operation_state::stored && m_clock.now() < item->deadline &&
            item->key.check_age(m_clock.unix_time(), reason))
        {
            m_counts.won_claims.fetch_add(1, std::memory_order_relaxed);
            return claim_result{dispatch_permit(claim_handle{item->key, item->token}),
                                std::nullopt};
        }
        item->is_abandoned = true;
        m_counts.abandoned_claims.fetch_add(1, std::memory_order_relaxed);
        const auto position = stripe.buckets.find(item->bucket);
        if (item->may_be_stored && position != stripe.buckets.end())
        {
            schedule_release(*position->second, *item);
            ensure_running(item->bucket, position->second);
        }
        if (reason.kind == base::error_kind::none)
            reason = timeout_reason(*item);
        return std::nullopt;
    }

    // The stripe's mutex must be held.
    void schedule_release(bucket_state& state, const operation& item)
    {
        state.pending_releases.insert_or_assign(
            item.token,
            pending_release{item.key.text(), m_clock.now() + m_options.release_timeout});
    }

    http::awaitable<void> run_bucket(std::string bucket, std::shared_ptr<bucket_state> state)
    {
        write_batch batch;
        while (collect_batch(bucket, *state, batch))
        {
            if (!state->document || batch.needs_refresh || is_stale(*state))
            {
                if (!co_await refresh(bucket, *state, batch))
                {
                    co_await back_off(*state, m_options.max_failure_backoff);
                    continue;
                }
            }
            claim_bucket candidate = *state->document;
            apply(bucket, *state, candidate, batch);
            if (batch.included.empty() && batch.pending_releases.empty())
                continue;
            co_await store_candidate(bucket, *state, std::move(candidate), batch);
        }
    }

    // Returns whether another VM has probably changed the bucket since it was read. A write would
    // then fail and be repeated; a read costs less, since the platform allows four times as many
    // reads as writes.
    bool is_stale(const bucket_state& state) const
    {
        return m_clock.now() - state.document_confirmed_at > m_options.max_document_age;
    }

    // Collects deferred and new operations. Returns false when there are none, which ends
    // run_bucket().
    bool collect_batch(const std::string& bucket, bucket_state& state, write_batch& batch)
    {
        const bool needs_refresh = batch.needs_refresh;
        std::vector<operation_pointer> operations = std::move(batch.deferred);
        batch = write_batch{};
        batch.needs_refresh = needs_refresh;
        const base::time_point now = m_clock.now();
        const std::scoped_lock lock(stripe_of(bucket).mutex);
        operations.insert(operations.end(), state.queue.begin(), state.queue.end());
        state.queue.clear();
        std::erase_if(operations, [](const operation_pointer& item) { return item->is_abandoned; });
        std::erase_if(state.pending_releases,
                      [now](const auto& item) { return item.second.expires_at <= now; });
        batch.operations = std::move(operations);
        batch.pending_releases = state.pending_releases;
        if (!batch.operations.empty() || !batch.pending_releases.empty())
            return true;
        state.is_running = false;
        state.last_used = now;
        if (batch.needs_refresh)
            state.document.reset();
        return false;
    }

    // Reads the bucket. If that fails, fails or defers all operations and returns false.
    http::awaitable<bool> refresh(const std::string& bucket, bucket_state& state,
                                  write_batch& batch)
    {
        base::error reason;
        m_counts.reads.fetch_add(1, std::memory_order_relaxed);
        const base::time_point deadline = m_clock.now() + m_options.call_timeout;
        auto object = co_await m_store.read(bucket, deadline, reason);
        if (!object && reason.kind == base::error_kind::not_found)
            object = objects::stored_object{};
        std::optional<claim_bucket> document;
        if (object && object->version == 0)
            document.emplace();
        else if (object)
            document = claim_bucket::from_text(object->value, reason);
        if (!document)
        {
            state.document.reset();
            fail_or_defer(bucket, batch, batch.operations, reason);
            co_return false;
        }
        if (object->version != 0 && object->version < state.version)
        {
            base::fail(reason, base::error_kind::protocol,
                       "the platform returned an older version of a claim bucket than before; the "
                       "command was not run; report it to the platform");
            fail_or_defer(bucket, batch, batch.operations, reason);
            co_return false;
        }
        if (object->version != state.version)
            resolve_earlier_writes(bucket, *document, batch);
        state.document = std::move(document);
        state.document_confirmed_at = m_clock.now();
        state.version = object->version;
        batch.is_refreshed = true;
        batch.needs_refresh = false;
        co_return true;
    }

    // The object no longer has the version that earlier writes expected, so that these can no
    // longer be applied: a claim that is not in the document now will not appear in it later.
    void resolve_earlier_writes(const std::string& bucket, const claim_bucket& document,
                                write_batch& batch)
    {
        const std::scoped_lock lock(stripe_of(bucket).mutex);
        for (const operation_pointer& item : batch.operations)
        {
            const claim_record* const found = document.find(item->key.text());
            item->may_be_stored = found != nullptr && found->token == item->token;
        }
    }

    // Fails claims without an unresolved write at once, and defers the other operations.
    void fail_or_defer(const std::string& bucket, write_batch& batch,
                       const std::vector<operation_pointer>& operations, const base::error& reason)
    {
        const std::scoped_lock lock(stripe_of(bucket).mutex);
        for (const operation_pointer& item : operations)
            if (item->is_claim && !item->may_be_stored)
                finish(*item, operation_state::failed, reason);
            else
                batch.deferred.push_back(item);
    }

    // The stripe's mutex must be held.
    static void finish(operation& item, operation_state state, base::error reason = {})
    {
        item.state = state;
        if (!reason.retry_after)
            reason.retry_after = retry_hint;
        item.reason = std::move(reason);
        item.done->set();
    }

    // Applies the batch's operations to the candidate, and finishes those that need no write.
    void apply(const std::string& bucket, bucket_state& state, claim_bucket& candidate,
               write_batch& batch)
    {
        for (const auto& [token, item] : batch.pending_releases)
            candidate.record(item.key, token, outcome::not_run, std::nullopt);
        // The lock is held throughout, so that either an operation is abandoned before it enters
        // the write, or settle_claim() sees that it may be stored.
        const std::scoped_lock lock(stripe_of(bucket).mutex);
        std::set<std::string> added_tokens;
        for (const operation_pointer& item : batch.operations)
            if (item->is_abandoned)
                continue;
            else if (item->is_claim)
                apply_claim(item, state, candidate, added_tokens, batch);
            else
                apply_outcome(item, candidate, batch);
    }

    // The stripe's mutex must be held.
    void apply_claim(const operation_pointer& item, bucket_state& state, claim_bucket& candidate,
                     std::set<std::string>& added_tokens, write_batch& batch)
    {
        const claim_record* const found = candidate.find(item->key.text());
        if (found == nullptr)
        {
            if (candidate.add(item->key.text(), {item->token, item->request_id, {}, {}}))
            {
                added_tokens.insert(item->token);
                batch.included.push_back(item);
                if (!std::exchange(item->may_be_stored, true))
                    batch.newly_sent.push_back(item);
                return;
            }
            if (item->may_be_stored)
                schedule_release(state, *item);
            finish(*item, operation_state::failed,
                   {base::error_kind::overloaded,
                    "the claim bucket of this key is full and the command was not run; send it "
                    "again with a new key",
                    retry_hint});
        }
        else if (found->token == item->token)
            finish(*item, operation_state::stored);
        else if (added_tokens.contains(found->token))
            batch.deferred.push_back(item);
        else if (found->result || batch.is_refreshed)
        {
            item->earlier_claim = *found;
            finish(*item, operation_state::claimed_by_other);
        }
        else
        {
            batch.deferred.push_back(item);
            batch.needs_refresh = true;
        }
    }

    // The stripe's mutex must be held.
    void apply_outcome(const operation_pointer& item, claim_bucket& candidate, write_batch& batch)
    {
        const claim_record* const found = candidate.find(item->key.text());
        const bool is_own = found != nullptr && found->token == item->token;
        if (is_own && found->result)
        {
            if (*found->result == item->result)
                finish(*item, operation_state::stored);
            else
                finish(*item, operation_state::failed,
                       {base::error_kind::conflict,
                        "the claim has another outcome already; keep that one", std::nullopt});
        }
        else if (is_own)
        {
            candidate.record(item->key.text(), item->token, item->result, item->answer);
            batch.included.push_back(item);
        }
        else if (!batch.is_refreshed)
        {
            batch.deferred.push_back(item);
            batch.needs_refresh = true;
        }
        else if (item->result == outcome::not_run)
            finish(*item, operation_state::stored);
        else
            finish(*item, operation_state::failed,
                   {base::error_kind::not_found,
                    "the bucket has no claim of this attempt; its outcome is not recorded",
                    std::nullopt});
    }

    http::awaitable<void> store_candidate(const std::string& bucket, bucket_state& state,
                                          claim_bucket candidate, write_batch& batch)
    {
        base::error reason;
        std::uint64_t new_version = 0;
        m_counts.writes.fetch_add(1, std::memory_order_relaxed);
        std::string text = candidate.to_text();
        const base::time_point deadline = m_clock.now() + m_options.call_timeout;
        const objects::write_status status = co_await m_store.write(
            bucket, std::move(text), state.version, deadline, new_version, reason);
        if (status == objects::write_status::applied)
        {
            assert(new_version > state.version);
            state.document = std::move(candidate);
            state.document_confirmed_at = m_clock.now();
            state.version = new_version;
            state.consecutive_failures = 0;
            finish_stored(bucket, state, batch);
            co_return;
        }
        batch.needs_refresh = true;
        if (status == objects::write_status::unknown)
            m_counts.unknown_writes.fetch_add(1, std::memory_order_relaxed);
        else
            mark_not_stored(bucket, batch);
        if (status == objects::write_status::refused)
            fail_or_defer(bucket, batch, batch.included, reason);
        else
            batch.deferred.insert(batch.deferred.end(), batch.included.begin(),
                                  batch.included.end());
        const bool is_conflict = status == objects::write_status::conflict;
        if (is_conflict)
            m_counts.conflicts.fetch_add(1, std::memory_order_relaxed);
        co_await back_off(state, is_conflict ? m_options.max_conflict_backoff
                                             : m_options.max_failure_backoff);
    }

    // The write was not applied: claims that are not in an earlier unresolved write are not stored.
    void mark_not_stored(const std::string& bucket, const write_batch& batch)
    {
        const std::scoped_lock lock(stripe_of(bucket).mutex);
        for (const operation_pointer& item : batch.newly_sent)
            item->may_be_stored = false;
    }

    void finish_stored(const std::string& bucket, bucket_state& state, write_batch& batch)
    {
        const std::scoped_lock lock(stripe_of(bucket).mutex);
        for (const auto& [token, item] : batch.pending_releases)
            state.pending_releases.erase(token);
        for (const operation_pointer& item : batch.included)
            finish(*item, operation_state::stored);
    }

    http::awaitable<void> back_off(bucket_state& state, std::chrono::milliseconds max_backoff)
    {
        constexpr unsigned max_doublings = 5;
        const auto limit = std::min<std::chrono::microseconds>(
            std::chrono::milliseconds{1U << std::min(state.consecutive_failures, max_doublings)},
            max_backoff);
        ++state.consecutive_failures;
        std::uint64_t backoff_us = 0;
        {
            const std::scoped_lock lock(m_random_mutex);
            backoff_us = m_random.below(static_cast<std::uint64_t>(limit.count()) + 1);
        }
        co_await pause(std::chrono::microseconds{backoff_us});
    }

    const http::asio::any_io_executor m_executor;
    Store& m_store;
    const Clock& m_clock;
    const ledger_options m_options;
    std::mutex m_random_mutex;
    // Guarded by m_random_mutex after construction.
    Random m_random;
    const std::string m_token_prefix;
    std::atomic<std::uint64_t> m_token_counter{0};
    std::array<lock_stripe, stripe_count> m_stripes;
    ledger_counts m_counts;
};

} // namespace ospreystair::dispatch

#endif
