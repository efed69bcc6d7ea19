#ifndef BORAGELOFT_CONSENSUS_READ_QUEUE_H_
#define BORAGELOFT_CONSENSUS_READ_QUEUE_H_

#include <cstdint>
#include <deque>
#include <vector>

#include "libraries/consensus/ready.h"
#include "libraries/consensus/types.h"

namespace borageloft::consensus {

/**
 * Linearisable reads of a leader. All reads that wait when a heartbeat round starts share that
 * round; a round confirmed by a quorum proves that the leader was still leader after they arrived.
 */
class ReadQueue {
 public:
  /** Adds a read. @return False if too many reads wait. */
  bool Add(std::uint64_t context);

  /** @return Whether reads wait for a round to start. */
  bool HasUnassigned() const { return assigned_ < reads_.size(); }

  /** Starts a round for all reads without one. @param commit Index that they must see applied. */
  void StartRound(Index commit);

  /** @return Number of the latest round. */
  std::uint64_t round() const { return round_; }

  /** @return Confirmed reads of all rounds up to @p round. */
  std::vector<ReadState> Confirm(std::uint64_t round);

  /** @return All waiting reads, as failed. */
  std::vector<ReadState> DropAll();

 private:
  struct Read {
    std::uint64_t context;
    std::uint64_t round;
    Index index;
  };

  std::uint64_t round_ = 0;
  std::size_t assigned_ = 0;
  std::deque<Read> reads_;
};

}  // namespace borageloft::consensus

#endif  // BORAGELOFT_CONSENSUS_READ_QUEUE_H_
