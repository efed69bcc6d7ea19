#ifndef BORAGELOFT_CONSENSUS_SNAPSHOT_RECEIVER_H_
#define BORAGELOFT_CONSENSUS_SNAPSHOT_RECEIVER_H_

#include <string>

#include "libraries/consensus/message.h"
#include "libraries/consensus/snapshot.h"

namespace borageloft::consensus {

/** Puts together the chunks of one snapshot at a time. */
class SnapshotReceiver {
 public:
  /**
   * Takes one chunk; a chunk of another snapshot discards what was received before.
   * @return The snapshot if this chunk completed it and the checksum holds, else nothing.
   */
  SnapshotPointer Take(const SnapshotChunk& chunk);

  /** @return Offset of the chunk that is wanted next. */
  std::uint64_t next_offset() const { return data_.size(); }

  /** Forgets the chunks received. */
  void Reset();

 private:
  Index index_ = 0;
  Term term_ = 0;
  std::uint64_t checksum_ = 0;
  std::string data_;
};

}  // namespace borageloft::consensus

#endif  // BORAGELOFT_CONSENSUS_SNAPSHOT_RECEIVER_H_
