// Guards against configuration objects that crash a VM, or that are adopted with invalid routes
// or teams.

#include "platform/configuration_decoder.hpp"
#include "tests/fuzz/fuzz_target.hpp"
#include "tests/fuzz/json_input.hpp"

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace ospreystair;
    const auto input = fuzz::read_json(fuzz::to_text(data, size));
    if (!input)
        return 0;
    base::error reason;
    const auto table = platform::decode_configuration(*input, reason);
    if (!table)
        return 0;
    for (const forwarding::route& item : table->routes())
    {
        fuzz::require(item.services.empty() != item.shards.empty());
        fuzz::require(table->find_route(item.host, item.path_prefix) == &item);
    }
    if (!table->known_teams())
        return 0;
    for (const auto& team : table->known_teams()->teams())
    {
        fuzz::require(!team->name.empty() && team->name.find_first_of("\r\n") == std::string::npos);
        fuzz::require(table->known_teams()->find_named(team->name) == team);
        fuzz::require(team->quota.requests_per_second >= 0 && team->quota.burst >= 0);
    }
    fuzz::require(!table->known_teams()->find(""));
    return 0;
}
