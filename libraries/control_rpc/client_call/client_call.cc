#include "libraries/control_rpc/client_call/client_call.h"

#include <jsonrpccpp/client.h>
#include <jsonrpccpp/common/errors.h>

#include <exception>

namespace borageloft {
namespace control_rpc {

namespace {

/** Hands messages to a function. An exception of the function is kept, since the base class allows
 * only its own type to pass. */
class FunctionConnector : public jsonrpc::IClientConnector {
 public:
  explicit FunctionConnector(const SendMessage& send) : send_(send) {}

  void SendRPCMessage(const std::string& message,
                      std::string& result) throw(jsonrpc::JsonRpcException) override {
    try {
      result = send_(message);
    } catch (...) {
      failure_ = std::current_exception();
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR);
    }
  }

  void RethrowFailure() const {
    if (failure_) {
      std::rethrow_exception(failure_);
    }
  }

 private:
  const SendMessage& send_;
  std::exception_ptr failure_;
};

}  // namespace

ClientCallResult CallOverJsonRpc(const SendMessage& send, const std::string& method,
                                 const Json::Value& parameters) {
  FunctionConnector connector(send);
  ClientCallResult result;
  try {
    jsonrpc::Client client(connector);
    result.value = client.CallMethod(method, parameters);
  } catch (const jsonrpc::JsonRpcException& error) {
    connector.RethrowFailure();
    result.has_failed = true;
    result.error_code = error.GetCode();
    // A server uses the code of a parse error as well, for a call that it could not read.
    result.is_answer_malformed = error.GetCode() == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR ||
                                 error.GetCode() == jsonrpc::Errors::ERROR_CLIENT_INVALID_RESPONSE;
    result.error_message = error.GetMessage();
  }
  return result;
}

}  // namespace control_rpc
}  // namespace borageloft
