// JSON-RPC client over HTTP. The interface uses only types that compile as C++14, because the
// library's client headers do not compile as C++20 like the rest of the project.

#ifndef OSPREYSTAIR_RPC_RPC_CLIENT_HPP
#define OSPREYSTAIR_RPC_RPC_CLIENT_HPP

#include <chrono>
#include <memory>
#include <string>

namespace ospreystair
{
namespace rpc
{

/// The code of a JSON-RPC error is this plus the number of a base::error_kind. JSON-RPC reserves
/// -32768 to -32000, and libjsonrpccpp uses several of these codes itself. Earlier releases send
/// -32000 minus the number; clients read the kind from the message text in that case.
constexpr int first_application_code = 1000;
/// Size of the range of codes, which includes kinds that later releases add.
constexpr int application_code_count = 1000;

/// Outcome of a call.
enum class call_status
{
    answered,    ///< The method returned a result.
    refused,     ///< The method returned an error; it is in the error text.
    unreachable, ///< No answer arrived; the method may or may not have run.
    malformed    ///< The parameters or the answer are not JSON.
};

/// Calls methods at one address. Calls block the thread. Not thread-safe: use one client per
/// thread.
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
    /// refused, or was refused by an earlier release, which states the kind only in the error text.
    int refusal_kind() const { return m_refusal_kind; }

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
    int m_refusal_kind = 0;
};

} // namespace rpc
} // namespace ospreystair

#endif
