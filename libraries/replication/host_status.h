#ifndef BORAGELOFT_REPLICATION_HOST_STATUS_H_
#define BORAGELOFT_REPLICATION_HOST_STATUS_H_

#include <cstdint>

#include "libraries/consensus/consensus.h"

namespace borageloft::replication {

/** State of a ReplicaHost. */
enum class HostState {
  kCreated,  // Start() has not completed yet.
  kRunning,
  kFailed,  // The storage failed; the replica is not running until the storage can be reopened.
  kStopped,
};

/** Snapshot of a host's state and counters. */
struct HostStatus {
  HostState state = HostState::kCreated;
  consensus::ReplicaId replica = consensus::kNoReplica;
  consensus::SoftState soft_state;
  consensus::Index commit = 0;
  consensus::Index applied = 0;
  consensus::Term applied_term = 0;  // Term of the last applied entry, or 0 if unknown.
  consensus::Index snapshot_index = 0;
  std::uint64_t log_bytes = 0;       // Size of the log in memory.
  consensus::Membership membership;  // The newest; it may still be undone while it is pending.
  bool has_pending_membership = false;
  std::uint64_t appends = 0;  // Calls of ReplicaStorage::append.
  std::uint64_t appended_entries = 0;
  std::uint64_t storage_failures = 0;
};

}  // namespace borageloft::replication

#endif  // BORAGELOFT_REPLICATION_HOST_STATUS_H_
