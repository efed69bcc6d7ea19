#ifndef BORAGELOFT_CONTROL_RPC_TOKEN_H_
#define BORAGELOFT_CONTROL_RPC_TOKEN_H_

#include <string>
#include <string_view>

namespace borageloft::control_rpc {

/**
 * Reads the operators' shared token.
 * @param path File that holds the token and nothing else; only its owner may have access to it.
 * @return The token, or "" when @p path is empty.
 * @throws RpcError when the file cannot be read, others have access, or it is shorter than 16
 *     characters.
 */
std::string LoadToken(const std::string& path);

/** Compares two tokens in a time that does not depend on where they differ. */
bool IsSameToken(std::string_view expected, std::string_view received);

}  // namespace borageloft::control_rpc

#endif  // BORAGELOFT_CONTROL_RPC_TOKEN_H_
