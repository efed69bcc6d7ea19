#ifndef BORAGELOFT_CONSENSUS_READY_H_
#define BORAGELOFT_CONSENSUS_READY_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "libraries/consensus/entry.h"
#include "libraries/consensus/hard_state.h"
#include "libraries/consensus/message.h"
#include "libraries/consensus/snapshot.h"
#include "libraries/consensus/types.h"

namespace borageloft::consensus {

/** Raft role of a replica. */
enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

/** State that is not persisted (Raft soft state). */
struct SoftState {
  Role role = Role::kFollower;
  /** Known leader of the term, or kNoReplica. */
  ReplicaId leader = kNoReplica;
  Term term = 0;

  bool operator==(const SoftState&) const = default;
};

/** Outcome of a linearisable read. */
struct ReadState {
  /** The value passed to RequestRead(). */
  std::uint64_t context = 0;
  /** The read may be served once this index is applied. */
  Index index = 0;
  /** False if leadership was lost first; the read must not be served then. */
  bool is_confirmed = false;

  bool operator==(const ReadState&) const = default;
};

/** Acknowledges what a Ready asked to persist and apply; passed to Replica::Advance(). */
struct ReadyReceipt {
  std::optional<HardState> hard_state;
  Index persisted_index = 0;
  Index applied_index = 0;
};

/**
 * Work for the host of a replica, to be done in this order:
 * 1. save `hard_state`, so that the stored term is never behind the stored log;
 * 2. save `snapshot` if there is one, discarding all stored entries, and restore the state machine;
 * 3. store `entries`, which replace every stored entry from the first one's index on, and sync;
 * 4. only then send `messages`;
 * 5. apply `committed`, complete `read_states`, and pass `receipt` to Replica::Advance().
 */
struct Ready {
  std::optional<HardState> hard_state;
  SnapshotPointer snapshot;
  std::vector<Entry> entries;
  std::vector<Message> messages;
  std::vector<Entry> committed;
  std::vector<ReadState> read_states;
  /** Set if it changed since the previous Ready. */
  std::optional<SoftState> soft_state;
  ReadyReceipt receipt;
};

}  // namespace borageloft::consensus

#endif  // BORAGELOFT_CONSENSUS_READY_H_
