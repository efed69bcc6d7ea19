#include "libraries/consensus/progress.h"

#include <algorithm>
#include <utility>

namespace borageloft::consensus {

void Progress::AcknowledgeRound(std::uint64_t round) { round_ = std::max(round_, round); }

bool Progress::CanSend(std::size_t max_in_flight_bytes) const {
  return mode_ == Mode::kReplicate ? in_flight_bytes_ < max_in_flight_bytes : !is_paused_;
}

void Progress::RecordAppend(std::size_t count, std::size_t bytes, Index commit,
                            base::TimePoint now) {
  sent_commit_ = std::max(sent_commit_, commit);
  if (mode_ == Mode::kProbe) {
    is_paused_ = true;
    paused_since_ = now;
    return;
  }
  next_ += count;
  if (count > 0) {
    // Each entry counts one byte more than its data, so that entries without data are limited too.
    in_flight_.push_back({next_ - 1, bytes + count, now});
    in_flight_bytes_ += bytes + count;
  }
}

void Progress::RecordChunk(base::TimePoint now) {
  is_paused_ = true;
  paused_since_ = now;
}

bool Progress::Acknowledge(Index match) {
  const bool has_advanced = match > match_;
  match_ = std::max(match_, match);
  next_ = std::max(next_, match_ + 1);
  while (!in_flight_.empty() && in_flight_.front().last_index <= match_) {
    in_flight_bytes_ -= in_flight_.front().bytes;
    in_flight_.pop_front();
  }
  const bool is_snapshot_done = mode_ == Mode::kSnapshot && match_ >= snapshot_->index;
  if (mode_ == Mode::kProbe || is_snapshot_done) {
    mode_ = Mode::kReplicate;
    snapshot_.reset();
    is_paused_ = false;
    next_ = match_ + 1;
  }
  return has_advanced;
}

void Progress::Probe(Index next) {
  mode_ = Mode::kProbe;
  next_ = std::max(match_ + 1, next);
  is_paused_ = false;
  in_flight_.clear();
  in_flight_bytes_ = 0;
  snapshot_.reset();
}

void Progress::StartSnapshot(SnapshotPointer snapshot) {
  Probe(next_);
  mode_ = Mode::kSnapshot;
  snapshot_ = std::move(snapshot);
  snapshot_offset_ = 0;
}

void Progress::AcknowledgeChunk(Index index, std::uint64_t offset, std::uint64_t next_offset) {
  if (mode_ != Mode::kSnapshot || snapshot_->index != index || offset != snapshot_offset_ ||
      next_offset > snapshot_->data.size()) {
    return;
  }
  snapshot_offset_ = next_offset;
  is_paused_ = false;
}

void Progress::Retransmit(base::TimePoint now, base::Duration timeout) {
  if (mode_ == Mode::kReplicate) {
    if (!in_flight_.empty() && now - in_flight_.front().sent_at >= timeout) {
      Probe(match_ + 1);
    }
    return;
  }
  if (is_paused_ && now - paused_since_ >= timeout) {
    is_paused_ = false;
  }
}

}  // namespace borageloft::consensus
