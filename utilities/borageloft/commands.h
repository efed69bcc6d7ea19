#ifndef BORAGELOFT_UTILITIES_BORAGELOFT_COMMANDS_H_
#define BORAGELOFT_UTILITIES_BORAGELOFT_COMMANDS_H_

#include <CLI/CLI.hpp>

namespace borageloft::command_line {

// Each function adds one command to the application. The command sets exit_code when it runs.

void AddNoteCommands(CLI::App& application, int& exit_code);
void AddStatusCommands(CLI::App& application, int& exit_code);
void AddSettingsCommands(CLI::App& application, int& exit_code);
void AddDataCommands(CLI::App& application, int& exit_code);
void AddTraceCommand(CLI::App& application, int& exit_code);
void AddStandInCommand(CLI::App& application, int& exit_code);
void AddLoadCommand(CLI::App& application, int& exit_code);
void AddCheckCommand(CLI::App& application, int& exit_code);

}  // namespace borageloft::command_line

#endif  // BORAGELOFT_UTILITIES_BORAGELOFT_COMMANDS_H_
