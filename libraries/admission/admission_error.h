#ifndef BORAGELOFT_ADMISSION_ADMISSION_ERROR_H_
#define BORAGELOFT_ADMISSION_ADMISSION_ERROR_H_

#include <string>

#include "libraries/base/base.h"

namespace borageloft::admission {

/** Thrown for limits out of range, a ticket id that is in use and an id that is not known. */
class AdmissionError : public base::Error {
 public:
  /** @param message What was out of range or unknown. */
  explicit AdmissionError(const std::string& message) : base::Error(message) {}
};

}  // namespace borageloft::admission

#endif  // BORAGELOFT_ADMISSION_ADMISSION_ERROR_H_
