// Guards against bytes from replicas that crash a VM, and against replies without a receipt or
// without a success status that are taken for a success.

#include "http/status_line.hpp"
#include "platform/forwarded_message.hpp"
#include "tests/fuzz/fuzz_target.hpp"

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace ospreystair;
    http::reply_parser parser;
    parser.eager(true);
    boost::system::error_code code;
    parser.put(boost::asio::buffer(data, size), code);
    if (!code && parser.got_some() && !parser.is_done())
        parser.put_eof(code);
    if (code || !parser.is_done())
        return 0;
    fuzz::require(http::is_valid_status(parser.status()));
    http::upstream_result received;
    received.progress = http::exchange_progress::answered;
    received.reply = &parser;
    const auto result = platform::decode_reply(received, platform::reply_use::relayed);
    if (result.outcome == forwarding::attempt_outcome::succeeded)
        fuzz::require(!result.reply.receipt.empty() && result.reply.status / 100 == 2);
    return 0;
}
