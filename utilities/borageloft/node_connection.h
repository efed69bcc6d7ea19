#ifndef BORAGELOFT_UTILITIES_BORAGELOFT_NODE_CONNECTION_H_
#define BORAGELOFT_UTILITIES_BORAGELOFT_NODE_CONNECTION_H_

#include <CLI/CLI.hpp>
#include <string>

#include "libraries/control_rpc/control_rpc.h"
#include "utilities/borageloft/table.h"

namespace borageloft::command_line {

/** Options of every command that calls a node. */
struct NodeConnection {
  std::string node = "127.0.0.1:7003";
  std::string token_file;
  int timeout_seconds = 10;
  bool wants_json = false;

  /** Adds --node, --token-file and --timeout to a command. */
  void AddOptions(CLI::App& command);

  /** Adds --json as well. */
  void AddTableOptions(CLI::App& command);

  /** @return A client of the chosen node. @throws RpcError when the options are wrong. */
  control_rpc::RpcClient Connect() const;

  OutputFormat format() const { return wants_json ? OutputFormat::kJson : OutputFormat::kTable; }
};

}  // namespace borageloft::command_line

#endif  // BORAGELOFT_UTILITIES_BORAGELOFT_NODE_CONNECTION_H_
