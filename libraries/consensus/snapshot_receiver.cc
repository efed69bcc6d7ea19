#include "libraries/consensus/snapshot_receiver.h"

#include <utility>

#include "libraries/base/base.h"

namespace borageloft::consensus {

SnapshotPointer SnapshotReceiver::Take(const SnapshotChunk& chunk) {
  if (chunk.index != index_ || chunk.term != term_ || chunk.checksum != checksum_) {
    Reset();
    index_ = chunk.index;
    term_ = chunk.term;
    checksum_ = chunk.checksum;
  }
  if (chunk.offset != data_.size()) {
    return nullptr;
  }
  data_ += chunk.data;
  if (data_.size() < chunk.total_bytes) {
    return nullptr;
  }
  std::string data = std::move(data_);
  Reset();
  if (base::Hash(data) != chunk.checksum) {
    return nullptr;
  }
  return std::make_shared<const Snapshot>(
      Snapshot{chunk.index, chunk.term, chunk.membership, std::move(data)});
}

void SnapshotReceiver::Reset() {
  index_ = 0;
  term_ = 0;
  checksum_ = 0;
  data_.clear();
}

}  // namespace borageloft::consensus
