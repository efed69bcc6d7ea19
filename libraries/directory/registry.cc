#include "libraries/directory/registry.h"

namespace borageloft::directory {

Registry::Registry(std::uint64_t epoch, base::Duration lifetime, base::TimePoint now)
    : epoch_(epoch), lifetime_(lifetime), complete_at_(now + lifetime) {}

bool Registry::Renew(const InstanceRecord& record, base::TimePoint now) {
  Entry& entry = entries_[record.node];
  entry.renewed_at = now;
  const bool is_same_process = entry.changed_at_revision != 0 && entry.record.epoch == record.epoch;
  if (is_same_process && record.revision <= entry.record.revision) {
    return false;
  }
  // A record with another epoch is accepted whether that is higher or lower: it arrived over the
  // newest connection, and a clock that was set back must not lock out a restarted node.
  entry.record = record;
  entry.changed_at_revision = ++revision_;
  return true;
}

void Registry::Expire(base::TimePoint now) {
  if (!is_complete_ && now >= complete_at_) {
    is_complete_ = true;
    // A new epoch makes each node request the whole registry once, which discards its old records.
    ++epoch_;
  }
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    if (now - entry->second.renewed_at < lifetime_) {
      ++entry;
      continue;
    }
    base::Log(base::LogLevel::kInfo, "node_expired",
              {{"node", entry->first},
               {"instance", entry->second.record.instance},
               {"silent_ms",
                static_cast<Json::Int64>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                             now - entry->second.renewed_at)
                                             .count())}});
    removals_.emplace(++revision_, entry->first);
    entry = entries_.erase(entry);
  }
  while (removals_.size() > kMaxRemovals) {
    oldest_kept_revision_ = removals_.begin()->first;
    removals_.erase(removals_.begin());
  }
}

void Registry::FillAnswer(const SyncRequest& request, SyncAnswer& answer) const {
  const bool is_delta = request.registry_epoch == epoch_ &&
                        request.registry_revision >= oldest_kept_revision_ &&
                        request.registry_revision <= revision_;
  answer.is_complete = is_complete_;
  answer.registry_epoch = epoch_;
  answer.registry_revision = revision_;
  answer.base_revision = is_delta ? request.registry_revision : 0;
  for (const auto& [node, entry] : entries_) {
    if (entry.changed_at_revision > answer.base_revision) {
      answer.records.push_back(entry.record);
    }
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

std::vector<std::string> Registry::nodes() const {
  std::vector<std::string> nodes;
  nodes.reserve(entries_.size());
  for (const auto& [node, entry] : entries_) {
    nodes.push_back(node);
  }
  return nodes;
}

}  // namespace borageloft::directory
