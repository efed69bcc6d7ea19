#ifndef BORAGELOFT_RETRY_RETRY_ERROR_H_
#define BORAGELOFT_RETRY_RETRY_ERROR_H_

#include <string>

#include "libraries/base/base.h"

namespace borageloft::retry {

/** Thrown for settings out of range, and for loans or requests in a state that forbids the call. */
class RetryError : public base::Error {
 public:
  /** @param message What is out of range, unknown or already present. */
  explicit RetryError(const std::string& message) : base::Error(message) {}
};

}  // namespace borageloft::retry

#endif  // BORAGELOFT_RETRY_RETRY_ERROR_H_
