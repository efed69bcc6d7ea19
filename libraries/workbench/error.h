#ifndef BORAGELOFT_WORKBENCH_ERROR_H_
#define BORAGELOFT_WORKBENCH_ERROR_H_

#include "libraries/base/base.h"

namespace borageloft::workbench {

/** Failure of a measuring tool: a bad option, a bad command or an address that cannot be used. */
class Error : public base::Error {
 public:
  using base::Error::Error;
};

}  // namespace borageloft::workbench

#endif  // BORAGELOFT_WORKBENCH_ERROR_H_
