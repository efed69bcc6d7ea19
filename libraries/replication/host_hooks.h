#ifndef BORAGELOFT_REPLICATION_HOST_HOOKS_H_
#define BORAGELOFT_REPLICATION_HOST_HOOKS_H_

#include <functional>
#include <string>

#include "libraries/consensus/consensus.h"

namespace borageloft::replication {

/**
 * The replicated state machine. The hooks are called by one thread at a time, with no lock held. An
 * exception thrown by a hook while the replica is running terminates the process, because the
 * replicas would diverge.
 */
struct StateMachine {
  /** Applies one committed command. @return Result for the proposer. */
  std::function<std::string(consensus::Index index, const std::string& command)> apply;
  /** @return Encoding of the complete state. */
  std::function<std::string()> snapshot;
  /** Replaces the complete state. Empty data means the state before the first command. */
  std::function<void(const std::string& data)> restore;
};

/**
 * Sends bytes to another replica. It must not block for long. A message that cannot be sent is
 * dropped, because the protocol retransmits as needed. Called with no lock held.
 */
using SendHook = std::function<void(consensus::ReplicaId to, std::string bytes)>;

/** Called with no lock held whenever the role, the leader or the term changes. May be empty. */
using SoftStateHook = std::function<void(const consensus::SoftState& state)>;

}  // namespace borageloft::replication

#endif  // BORAGELOFT_REPLICATION_HOST_HOOKS_H_
