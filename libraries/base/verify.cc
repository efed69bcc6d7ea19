#include "libraries/base/verify.h"

#include <cstdlib>

#include "libraries/base/log.h"

namespace borageloft::base {

namespace {

VerifyHandler& CurrentHandler() {
  static VerifyHandler handler;
  return handler;
}

}  // namespace

void ReplaceVerifyHandler(VerifyHandler handler) { CurrentHandler() = std::move(handler); }

void FailVerify(const char* expression, const char* file, int line) {
  if (CurrentHandler()) {
    CurrentHandler()(expression, file, line);
  }
  Log(LogLevel::kError, "invariant_failed",
      {{"expression", expression}, {"file", file}, {"line", line}});
  std::abort();
}

}  // namespace borageloft::base
