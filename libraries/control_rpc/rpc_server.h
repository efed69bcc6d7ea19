#ifndef BORAGELOFT_CONTROL_RPC_RPC_SERVER_H_
#define BORAGELOFT_CONTROL_RPC_RPC_SERVER_H_

#include <json/json.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "libraries/settings/settings.h"

namespace borageloft::control_rpc {

/** Carries out one operator's call. @throws base::Error to refuse it with a message. */
using RpcMethod = std::function<Json::Value(const Json::Value& parameters)>;

/** JSON-RPC 2.0 over HTTP POST on the operators' address. */
class RpcServer {
 public:
  /**
   * @param token Token that each call must carry as bearer; empty for none.
   * @param methods Methods by name. Parameters are passed by name.
   */
  RpcServer(std::string token, std::map<std::string, RpcMethod> methods);
  ~RpcServer();

  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;

  /**
   * Begins to serve.
   * @return The address listened on.
   * @throws RpcError when the address cannot be used, or is no loopback address without a token.
   */
  settings::Endpoint Start(const settings::Endpoint& endpoint);

  /** Stops after calls in progress have ended. */
  void Stop();

 private:
  struct State;

  std::unique_ptr<State> state_;
};

}  // namespace borageloft::control_rpc

#endif  // BORAGELOFT_CONTROL_RPC_RPC_SERVER_H_
