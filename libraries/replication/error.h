#ifndef BORAGELOFT_REPLICATION_ERROR_H_
#define BORAGELOFT_REPLICATION_ERROR_H_

#include "libraries/base/base.h"

namespace borageloft::replication {

/** Error of the replication library: an unsafe start, unusable storage or a malformed message. */
class ReplicationError : public base::Error {
 public:
  using base::Error::Error;
};

}  // namespace borageloft::replication

#endif  // BORAGELOFT_REPLICATION_ERROR_H_
