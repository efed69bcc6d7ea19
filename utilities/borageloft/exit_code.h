#ifndef BORAGELOFT_UTILITIES_BORAGELOFT_EXIT_CODE_H_
#define BORAGELOFT_UTILITIES_BORAGELOFT_EXIT_CODE_H_

namespace borageloft::command_line {

/** Exit codes of every command, documented in docs/OPERATIONS.md. */
enum ExitCode : int {
  kDone = 0,
  kRefused = 1,      // The node or a check said no; nothing was done.
  kUsage = 2,        // The command line is wrong.
  kUnreachable = 3,  // The node could not be reached; nothing was done.
  kUnknown = 4,      // The call was sent and no answer came; send it again.
};

}  // namespace borageloft::command_line

#endif  // BORAGELOFT_UTILITIES_BORAGELOFT_EXIT_CODE_H_
