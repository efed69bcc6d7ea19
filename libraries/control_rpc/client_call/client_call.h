#ifndef BORAGELOFT_CONTROL_RPC_CLIENT_CALL_H_
#define BORAGELOFT_CONTROL_RPC_CLIENT_CALL_H_

#include <json/json.h>

#include <functional>
#include <string>

namespace borageloft {
namespace control_rpc {

/** Sends a JSON-RPC message and returns the answer's text. It may throw; the exception passes. */
using SendMessage = std::function<std::string(const std::string& message)>;

/** End of a JSON-RPC call. */
struct ClientCallResult {
  bool has_failed = false;  // The server answered with an error, or with no valid JSON-RPC.
  bool is_answer_malformed = false;  // No valid JSON-RPC: the call may have been carried out.
  int error_code = 0;
  std::string error_message;
  Json::Value value;
};

/** Calls a method over libjsonrpccpp's client. */
ClientCallResult CallOverJsonRpc(const SendMessage& send, const std::string& method,
                                 const Json::Value& parameters);

}  // namespace control_rpc
}  // namespace borageloft

#endif  // BORAGELOFT_CONTROL_RPC_CLIENT_CALL_H_
