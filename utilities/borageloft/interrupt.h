#ifndef BORAGELOFT_UTILITIES_BORAGELOFT_INTERRUPT_H_
#define BORAGELOFT_UTILITIES_BORAGELOFT_INTERRUPT_H_

#include <stop_token>

namespace borageloft::command_line {

/**
 * Blocks SIGINT and SIGTERM in the calling thread and those it starts later, and waits for them on
 * a thread of its own. Call it before other threads are started.
 * @return A token that is stopped at the first of these signals.
 */
std::stop_token StopOnInterrupt();

}  // namespace borageloft::command_line

#endif  // BORAGELOFT_UTILITIES_BORAGELOFT_INTERRUPT_H_
