#include "libraries/directory/versioned_records.h"

namespace borageloft::directory {

void VersionedRecords::Set(const InstanceRecord& record) {
  Entry& entry = entries_[record.node];
  changes_.erase(entry.changed_at_revision);
  entry.record = record;
  entry.changed_at_revision = ++revision_;
  changes_.emplace(revision_, record.node);
}

void VersionedRecords::Remove(const std::string& node) {
  const auto entry = entries_.find(node);
  if (entry == entries_.end()) {
    return;
  }
  changes_.erase(entry->second.changed_at_revision);
  entries_.erase(entry);
  removals_.emplace(++revision_, node);
  while (removals_.size() > kMaxRemovals) {
    oldest_kept_revision_ = removals_.begin()->first;
    removals_.erase(removals_.begin());
  }
}

void VersionedRecords::FillAnswer(const SyncRequest& request, SyncAnswer& answer) const {
  const bool is_delta = request.registry_epoch == epoch_ &&
                        request.registry_revision >= oldest_kept_revision_ &&
                        request.registry_revision <= revision_;
  answer.registry_epoch = epoch_;
  answer.registry_revision = revision_;
  answer.base_revision = is_delta ? request.registry_revision : 0;
  for (auto change = changes_.upper_bound(answer.base_revision); change != changes_.end();
       ++change) {
    answer.records.push_back(entries_.at(change->second).record);
  }
  if (!is_delta) {
    return;
  }
  for (auto removal = removals_.upper_bound(answer.base_revision); removal != removals_.end();
       ++removal) {
    if (!entries_.contains(removal->second)) {
      answer.removed.push_back(removal->second);
    }
  }
}

const InstanceRecord* VersionedRecords::Find(const std::string& node) const {
  const auto entry = entries_.find(node);
  return entry == entries_.end() ? nullptr : &entry->second.record;
}

}  // namespace borageloft::directory
