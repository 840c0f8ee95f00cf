// ospreystair-agent: keeps configuration, membership and gossiped state of one entry VM.

#include <cstdlib>

#include <fmt/format.h>

#include "agent_process.hpp"
#include "agent_settings.hpp"

namespace
{

using namespace ospreystair;

int report_startup_failure(const base::error& reason)
{
    fmt::print(stderr, "ospreystair-agent: {}: {}\n", base::to_string(reason.kind), reason.message);
    return EXIT_FAILURE;
}

} // namespace

int main(int argc, const char** argv)
{
    base::error reason;
    const auto settings = agent::agent_settings::create(argc, argv, reason);
    if (!settings)
        return report_startup_failure(reason);
    if (settings->is_check_only)
        return EXIT_SUCCESS;
    const auto process = agent::agent_process::create(*settings, reason);
    if (!process)
        return report_startup_failure(reason);
    (*process)->run();
    return EXIT_SUCCESS;
}
