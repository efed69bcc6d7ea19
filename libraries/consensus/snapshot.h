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

/** State machine and membership after the entry at `index`. */
struct Snapshot {
  Index index = 0;
  Term term = 0;
  Membership membership;
  std::string data;

  bool operator==(const Snapshot&) const = default;
};

/** Snapshots are shared by the replica and by transfers in progress, and never change. */
using SnapshotPointer = std::shared_ptr<const Snapshot>;

/** What a replica starts from: exactly what was made durable. */
struct PersistedState {
  HardState hard_state;
  /** Latest snapshot. At index 0 it holds the first membership of the group, or none. */
  SnapshotPointer snapshot;
  /** Entries without gaps. Entries up to the snapshot's index are ignored. */
  std::vector<Entry> entries;

  /**
   * First state of a founding voter. To be used once in the life of a group: a host that lost its
   * disk must use ForJoin(), since it has forgotten its votes.
   */
  static PersistedState ForBootstrap(ReplicaId replica, Membership membership) {
    return {{replica, 0, kNoReplica},
            std::make_shared<const Snapshot>(Snapshot{0, 0, std::move(membership), ""}),
            {}};
  }

  /** First state of a learner whose id was assigned by a committed membership change. */
  static PersistedState ForJoin(ReplicaId replica) { return ForBootstrap(replica, Membership()); }
};

}  // namespace borageloft::consensus

#endif  // BORAGELOFT_CONSENSUS_SNAPSHOT_H_
