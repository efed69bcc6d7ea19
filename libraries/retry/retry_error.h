#ifndef BORAGELOFT_RETRY_RETRY_ERROR_H_
#define BORAGELOFT_RETRY_RETRY_ERROR_H_

#include <string>

#include "libraries/base/base.h"

namespace borageloft::retry {

/** Thrown for settings out of range and for loans or joined requests that are not known. */
class RetryError : public base::Error {
 public:
  /** @param message What was out of range or unknown. */
  explicit RetryError(const std::string& message) : base::Error(message) {}
};

}  // namespace borageloft::retry

#endif  // BORAGELOFT_RETRY_RETRY_ERROR_H_
