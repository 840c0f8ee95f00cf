// Entry program: checks its settings, serves and stops on SIGTERM.

#include <cstdio>
#include <cstdlib>

#include <fmt/format.h>

#include "programs/entry/entry_server.hpp"
#include "programs/entry/entry_settings.hpp"

int main(int argc, const char** argv)
{
    using namespace ospreystair;
    base::error reason;
    const auto settings = entry::entry_settings::create(argc, argv, reason);
    if (!settings)
    {
        fmt::print(stderr, "error: {}: {}\n", base::to_string(reason.kind), reason.message);
        return EXIT_FAILURE;
    }
    if (settings->is_check_only)
        return EXIT_SUCCESS;
    http::asio::io_context io(static_cast<int>(settings->thread_count));
    const auto server = entry::entry_server::create(io, *settings, reason);
    if (!server)
    {
        fmt::print(stderr, "error: {}: {}\n", base::to_string(reason.kind), reason.message);
        return EXIT_FAILURE;
    }
    (*server)->run();
    return EXIT_SUCCESS;
}
