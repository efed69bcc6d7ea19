#include "libraries/control_rpc/rpc_server.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iclientconnectionhandler.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <mutex>

#include "libraries/control_rpc/rpc_error.h"
#include "libraries/control_rpc/token.h"
#include "libraries/http/http.h"

namespace borageloft::control_rpc {

namespace {

constexpr std::size_t kConnections = 32;
constexpr int kRefusedCode = -32000;  // First code that JSON-RPC leaves to servers.
constexpr const char* kBearer = "Bearer ";

}  // namespace

struct RpcServer::State : jsonrpc::IProcedureInvokationHandler {
  State(std::string rpc_token, std::map<std::string, RpcMethod> rpc_methods)
      : token(std::move(rpc_token)),
        methods(std::move(rpc_methods)),
        handler(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2,
                                                                      *this)),
        server(MakeOptions(),
               [this](const http::HttpRequest& request) { return Answer(request); }) {
    for (const auto& [name, method] : methods) {
      handler->AddProcedure(
          jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, NULL));
    }
  }

  static http::HttpServerOptions MakeOptions() {
    http::HttpServerOptions options;
    options.connections = kConnections;
    return options;
  }

  http::HttpResponse Answer(const http::HttpRequest& request) {
    if (!IsAuthorised(request)) {
      return http::FormatProblem(
          {401, "unauthorised", "a bearer token is required", wire::Outcome::kNotRun, {}});
    }
    http::HttpResponse response{200, {{"Content-Type", "application/json"}}, ""};
    handler->HandleRequest(request.body, response.body);
    return response;
  }

  bool IsAuthorised(const http::HttpRequest& request) const {
    if (token.empty()) {
      return true;
    }
    const std::string value = http::FindHeader(request.headers, "authorization");
    return value.starts_with(kBearer) &&
           IsSameToken(token, std::string_view(value).substr(std::string_view(kBearer).size()));
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override {
    try {
      output = methods.at(procedure.GetProcedureName())(input);
    } catch (const std::exception& error) {
      throw jsonrpc::JsonRpcException(kRefusedCode, error.what());
    }
  }

  void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/,
                              const Json::Value& /*input*/) override {}

  const std::string token;
  const std::map<std::string, RpcMethod> methods;
  const std::unique_ptr<jsonrpc::IProtocolHandler> handler;
  http::HttpServer server;
};

RpcServer::RpcServer(std::string token, std::map<std::string, RpcMethod> methods)
    : state_(std::make_unique<State>(std::move(token), std::move(methods))) {}

RpcServer::~RpcServer() { Stop(); }

settings::Endpoint RpcServer::Start(const settings::Endpoint& endpoint) {
  if (state_->token.empty() && !settings::IsLoopback(endpoint)) {
    throw RpcError(RpcFailure::kRefused,
                   "operators' address is no loopback address and no token "
                   "is set");
  }
  try {
    return state_->server.Start(endpoint);
  } catch (const http::HttpError& error) {
    throw RpcError(RpcFailure::kRefused, error.what());
  }
}

void RpcServer::Stop() { state_->server.Stop(); }

}  // namespace borageloft::control_rpc
