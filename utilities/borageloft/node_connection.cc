#include "utilities/borageloft/node_connection.h"

namespace borageloft::command_line {

void NodeConnection::AddOptions(CLI::App& command) {
  command.add_option("--node", node, "Operators' address of a node")
      ->envname("BORAGELOFT_NODE")
      ->capture_default_str();
  command.add_option("--token-file", token_file, "File with the operators' token, mode 0600")
      ->envname("BORAGELOFT_TOKEN_FILE");
  command.add_option("--timeout", timeout_seconds, "Longest wait for the answer, in seconds")
      ->check(CLI::Range(1, 3600))
      ->capture_default_str();
}

void NodeConnection::AddTableOptions(CLI::App& command) {
  AddOptions(command);
  command.add_flag("--json", wants_json, "Print JSON in place of a table");
}

control_rpc::RpcClient NodeConnection::Connect() const {
  const auto endpoint = settings::ParseEndpoint(node);
  if (!endpoint) {
    throw control_rpc::RpcError(control_rpc::RpcFailure::kRefused,
                                "--node takes IP:port, for example 127.0.0.1:7003");
  }
  return {*endpoint, control_rpc::LoadToken(token_file), std::chrono::seconds(timeout_seconds)};
}

}  // namespace borageloft::command_line
