// Guards against bytes from callers that crash a VM, and against requests that pass line breaks or
// a second set of framing fields, or the caller's key, on to a replica.

#include <string_view>

#include "platform/forwarded_message.hpp"
#include "tests/fuzz/fuzz_target.hpp"

namespace
{

void require_whole_lines(std::string_view head)
{
    ospreystair::fuzz::require(head.ends_with("\r\n") &&
                               head.find("\r\n\r\n") == std::string_view::npos);
    for (std::size_t position = head.find('\n'); position != std::string_view::npos;
         position = head.find('\n', position + 1))
        ospreystair::fuzz::require(position > 0 && head[position - 1] == '\r');
}

// Number of the header fields that have the lower-case name.
std::size_t count_fields(std::string_view head, std::string_view name)
{
    std::size_t result = 0;
    for (std::size_t position = head.find('\n'); position != std::string_view::npos;
         position = head.find('\n', position + 1))
    {
        const std::string_view line = head.substr(position + 1);
        result += line.size() > name.size() && line[name.size()] == ':' &&
                          boost::beast::iequals(boost::beast::string_view(line.data(), name.size()),
                                                boost::beast::string_view(name.data(), name.size()))
                      ? 1
                      : 0;
    }
    return result;
}

} // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    using namespace ospreystair;
    http::beast::http::request_parser<http::beast::http::string_body> parser;
    boost::system::error_code code;
    parser.eager(true);
    parser.put(boost::asio::buffer(data, size), code);
    if (code || !parser.is_done())
        return 0;
    base::error reason;
    auto message = platform::forwarded_message::create(parser.get(), reason);
    if (!message)
        return 0;
    require_whole_lines(*message->head);
    for (const std::string team : {"", "team"})
    {
        message->set_team(parser.get(), team, 1);
        require_whole_lines(*message->head);
        fuzz::require(count_fields(*message->head, "credential") == 0);
        fuzz::require(count_fields(*message->head, "tenant") == (team.empty() ? 0 : 1));
        fuzz::require(count_fields(*message->head, "handover-team") == 0);
    }
    return 0;
}
