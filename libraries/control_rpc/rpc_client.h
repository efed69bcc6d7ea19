#ifndef BORAGELOFT_CONTROL_RPC_RPC_CLIENT_H_
#define BORAGELOFT_CONTROL_RPC_RPC_CLIENT_H_

#include <json/json.h>

#include <string>

#include "libraries/settings/settings.h"

namespace borageloft::control_rpc {

/** Calls the operators' methods of a node. */
class RpcClient {
 public:
  /** @param timeout Longest wait for an answer. */
  RpcClient(settings::Endpoint endpoint, std::string token, base::Duration timeout);

  /**
   * Calls a method.
   * @param parameters JSON object with the parameters by name.
   * @return The method's result.
   * @throws RpcError when the call was refused, could not be sent, or got no answer.
   */
  Json::Value Call(const std::string& method, const Json::Value& parameters) const;

 private:
  std::string Send(const std::string& message) const;

  settings::Endpoint endpoint_;
  std::string token_;
  base::Duration timeout_;
};

}  // namespace borageloft::control_rpc

#endif  // BORAGELOFT_CONTROL_RPC_RPC_CLIENT_H_
