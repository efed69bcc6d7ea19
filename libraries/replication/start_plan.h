#ifndef BORAGELOFT_REPLICATION_START_PLAN_H_
#define BORAGELOFT_REPLICATION_START_PLAN_H_

#include "libraries/consensus/consensus.h"

namespace borageloft::replication {

/** How a ReplicaHost starts. */
enum class StartMode {
  kRestart,    // From the stored state. Empty storage is rejected, because the disk was lost.
  kBootstrap,  // As a founding voter. Storage in use is rejected: a group is bootstrapped once.
  kJoin,       // As a learner whose id was assigned by a committed membership change.
};

/** Parameters of ReplicaHost::Start(). */
struct StartPlan {
  StartMode mode = StartMode::kRestart;
  /** Id of this replica, for kBootstrap and kJoin. */
  consensus::ReplicaId replica = consensus::kNoReplica;
  /** Founding voters, for kBootstrap. */
  consensus::Membership membership;
};

}  // namespace borageloft::replication

#endif  // BORAGELOFT_REPLICATION_START_PLAN_H_
