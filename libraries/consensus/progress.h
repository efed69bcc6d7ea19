#ifndef BORAGELOFT_CONSENSUS_PROGRESS_H_
#define BORAGELOFT_CONSENSUS_PROGRESS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "libraries/base/base.h"
#include "libraries/consensus/snapshot.h"
#include "libraries/consensus/types.h"

namespace borageloft::consensus {

/** A leader's view of the replication to one follower, with flow control. */
class Progress {
 public:
  /** How entries are sent to the follower. */
  enum class Mode {
    kProbe,      // One request at a time until the logs are known to match.
    kReplicate,  // Pipelined requests, bounded by bytes in flight.
    kSnapshot,   // One chunk of a snapshot at a time.
  };

  /** @param next First index to send. @param now Time from which silence counts. */
  Progress(Index next, base::TimePoint now) : next_(next), begun_at_(now) {}

  Mode mode() const { return mode_; }
  /** @return Highest index known to be durable at the follower. */
  Index match() const { return match_; }
  /** @return First index to send next. */
  Index next() const { return next_; }
  /** @return Time at which the last message of the follower was received, if there was one. */
  std::optional<base::TimePoint> heard_at() const { return heard_at_; }
  /** @return As heard_at(); before the first message, the time at which this object was made. */
  base::TimePoint silent_since() const { return heard_at_.value_or(begun_at_); }
  /** @return Highest heartbeat round that the follower acknowledged. */
  std::uint64_t round() const { return round_; }
  /** @return Highest committed index sent to the follower. */
  Index sent_commit() const { return sent_commit_; }
  /** @return Snapshot being transferred, if any. */
  const SnapshotPointer& snapshot() const { return snapshot_; }
  /** @return Offset of the snapshot chunk to send. */
  std::uint64_t snapshot_offset() const { return snapshot_offset_; }

  /** Records that a message of the follower was received. */
  void RecordMessage(base::TimePoint now) { heard_at_ = now; }
  /** Records the response to a heartbeat round. */
  void AcknowledgeRound(std::uint64_t round);

  /** @return Whether an append request or a snapshot chunk may be sent now. */
  bool CanSend(std::size_t max_in_flight_bytes) const;

  /** Records that an append request with @p count entries of @p bytes in total was sent. */
  void RecordAppend(std::size_t count, std::size_t bytes, Index commit, base::TimePoint now);
  /** Records that a snapshot chunk was sent. */
  void RecordChunk(base::TimePoint now);

  /** Records that the follower's log matches up to @p match. @return Whether match() increased. */
  bool Acknowledge(Index match);
  /** Returns to mode kProbe at @p next, or at the entry after match() if that is higher. */
  void Probe(Index next);
  /** Enters mode kSnapshot and starts the transfer of @p snapshot. */
  void StartSnapshot(SnapshotPointer snapshot);
  /** Records the response to the chunk at @p offset; responses to other chunks are ignored. */
  void AcknowledgeChunk(Index index, std::uint64_t offset, std::uint64_t next_offset);

  /** Allows requests that were not acknowledged within @p timeout to be sent again. */
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
  base::TimePoint begun_at_;
  std::optional<base::TimePoint> heard_at_;
  std::uint64_t round_ = 0;
  // Set in the modes kProbe and kSnapshot while their only request is in flight.
  bool is_paused_ = false;
  base::TimePoint paused_since_;
  std::deque<InFlight> in_flight_;
  std::size_t in_flight_bytes_ = 0;
  SnapshotPointer snapshot_;
  std::uint64_t snapshot_offset_ = 0;
};

}  // namespace borageloft::consensus

#endif  // BORAGELOFT_CONSENSUS_PROGRESS_H_
