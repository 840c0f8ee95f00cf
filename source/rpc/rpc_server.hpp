// JSON-RPC methods served over the project's own HTTP server. The library's HTTP connector cannot
// bind to an address from the settings; its protocol handler gets requests from Beast instead.

#ifndef OSPREYSTAIR_RPC_RPC_SERVER_HPP
#define OSPREYSTAIR_RPC_RPC_SERVER_HPP

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <json/json.h>

#include "base/error.hpp"

namespace ospreystair::rpc
{

/// A method: returns its result, or is empty and sets `reason`. Called on any thread, so that it
/// must be thread-safe.
using method_function =
    std::function<std::optional<Json::Value>(const Json::Value& parameters, base::error& reason)>;

/// Answers JSON-RPC requests given as text. Thread-safe once its methods are added.
class rpc_server
{
public:
    rpc_server();
    ~rpc_server();

    /// Adds a method; call this before the first answer().
    void add_method(const std::string& name, method_function method);

    /// Runs the request in `request_text` and returns the text of its reply.
    std::string answer(const std::string& request_text);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

/// Writes JSON without line breaks.
std::string to_text(const Json::Value& value);
/// Parses JSON; fails with protocol when the text is not JSON or nests too deeply.
std::optional<Json::Value> parse_json(const std::string& text, base::error& reason);

} // namespace ospreystair::rpc

#endif
