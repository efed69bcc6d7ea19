#include "libraries/control_rpc/rpc_client.h"

#include <fmt/format.h>
#include <httplib.h>

#include "libraries/control_rpc/client_call/client_call.h"
#include "libraries/control_rpc/rpc_error.h"
#include "libraries/http/http.h"

namespace borageloft::control_rpc {

RpcClient::RpcClient(settings::Endpoint endpoint, std::string token, base::Duration timeout)
    : endpoint_(std::move(endpoint)), token_(std::move(token)), timeout_(timeout) {}

Json::Value RpcClient::Call(const std::string& method, const Json::Value& parameters) const {
  ClientCallResult result = CallOverJsonRpc(
      [this](const std::string& message) { return Send(message); }, method, parameters);
  if (result.has_failed) {
    throw RpcError(result.is_answer_malformed ? RpcFailure::kUnknown : RpcFailure::kRefused,
                   result.error_message);
  }
  return std::move(result.value);
}

std::string RpcClient::Send(const std::string& message) const {
  constexpr std::chrono::seconds kConnectTimeout{2};
  httplib::Client client(endpoint_.address, endpoint_.port);
  client.set_connection_timeout(kConnectTimeout);
  client.set_read_timeout(timeout_);
  if (!token_.empty()) {
    client.set_bearer_token_auth(token_);
  }
  const httplib::Result result = client.Post("/", message, "application/json");
  if (!result) {
    const bool is_unsent = result.error() == httplib::Error::Connection ||
                           result.error() == httplib::Error::ConnectionTimeout;
    throw RpcError(is_unsent ? RpcFailure::kUnreachable : RpcFailure::kUnknown,
                   fmt::format("no answer from {}: {}", settings::FormatEndpoint(endpoint_),
                               httplib::to_string(result.error())));
  }
  constexpr int kOk = 200;
  if (result->status != kOk) {
    const bool is_not_run =
        result->get_header_value(http::kOutcomeHeader) == http::NameOf(wire::Outcome::kNotRun);
    throw RpcError(is_not_run ? RpcFailure::kRefused : RpcFailure::kUnknown,
                   fmt::format("{} answered {}: {}", settings::FormatEndpoint(endpoint_),
                               result->status, result->body));
  }
  return result->body;
}

}  // namespace borageloft::control_rpc
