#ifndef BORAGELOFT_CONSENSUS_ERROR_H_
#define BORAGELOFT_CONSENSUS_ERROR_H_

#include "libraries/base/base.h"

namespace borageloft::consensus {

/** Error of the consensus library: undecodable bytes or unusable persisted state. */
class ConsensusError : public base::Error {
 public:
  using base::Error::Error;
};

}  // namespace borageloft::consensus

#endif  // BORAGELOFT_CONSENSUS_ERROR_H_
