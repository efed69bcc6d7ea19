#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <cstdio>

#include "libraries/control_rpc/control_rpc.h"
#include "utilities/borageloft/commands.h"
#include "utilities/borageloft/exit_code.h"

namespace {

using borageloft::command_line::ExitCode;

int ExitCodeOf(borageloft::control_rpc::RpcFailure failure) {
  switch (failure) {
    case borageloft::control_rpc::RpcFailure::kRefused:
      return ExitCode::kRefused;
    case borageloft::control_rpc::RpcFailure::kUnreachable:
      return ExitCode::kUnreachable;
    case borageloft::control_rpc::RpcFailure::kUnknown:
      return ExitCode::kUnknown;
  }
  return ExitCode::kUnknown;
}

}  // namespace

int main(int argument_count, char** arguments) {
  CLI::App application("borageloft: operate an overload control layer for service call graphs");
  application.require_subcommand(1);
  application.footer(
      "Exit codes: 0 done, 1 refused, 2 usage, 3 node unreachable, 4 outcome unknown (send it "
      "again).");
  int exit_code = ExitCode::kDone;
  borageloft::command_line::AddNoteCommands(application, exit_code);
  borageloft::command_line::AddStatusCommands(application, exit_code);
  borageloft::command_line::AddSettingsCommands(application, exit_code);
  borageloft::command_line::AddDataCommands(application, exit_code);
  borageloft::command_line::AddTraceCommand(application, exit_code);
  borageloft::command_line::AddStandInCommand(application, exit_code);
  borageloft::command_line::AddLoadCommand(application, exit_code);
  borageloft::command_line::AddCheckCommand(application, exit_code);
  try {
    application.parse(argument_count, arguments);
  } catch (const CLI::ParseError& error) {
    return application.exit(error) == 0 ? ExitCode::kDone : ExitCode::kUsage;
  } catch (const borageloft::control_rpc::RpcError& error) {
    fmt::print(stderr, "{}\n", error.what());
    return ExitCodeOf(error.failure());
  } catch (const std::exception& error) {
    fmt::print(stderr, "{}\n", error.what());
    return ExitCode::kRefused;
  }
  return exit_code;
}
