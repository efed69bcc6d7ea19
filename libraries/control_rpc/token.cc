#include "libraries/control_rpc/token.h"

#include <fmt/format.h>
#include <sys/stat.h>

#include <fstream>

#include "libraries/control_rpc/rpc_error.h"

namespace borageloft::control_rpc {

std::string LoadToken(const std::string& path) {
  if (path.empty()) {
    return "";
  }
  struct stat status {};
  if (::stat(path.c_str(), &status) != 0) {
    throw RpcError(RpcFailure::kRefused, fmt::format("token file {} cannot be read", path));
  }
  if ((status.st_mode & (S_IRWXG | S_IRWXO)) != 0) {
    throw RpcError(RpcFailure::kRefused,
                   fmt::format("token file {} is open to others; run chmod 600", path));
  }
  std::string token;
  std::ifstream(path) >> token;
  constexpr std::size_t kMinimumLength = 16;
  if (token.size() < kMinimumLength) {
    throw RpcError(RpcFailure::kRefused,
                   fmt::format("token in {} is shorter than {} characters", path, kMinimumLength));
  }
  return token;
}

bool IsSameToken(std::string_view expected, std::string_view received) {
  unsigned difference = expected.size() == received.size() ? 0U : 1U;
  for (std::size_t i = 0; i < received.size(); ++i) {
    const char other = expected.empty() ? '\0' : expected[i % expected.size()];
    difference |= static_cast<unsigned char>(received[i] ^ other);
  }
  return difference == 0;
}

}  // namespace borageloft::control_rpc
