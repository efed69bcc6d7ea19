#ifndef BORAGELOFT_REPLICATION_ERROR_H_
#define BORAGELOFT_REPLICATION_ERROR_H_

#include "libraries/base/base.h"

namespace borageloft::replication {

/** Error of the replication library: a start that is not safe, or a message that is refused. */
class ReplicationError : public base::Error {
 public:
  using base::Error::Error;
};

}  // namespace borageloft::replication

#endif  // BORAGELOFT_REPLICATION_ERROR_H_
