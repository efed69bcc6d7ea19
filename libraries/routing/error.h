#ifndef BORAGELOFT_ROUTING_ERROR_H_
#define BORAGELOFT_ROUTING_ERROR_H_

#include "libraries/base/base.h"

namespace borageloft::routing {

/** A routing option is out of range. */
class Error : public base::Error {
 public:
  using base::Error::Error;
};

}  // namespace borageloft::routing

#endif  // BORAGELOFT_ROUTING_ERROR_H_
