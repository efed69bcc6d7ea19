#ifndef BORAGELOFT_DISSEMINATION_ERROR_H_
#define BORAGELOFT_DISSEMINATION_ERROR_H_

#include "libraries/base/base.h"

namespace borageloft::dissemination {

/** Error of the dissemination library: a message out of bounds. */
class Error : public base::Error {
 public:
  using base::Error::Error;
};

}  // namespace borageloft::dissemination

#endif  // BORAGELOFT_DISSEMINATION_ERROR_H_
