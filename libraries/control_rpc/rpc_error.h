#ifndef BORAGELOFT_CONTROL_RPC_RPC_ERROR_H_
#define BORAGELOFT_CONTROL_RPC_RPC_ERROR_H_

#include "libraries/base/base.h"

namespace borageloft::control_rpc {

/** Why an operator's call failed. */
enum class RpcFailure {
  kRefused,      // The node answered with an error; nothing was done.
  kUnreachable,  // The call was not sent.
  kUnknown,      // No whole answer came to the call; it may have been carried out.
};

/** An operator's call failed. */
class RpcError : public base::Error {
 public:
  RpcError(RpcFailure failure, const std::string& message) : Error(message), failure_(failure) {}

  RpcFailure failure() const { return failure_; }

 private:
  RpcFailure failure_;
};

}  // namespace borageloft::control_rpc

#endif  // BORAGELOFT_CONTROL_RPC_RPC_ERROR_H_
