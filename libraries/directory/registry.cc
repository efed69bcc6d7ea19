#include "libraries/directory/registry.h"

namespace borageloft::directory {

Registry::Registry(std::uint64_t epoch, base::Duration lifetime, base::TimePoint now)
    : lifetime_(lifetime), complete_at_(now + lifetime), records_(epoch) {}

bool Registry::Renew(const InstanceRecord& record, base::TimePoint now) {
  renewed_at_[record.node] = now;
  const InstanceRecord* known = records_.Find(record.node);
  const bool is_same_process = known != nullptr && known->epoch == record.epoch;
  if (is_same_process && record.revision <= known->revision) {
    return false;
  }
  // A record with another epoch is accepted whether that is higher or lower: it arrived over the
  // newest connection, and a clock that was set back must not lock out a restarted node.
  records_.Set(record);
  return true;
}

std::vector<std::string> Registry::Expire(base::TimePoint now) {
  if (!is_complete_ && now >= complete_at_) {
    is_complete_ = true;
    // Each reader requests the whole registry once, which discards its old records.
    records_.BeginEpoch();
  }
  std::vector<std::string> removed;
  for (auto renewed = renewed_at_.begin(); renewed != renewed_at_.end();) {
    const base::Duration silence = now - renewed->second;
    if (silence < lifetime_) {
      ++renewed;
      continue;
    }
    const std::string node = renewed->first;
    base::Log(base::LogLevel::kInfo, "node_expired",
              {{"node", node},
               {"instance", records_.Find(node)->instance},
               {"silent_ms",
                static_cast<Json::Int64>(
                    std::chrono::duration_cast<std::chrono::milliseconds>(silence).count())}});
    records_.Remove(node);
    removed.push_back(node);
    renewed = renewed_at_.erase(renewed);
  }
  return removed;
}

void Registry::FillAnswer(const SyncRequest& request, SyncAnswer& answer) const {
  records_.FillAnswer(request, answer);
  answer.is_complete = is_complete_;
}

}  // namespace borageloft::directory
