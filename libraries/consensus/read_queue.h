#ifndef BORAGELOFT_CONSENSUS_READ_QUEUE_H_
#define BORAGELOFT_CONSENSUS_READ_QUEUE_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "libraries/consensus/ready.h"
#include "libraries/consensus/types.h"

namespace borageloft::consensus {

/**
 * Pending linearisable reads of a leader (the read index protocol). All reads that wait when a
 * heartbeat round starts share that round. A round confirmed by a quorum proves that this replica
 * was still leader after those reads arrived.
 */
class ReadQueue {
 public:
  /** Adds a read. @return False if kMaxPendingReads reads are already pending. */
  bool Add(std::uint64_t context);

  /** @return Whether there are reads without a round. */
  bool HasUnassigned() const { return assigned_count_ < reads_.size(); }

  /** Starts a round for all reads without one. @param commit Index that they must see applied. */
  void StartRound(Index commit);

  /** @return Number of the latest round. */
  std::uint64_t round() const { return round_; }

  /** Removes the reads of all rounds up to @p round. @return Those reads, as confirmed. */
  std::vector<ReadState> Confirm(std::uint64_t round);

  /** Removes all reads. @return Those reads, as not confirmed. */
  std::vector<ReadState> DropAll();

 private:
  struct Read {
    std::uint64_t context;
    std::uint64_t round;
    Index index;
  };

  std::uint64_t round_ = 0;
  std::size_t assigned_count_ = 0;  // Reads at the front that have a round.
  std::deque<Read> reads_;
};

}  // namespace borageloft::consensus

#endif  // BORAGELOFT_CONSENSUS_READ_QUEUE_H_
