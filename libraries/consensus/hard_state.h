#ifndef BORAGELOFT_CONSENSUS_HARD_STATE_H_
#define BORAGELOFT_CONSENSUS_HARD_STATE_H_

#include "libraries/consensus/types.h"

namespace borageloft::consensus {

/** State that must be durable before any message that depends on it is sent. */
struct HardState {
  /** Replica that owns the data folder; kNoReplica marks an empty folder. */
  ReplicaId replica = kNoReplica;
  /** Highest term seen. */
  Term term = 0;
  /** Candidate that got this replica's vote in the term. */
  ReplicaId vote = kNoReplica;

  bool operator==(const HardState&) const = default;
};

}  // namespace borageloft::consensus

#endif  // BORAGELOFT_CONSENSUS_HARD_STATE_H_
