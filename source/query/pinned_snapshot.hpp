// The index version and shard list that a query uses from start to end.

#ifndef OSPREYSTAIR_QUERY_PINNED_SNAPSHOT_HPP
#define OSPREYSTAIR_QUERY_PINNED_SNAPSHOT_HPP

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/error.hpp"
#include "configuration/view.hpp"

namespace ospreystair::query
{

/// The versions that a query pins before its first sub-request. Immutable, even when newer versions
/// are published meanwhile.
class pinned_snapshot
{
public:
    /// Pins the current index version of a service. A service without a published index has
    /// version 0 and the shards of the configuration. Fails with not_found or invalid_argument.
    static std::optional<pinned_snapshot> create(std::shared_ptr<const configuration::view> view,
                                                 const std::string& service_name,
                                                 base::error& reason);

    const configuration::service& service() const { return *m_service; }
    std::uint64_t index_version() const { return m_index_version; }
    std::uint64_t configuration_version() const { return m_view->configuration_version; }
    /// The shards of the pinned version: the denominator of coverage.
    const std::vector<std::string>& shards() const { return m_shards; }
    /// The pinned configuration's entry for `shards()[index]`; null when it has none.
    const configuration::shard* shard_at(std::size_t index) const { return m_shard_entries[index]; }
    const configuration::view& view() const { return *m_view; }

private:
    pinned_snapshot() = default;
    void find_shard_entries();

    // Keeps m_service alive.
    std::shared_ptr<const configuration::view> m_view;
    const configuration::service* m_service = nullptr;
    std::uint64_t m_index_version = 0;
    std::vector<std::string> m_shards;
    // Parallel to m_shards; points into m_view.
    std::vector<const configuration::shard*> m_shard_entries;
};

} // namespace ospreystair::query

#endif
