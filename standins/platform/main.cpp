// standin-platform: serves the object service and the VM list from memory, for tests and
// benchmarks.

#include <csignal>

#include <fmt/format.h>

#include "http/client_connection.hpp"
#include "settings/option_table.hpp"
#include "standins/platform/platform_service.hpp"

namespace
{

using namespace ospreystair;

int report_failure(const base::error& reason)
{
    fmt::print(stderr, "standin-platform: {}\n", reason.message);
    return 1;
}

} // namespace

int main(int argc, const char** argv)
{
    base::error reason;
    const auto options = settings::option_table::create(
        "standin-platform",
        "Stands in for the platform's object service; keeps everything in memory.",
        {{"listen", "address to listen on, ip:port", "127.0.0.1:7000"}}, argc, argv, reason);
    if (!options)
        return report_failure(reason);
    const auto address = options->address("listen", reason);
    if (!address)
        return report_failure(reason);

    http::asio::io_context context(1);
    standins::platform_service service;
    http::server_options server_options;
    server_options.address = http::make_endpoint(address->host, address->port);
    const auto server = http::server::create(
        context, server_options,
        [&service](const http::request& message, std::shared_ptr<http::exchange_context> exchange)
        { return service.answer(message, std::move(exchange)); },
        reason);
    if (!server)
        return report_failure(reason);
    fmt::print(stderr, "standin-platform: listening on {}:{}\n",
               (*server)->address().address().to_string(), (*server)->address().port());

    http::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return 0;
}
