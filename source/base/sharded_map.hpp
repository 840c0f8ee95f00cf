// A hash map with lock striping: each stripe has its own lock, so that threads that use different
// keys rarely wait for each other.

#ifndef OSPREYSTAIR_BASE_SHARDED_MAP_HPP
#define OSPREYSTAIR_BASE_SHARDED_MAP_HPP

#include <array>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ospreystair::base
{

/// Thread-safe map of `Key` to `Value`.
template<class Key, class Value, std::size_t StripeCount = 16>
class sharded_map
{
public:
    /// Inserts or replaces the value of `key`.
    void assign(const Key& key, Value value)
    {
        lock_stripe& stripe = stripe_of(key);
        const std::scoped_lock lock(stripe.mutex);
        stripe.values.insert_or_assign(key, std::move(value));
    }

    /// Returns a copy of the value of `key`, if there is one.
    std::optional<Value> find(const Key& key) const
    {
        const lock_stripe& stripe = stripe_of(key);
        const std::scoped_lock lock(stripe.mutex);
        const auto position = stripe.values.find(key);
        if (position == stripe.values.end())
            return std::nullopt;
        return position->second;
    }

    /// Calls `change` with the value of `key`, which `make` creates first if it is absent, and
    /// returns the result of `change`. Both run under the stripe's lock and must not call this map.
    template<class Make, class Change>
    auto update(const Key& key, Make make, Change change)
    {
        lock_stripe& stripe = stripe_of(key);
        const std::scoped_lock lock(stripe.mutex);
        auto position = stripe.values.find(key);
        if (position == stripe.values.end())
            position = stripe.values.emplace(key, make()).first;
        return change(position->second);
    }

    /// Removes `key`; returns whether it was there.
    bool erase(const Key& key)
    {
        lock_stripe& stripe = stripe_of(key);
        const std::scoped_lock lock(stripe.mutex);
        return stripe.values.erase(key) != 0;
    }

    /// Returns a copy of all entries. Stripes are read one after the other, so that the copy is not
    /// a snapshot of one moment.
    std::vector<std::pair<Key, Value>> copy_all() const
    {
        std::vector<std::pair<Key, Value>> entries;
        for (const lock_stripe& stripe : m_stripes)
        {
            const std::scoped_lock lock(stripe.mutex);
            entries.insert(entries.end(), stripe.values.begin(), stripe.values.end());
        }
        return entries;
    }

private:
    struct lock_stripe
    {
        mutable std::mutex mutex;
        // Guarded by `mutex`.
        std::unordered_map<Key, Value> values;
    };

    lock_stripe& stripe_of(const Key& key)
    {
        return m_stripes[std::hash<Key>{}(key) % StripeCount];
    }
    const lock_stripe& stripe_of(const Key& key) const
    {
        return m_stripes[std::hash<Key>{}(key) % StripeCount];
    }

    std::array<lock_stripe, StripeCount> m_stripes;
};

} // namespace ospreystair::base

#endif
