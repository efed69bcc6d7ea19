#include "libraries/consensus/read_queue.h"

#include "libraries/consensus/limits.h"

namespace borageloft::consensus {

bool ReadQueue::Add(std::uint64_t context) {
  if (reads_.size() >= kMaxPendingReads) {
    return false;
  }
  reads_.push_back({context, 0, 0});
  return true;
}

void ReadQueue::StartRound(Index commit) {
  ++round_;
  for (; assigned_count_ < reads_.size(); ++assigned_count_) {
    reads_[assigned_count_].round = round_;
    reads_[assigned_count_].index = commit;
  }
}

std::vector<ReadState> ReadQueue::Confirm(std::uint64_t round) {
  std::vector<ReadState> confirmed;
  while (assigned_count_ > 0 && reads_.front().round <= round) {
    confirmed.push_back({reads_.front().context, reads_.front().index, true});
    reads_.pop_front();
    --assigned_count_;
  }
  return confirmed;
}

std::vector<ReadState> ReadQueue::DropAll() {
  std::vector<ReadState> dropped;
  dropped.reserve(reads_.size());
  for (const Read& read : reads_) {
    dropped.push_back({read.context, 0, false});
  }
  reads_.clear();
  assigned_count_ = 0;
  return dropped;
}

}  // namespace borageloft::consensus
