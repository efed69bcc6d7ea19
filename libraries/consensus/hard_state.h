#ifndef BORAGELOFT_CONSENSUS_HARD_STATE_H_
#define BORAGELOFT_CONSENSUS_HARD_STATE_H_

#include "libraries/consensus/types.h"

namespace borageloft::consensus {

/** State that must be durable before any message that depends on it is sent (Raft hard state). */
struct HardState {
  /** Replica that owns the data folder; kNoReplica means an empty folder. */
  ReplicaId replica = kNoReplica;
  /** Current term, the highest one seen. */
  Term term = 0;
  /** Candidate that this replica voted for in the current term, or kNoReplica. */
  ReplicaId vote = kNoReplica;

  bool operator==(const HardState&) const = default;
};

}  // namespace borageloft::consensus

#endif  // BORAGELOFT_CONSENSUS_HARD_STATE_H_
