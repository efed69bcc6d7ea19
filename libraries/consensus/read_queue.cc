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
  for (; assigned_ < reads_.size(); ++assigned_) {
    reads_[assigned_].round = round_;
    reads_[assigned_].index = commit;
  }
}

std::vector<ReadState> ReadQueue::Confirm(std::uint64_t round) {
  std::vector<ReadState> confirmed;
  while (assigned_ > 0 && reads_.front().round <= round) {
    confirmed.push_back({reads_.front().context, reads_.front().index, true});
    reads_.pop_front();
    --assigned_;
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
  assigned_ = 0;
  return dropped;
}

}  // namespace borageloft::consensus
