#ifndef BORAGELOFT_REPLICATION_REPLICA_STORAGE_H_
#define BORAGELOFT_REPLICATION_REPLICA_STORAGE_H_

#include <functional>
#include <optional>
#include <vector>

#include "libraries/consensus/consensus.h"

namespace borageloft::replication {

/**
 * Durable storage of one replica. Every hook returns only once its effect survives a crash, and
 * throws otherwise. The hooks are called by one thread at a time, with no lock held.
 */
struct ReplicaStorage {
  /**
   * @return The stored state, or nothing if no snapshot was ever saved. It contains only what is
   * durable, also after a failed append, and may include entries up to the snapshot's index.
   */
  std::function<std::optional<consensus::PersistedState>()> load;
  /** Replaces the hard state. */
  std::function<void(const consensus::HardState&)> save_hard_state;
  /** Appends entries that follow the last one and syncs once for all of them. */
  std::function<void(const std::vector<consensus::Entry>&)> append;
  /** Removes all entries at index @p first and above. */
  std::function<void(consensus::Index first)> truncate;
  /**
   * Replaces the snapshot with one of this host's own state, whose index is not above the last
   * entry. Entries up to its index may be removed immediately or later.
   */
  std::function<void(const consensus::Snapshot&)> save_snapshot;
  /**
   * Replaces the snapshot and then removes all entries; the next entry follows the snapshot. A
   * crash between the two steps may leave the entries.
   */
  std::function<void(const consensus::Snapshot&)> install_snapshot;
};

/**
 * Loads the stored state and removes entries that a snapshot of the leader replaced. A crash during
 * install_snapshot, after the snapshot is saved, leaves such entries.
 * @return The state to start from, or nothing if the storage is empty.
 */
std::optional<consensus::PersistedState> LoadConsistent(const ReplicaStorage& storage);

}  // namespace borageloft::replication

#endif  // BORAGELOFT_REPLICATION_REPLICA_STORAGE_H_
