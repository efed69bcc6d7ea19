#ifndef BORAGELOFT_BASE_ERROR_H_
#define BORAGELOFT_BASE_ERROR_H_

#include <stdexcept>
#include <string>

namespace borageloft::base {

/** Root of the error hierarchy. Each library derives its own class and translates those below. */
class Error : public std::runtime_error {
 public:
  /** @param message What failed and, where known, what the operator can do about it. */
  explicit Error(const std::string& message) : std::runtime_error(message) {}
};

}  // namespace borageloft::base

#endif  // BORAGELOFT_BASE_ERROR_H_
