#ifndef BORAGELOFT_BASE_VERIFY_H_
#define BORAGELOFT_BASE_VERIFY_H_

#include <functional>
#include <string>

namespace borageloft::base {

/** Receives a failed invariant: the expression, the source file and the line. */
using VerifyHandler = std::function<void(const char* expression, const char* file, int line)>;

/**
 * Replaces the handler of failed invariants; tests use this to turn a failure into an exception.
 * @param handler The new handler. An empty one restores the default, which logs and aborts.
 */
void ReplaceVerifyHandler(VerifyHandler handler);

/** Reports a failed invariant. Aborts the process when the handler returns. */
[[noreturn]] void FailVerify(const char* expression, const char* file, int line);

}  // namespace borageloft::base

/** Checks an invariant in every build; a process that broke one must not go on serving. */
#define VERIFY(expression)                                             \
  do {                                                                 \
    if (!(expression)) [[unlikely]] {                                  \
      ::borageloft::base::FailVerify(#expression, __FILE__, __LINE__); \
    }                                                                  \
  } while (false)

#endif  // BORAGELOFT_BASE_VERIFY_H_
