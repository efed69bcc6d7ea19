#ifndef BORAGELOFT_MEMBERSHIP_ERROR_H_
#define BORAGELOFT_MEMBERSHIP_ERROR_H_

#include "libraries/base/base.h"

namespace borageloft::membership {

/** Error of the membership library: a message out of bounds or a failed incarnation store. */
class Error : public base::Error {
 public:
  using base::Error::Error;
};

}  // namespace borageloft::membership

#endif  // BORAGELOFT_MEMBERSHIP_ERROR_H_
