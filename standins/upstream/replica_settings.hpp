// Initial settings of a replica, as given in the --replicas setting.

#ifndef OSPREYSTAIR_STANDINS_UPSTREAM_REPLICA_SETTINGS_HPP
#define OSPREYSTAIR_STANDINS_UPSTREAM_REPLICA_SETTINGS_HPP

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/error.hpp"
#include "settings/option_table.hpp"

namespace ospreystair::standin_upstream
{

/// One entry of --replicas. The other properties of a replica are set through the control port.
struct replica_settings
{
    std::string name;
    settings::socket_address address;
    std::vector<std::string> shards;
    std::uint64_t version = 1;
    std::size_t slots = 2;
    std::size_t queue = 16;
    std::size_t connections = 25;
    double connect_ms = 0;
    double base_ms = 1;
};

/// Parses `name=a,address=127.0.0.1:9000,shards=s0+s1,slots=2;name=b,…`.
/// Fails with invalid_settings.
std::optional<std::vector<replica_settings>> parse_replicas(const std::string& text,
                                                            base::error& reason);

} // namespace ospreystair::standin_upstream

#endif
