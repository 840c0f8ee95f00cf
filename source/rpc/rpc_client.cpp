// JSON-RPC client on libjsonrpccpp and libcurl. Compiled as C++14.

#include "rpc/rpc_client.hpp"

#include <memory>

#include <json/json.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/connectors/httpclient.h>

namespace ospreystair
{
namespace rpc
{

struct rpc_client::implementation
{
    explicit implementation(const std::string& url) : connector(url), client(connector) {}

    jsonrpc::HttpClient connector;
    jsonrpc::Client client;
};

rpc_client::rpc_client(const std::string& address, std::chrono::milliseconds timeout)
    : m_implementation(new implementation("http://" + address + "/rpc"))
{
    m_implementation->connector.SetTimeout(static_cast<long>(timeout.count()));
}

rpc_client::~rpc_client() = default;

call_status rpc_client::call(const std::string& method, const std::string& parameters,
                             std::string& result, std::string& error_text)
{
    m_refusal_kind = 0;
    Json::Value arguments;
    const std::unique_ptr<Json::CharReader> reader(Json::CharReaderBuilder().newCharReader());
    if (!reader->parse(parameters.data(), parameters.data() + parameters.size(), &arguments,
                       &error_text))
        return call_status::malformed;
    try
    {
        const Json::Value answer = m_implementation->client.CallMethod(method, arguments);
        Json::StreamWriterBuilder writer;
        writer["indentation"] = "";
        result = Json::writeString(writer, answer);
        return call_status::answered;
    }
    catch (const jsonrpc::JsonRpcException& exception)
    {
        error_text = exception.GetMessage();
        const int code = exception.GetCode();
        if (code > first_application_code && code < first_application_code + application_code_count)
            m_refusal_kind = code - first_application_code;
        if (code == jsonrpc::Errors::ERROR_CLIENT_CONNECTOR)
            return call_status::unreachable;
        if (code == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE)
            return call_status::malformed;
        return call_status::refused;
    }
}

} // namespace rpc
} // namespace ospreystair
