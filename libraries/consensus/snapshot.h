#ifndef BORAGELOFT_CONSENSUS_SNAPSHOT_H_
#define BORAGELOFT_CONSENSUS_SNAPSHOT_H_

#include <memory>
#include <string>
#include <vector>

#include "libraries/consensus/entry.h"
#include "libraries/consensus/hard_state.h"
#include "libraries/consensus/membership.h"
#include "libraries/consensus/types.h"

namespace borageloft::consensus {

/** State machine and membership as of the entry at `index`. */
struct Snapshot {
  Index index = 0;
  Term term = 0;
  Membership membership;
  std::string data;

  bool operator==(const Snapshot&) const = default;
};

/** Immutable snapshot, shared by the replica and the transfers in progress. */
using SnapshotPointer = std::shared_ptr<const Snapshot>;

/** State that a replica starts from: exactly what was made durable. */
struct PersistedState {
  HardState hard_state;
  /** Latest snapshot. At index 0 it has the initial membership of the group, or an empty one. */
  SnapshotPointer snapshot;
  /** Entries without gaps. Entries up to the snapshot's index are ignored. */
  std::vector<Entry> entries;

  /**
   * Initial state of a founding voter. Use it only when the group is created: a host that lost its
   * disk must use ForJoin(), because its votes are lost as well.
   */
  static PersistedState ForBootstrap(ReplicaId replica, Membership membership) {
    return {{replica, 0, kNoReplica},
            std::make_shared<const Snapshot>(Snapshot{0, 0, std::move(membership), ""}),
            {}};
  }

  /** Initial state of a learner whose id was assigned by a committed membership change. */
  static PersistedState ForJoin(ReplicaId replica) { return ForBootstrap(replica, Membership()); }
};

}  // namespace borageloft::consensus

#endif  // BORAGELOFT_CONSENSUS_SNAPSHOT_H_
