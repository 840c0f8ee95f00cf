// JSON-RPC calls over HTTP. The interface has plain types only, because the library's client
// headers compile as C++14 and the rest of the project as C++20.

#ifndef OSPREYSTAIR_RPC_RPC_CLIENT_HPP
#define OSPREYSTAIR_RPC_RPC_CLIENT_HPP

#include <chrono>
#include <memory>
#include <string>

namespace ospreystair
{
namespace rpc
{

/// Codes of JSON-RPC errors are this plus the number of a base::error_kind. JSON-RPC reserves
/// -32768 to -32000, and libjsonrpccpp uses several of these codes itself. Earlier releases gave
/// -32000 minus the number; clients read the kind from the message text then.
constexpr int first_application_code = 1000;
/// Room for kinds of later releases.
constexpr int application_code_count = 1000;

/// What became of a call.
enum class call_status
{
    answered,    ///< The method returned a result.
    refused,     ///< The method returned an error; it is in the error text.
    unreachable, ///< No answer; the method may or may not have run.
    malformed    ///< The parameters or the answer are not JSON.
};

/// Calls methods at one address. Blocks its thread. Not thread-safe: use one client per thread.
class rpc_client
{
public:
    /// `address` is `ip:port`; calls go to `POST /rpc` there.
    rpc_client(const std::string& address, std::chrono::milliseconds timeout);
    ~rpc_client();
    rpc_client(const rpc_client&) = delete;
    rpc_client& operator=(const rpc_client&) = delete;

    /// Calls `method` with `parameters` (the text of a JSON object). Sets `result` to the text of
    /// the result, or `error_text` to the reason and remedy.
    call_status call(const std::string& method, const std::string& parameters, std::string& result,
                     std::string& error_text);

    /// The number of the base::error_kind with which the last call was refused; 0 when it was not
    /// refused, or by an earlier release, whose error text alone names the kind.
    int refusal_kind() const { return m_refusal_kind; }

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
    int m_refusal_kind = 0;
};

} // namespace rpc
} // namespace ospreystair

#endif
