#ifndef BORAGELOFT_CONSENSUS_SNAPSHOT_RECEIVER_H_
#define BORAGELOFT_CONSENSUS_SNAPSHOT_RECEIVER_H_

#include <string>

#include "libraries/consensus/message.h"
#include "libraries/consensus/snapshot.h"

namespace borageloft::consensus {

/** Assembles the chunks of one snapshot at a time. */
class SnapshotReceiver {
 public:
  /**
   * Adds one chunk. A chunk of another snapshot discards the chunks received before; a chunk at an
   * unexpected offset is ignored.
   * @return The snapshot if this chunk completes it and the checksum matches, else null.
   */
  SnapshotPointer Take(const SnapshotChunk& chunk);

  /** @return Offset of the next expected chunk. */
  std::uint64_t next_offset() const { return data_.size(); }

  /** Discards the received chunks. */
  void Reset();

 private:
  Index index_ = 0;
  Term term_ = 0;
  std::uint64_t checksum_ = 0;
  std::string data_;
};

}  // namespace borageloft::consensus

#endif  // BORAGELOFT_CONSENSUS_SNAPSHOT_RECEIVER_H_
