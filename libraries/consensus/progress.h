#ifndef BORAGELOFT_CONSENSUS_PROGRESS_H_
#define BORAGELOFT_CONSENSUS_PROGRESS_H_

#include <cstddef>
#include <cstdint>
#include <deque>

#include "libraries/base/base.h"
#include "libraries/consensus/snapshot.h"
#include "libraries/consensus/types.h"

namespace borageloft::consensus {

/** What a leader knows of one follower, and the flow control of what it sends to it. */
class Progress {
 public:
  /** How entries are sent. */
  enum class Mode {
    kProbe,      // One request at a time until the logs are known to match.
    kReplicate,  // Pipelined requests, bounded by bytes in flight.
    kSnapshot,   // One chunk of a snapshot at a time.
  };

  /** @param next First index to send. @param now Start of the contact. */
  Progress(Index next, base::TimePoint now) : next_(next), last_heard_(now) {}

  Mode mode() const { return mode_; }
  /** @return Highest index known to be durable at the follower. */
  Index match() const { return match_; }
  /** @return First index to send next. */
  Index next() const { return next_; }
  /** @return When the follower was last heard. */
  base::TimePoint last_heard() const { return last_heard_; }
  /** @return Highest heartbeat round that the follower answered. */
  std::uint64_t round() const { return round_; }
  /** @return Highest committed index that the follower was told. */
  Index sent_commit() const { return sent_commit_; }
  /** @return Snapshot being transferred, if any. */
  const SnapshotPointer& snapshot() const { return snapshot_; }
  /** @return Offset of the snapshot chunk to send. */
  std::uint64_t snapshot_offset() const { return snapshot_offset_; }

  /** Records a message of the follower. */
  void Hear(base::TimePoint now) { last_heard_ = now; }
  /** Records the answer to a heartbeat round. */
  void AnswerRound(std::uint64_t round);

  /** @return Whether an append request or a snapshot chunk may be sent now. */
  bool CanSend(std::size_t max_in_flight_bytes) const;

  /** Records an append request that carries @p count entries of @p bytes. */
  void SendAppend(std::size_t count, std::size_t bytes, Index commit, base::TimePoint now);
  /** Records a snapshot chunk. */
  void SendChunk(base::TimePoint now);

  /** Records that the follower's log matches up to @p match. @return Whether that is news. */
  bool Acknowledge(Index match);
  /** Goes back to probing from @p next, which is raised above what is known to match. */
  void Probe(Index next);
  /** Starts the transfer of @p snapshot. */
  void StartSnapshot(SnapshotPointer snapshot);
  /** Records the answer to the chunk at @p offset; answers to other chunks are ignored. */
  void AcknowledgeChunk(Index index, std::uint64_t offset, std::uint64_t next_offset);

  /** Sends again what stayed unanswered for @p timeout. */
  void Retransmit(base::TimePoint now, base::Duration timeout);

 private:
  struct InFlight {
    Index last_index;
    std::size_t bytes;
    base::TimePoint sent_at;
  };

  Mode mode_ = Mode::kProbe;
  Index match_ = 0;
  Index next_;
  Index sent_commit_ = 0;
  base::TimePoint last_heard_;
  std::uint64_t round_ = 0;
  // In the modes kProbe and kSnapshot one request is unanswered at most.
  bool is_paused_ = false;
  base::TimePoint paused_since_;
  std::deque<InFlight> in_flight_;
  std::size_t in_flight_bytes_ = 0;
  SnapshotPointer snapshot_;
  std::uint64_t snapshot_offset_ = 0;
};

}  // namespace borageloft::consensus

#endif  // BORAGELOFT_CONSENSUS_PROGRESS_H_
