#include "libraries/membership/versioned_records.h"

#include <algorithm>

namespace borageloft::membership {

void VersionedRecords::Put(const RecordEntry& entry, std::uint64_t version, base::TimePoint now) {
  VERIFY(version > version_);
  Item& item = items_[entry.record.node];
  order_.erase(item.version);
  item = Item{entry, version, now};
  order_.emplace(version, entry.record.node);
  version_ = version;
}

void VersionedRecords::Touch(std::uint64_t version) {
  VERIFY(version > version_);
  version_ = version;
}

const RecordEntry* VersionedRecords::Find(const std::string& node) const {
  const auto found = items_.find(node);
  return found == items_.end() ? nullptr : &found->second.entry;
}

std::vector<ViewChunk> VersionedRecords::Since(std::uint64_t after) const {
  std::vector<ViewChunk> chunks;
  if (after == version_) {
    return chunks;
  }
  const bool is_full = after == 0 || after < pruned_ || after > version_;
  ViewChunk chunk;
  chunk.from = is_full ? 0 : after;
  chunk.target = version_;
  chunk.is_full = is_full;
  for (auto next = order_.upper_bound(chunk.from); next != order_.end(); ++next) {
    if (chunk.entries.size() == kMaximumRecords) {
      chunks.push_back(chunk);
      chunk.from = chunk.to;
      chunk.entries.clear();
    }
    chunk.entries.push_back(items_.at(next->second).entry);
    chunk.to = next->first;
  }
  chunk.to = version_;
  chunks.push_back(chunk);
  return chunks;
}

void VersionedRecords::Prune(base::TimePoint limit) {
  for (auto next = items_.begin(); next != items_.end();) {
    if (next->second.entry.state == EntryState::kRemoved && next->second.changed < limit) {
      pruned_ = std::max(pruned_, next->second.version);
      order_.erase(next->second.version);
      next = items_.erase(next);
    } else {
      ++next;
    }
  }
}

}  // namespace borageloft::membership
