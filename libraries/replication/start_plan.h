#ifndef BORAGELOFT_REPLICATION_START_PLAN_H_
#define BORAGELOFT_REPLICATION_START_PLAN_H_

#include "libraries/consensus/consensus.h"

namespace borageloft::replication {

/** How a host starts. */
enum class StartMode {
  kRestart,    // From what is stored. Empty storage is refused: the host lost its disk.
  kBootstrap,  // As a founding voter. Storage in use is refused, so that this is done once.
  kJoin,       // As a learner whose id was assigned by a committed membership change.
};

/** Start of a host. */
struct StartPlan {
  StartMode mode = StartMode::kRestart;
  /** Own id, for kBootstrap and kJoin. */
  consensus::ReplicaId replica = consensus::kNoReplica;
  /** Founding voters, for kBootstrap. */
  consensus::Membership membership;
};

}  // namespace borageloft::replication

#endif  // BORAGELOFT_REPLICATION_START_PLAN_H_
