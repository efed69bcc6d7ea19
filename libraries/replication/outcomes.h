#ifndef BORAGELOFT_REPLICATION_OUTCOMES_H_
#define BORAGELOFT_REPLICATION_OUTCOMES_H_

#include <functional>
#include <string>

#include "libraries/consensus/consensus.h"

namespace borageloft::replication {

/** Kind of the outcome of a proposal. */
enum class ProposalOutcomeKind {
  kCommitted,      // Durable on a quorum and applied here.
  kNotLeader,      // Has no effect, now or later; the leader hint may name the leader.
  kDropped,        // Has no effect, now or later: overload, a transfer or shutdown, or another
                   // entry was committed at its index.
  kRefused,        // Has no effect, now or later; `status` is the reason.
  kStorageFailed,  // Has no effect, now or later: the storage of this host failed before the entry
                   // was stored or sent.
  kUnknown,        // May or may not take effect; only a read can tell which.
};

/** Outcome of a proposal. */
struct ProposalOutcome {
  ProposalOutcomeKind kind = ProposalOutcomeKind::kUnknown;
  /** Result of the state machine, for kCommitted commands. */
  std::string result;
  /** Known leader, or kNoReplica. */
  consensus::ReplicaId leader_hint = consensus::kNoReplica;
  /** Index of the committed entry. */
  consensus::Index index = 0;
  /** Id of the added learner, for a committed change of kind kAddLearner. */
  consensus::ReplicaId assigned = consensus::kNoReplica;
  /** Reason of the refusal, for kRefused. */
  consensus::ProposalStatus status = consensus::ProposalStatus::kAppended;
};

/** Receives the outcome of a proposal exactly once, with no lock held. It must not throw. */
using ProposalCallback = std::function<void(const ProposalOutcome& outcome)>;

/** Kind of the outcome of a linearisable read. */
enum class ReadOutcomeKind {
  kReady,      // The state machine reflects every write that completed before the read began.
  kNotLeader,  // Not leader, or leadership was lost; the state machine may be stale.
  kOverloaded,
  kStorageFailed,
};

/** Outcome of a linearisable read. */
struct ReadOutcome {
  ReadOutcomeKind kind = ReadOutcomeKind::kNotLeader;
  consensus::ReplicaId leader_hint = consensus::kNoReplica;
};

/**
 * Receives the outcome of a read exactly once, with no lock held. When it is kReady, the callback
 * may read the state machine: nothing is applied while it runs. It must not throw.
 */
using ReadCallback = std::function<void(const ReadOutcome& outcome)>;

}  // namespace borageloft::replication

#endif  // BORAGELOFT_REPLICATION_OUTCOMES_H_
