// Adapter between JSON-RPC methods and libjsonrpccpp's protocol handler.

#include "rpc/rpc_server.hpp"

#include <utility>

#include <fmt/format.h>
#include <jsonrpccpp/server.h>

#include "rpc/rpc_client.hpp"

namespace ospreystair::rpc
{

class rpc_server::implementation : public jsonrpc::IProcedureInvokationHandler
{
public:
    implementation()
        : m_handler(jsonrpc::RequestHandlerFactory::createProtocolHandler(
              jsonrpc::JSONRPC_SERVER_V2, *this))
    {
    }

    void add_method(const std::string& name, method_function method)
    {
        m_handler->AddProcedure(
            jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
        m_methods.emplace(name, std::move(method));
    }

    std::string answer(const std::string& request_text)
    {
        std::string reply;
        m_handler->HandleRequest(request_text, reply);
        return reply;
    }

    void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                          Json::Value& output) override
    {
        base::error reason;
        auto result = m_methods.at(procedure.GetProcedureName())(input, reason);
        if (!result)
            throw jsonrpc::JsonRpcException(
                first_application_code + static_cast<int>(reason.kind),
                fmt::format("{}: {}", base::to_string(reason.kind), reason.message));
        output = std::move(*result);
    }

    void HandleNotificationCall(jsonrpc::Procedure&, const Json::Value&) override {}

private:
    std::unique_ptr<jsonrpc::IProtocolHandler> m_handler;
    std::map<std::string, method_function> m_methods;
};

rpc_server::rpc_server() : m_implementation(std::make_unique<implementation>()) {}
rpc_server::~rpc_server() = default;

void rpc_server::add_method(const std::string& name, method_function method)
{
    m_implementation->add_method(name, std::move(method));
}

std::string rpc_server::answer(const std::string& request_text)
{
    return m_implementation->answer(request_text);
}

std::string to_text(const Json::Value& value)
{
    Json::StreamWriterBuilder writer;
    writer["indentation"] = "";
    return Json::writeString(writer, value);
}

std::optional<Json::Value> parse_json(const std::string& text, base::error& reason)
{
    constexpr int max_depth = 32;
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    builder["stackLimit"] = max_depth;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string message;
    try
    {
        if (reader->parse(text.data(), text.data() + text.size(), &value, &message))
            return value;
    }
    catch (const Json::Exception& exception)
    {
        message = exception.what();
    }
    return base::fail(reason, base::error_kind::protocol,
                      fmt::format("not a JSON document: {}", message));
}

} // namespace ospreystair::rpc
