#include "libraries/directory/directory_view.h"

#include <utility>

namespace borageloft::directory {

DirectoryView::Position DirectoryView::PositionAt(const std::string& control_host) const {
  const auto source = sources_.find(control_host);
  return source == sources_.end() ? Position{} : source->second.position;
}

bool DirectoryView::Apply(const std::string& control_host, const SyncAnswer& answer) {
  Source& source = sources_[control_host];
  const bool is_full = answer.base_revision == 0;
  if (!is_full && (source.position.epoch != answer.registry_epoch ||
                   source.position.revision < answer.base_revision ||
                   source.position.revision > answer.registry_revision)) {
    return false;  // Response out of order; the next request starts from the known position.
  }
  if (is_full && answer.is_complete) {
    source.records.clear();
    source.arrival_order.clear();
  }
  for (const InstanceRecord& record : answer.records) {
    source.records[record.node] = record;
    source.arrival_order[record.node] = ++last_arrival_order_;
  }
  for (const std::string& node : answer.removed) {
    source.records.erase(node);
    source.arrival_order.erase(node);
  }
  source.position = {answer.registry_epoch, answer.registry_revision};
  return is_full || !answer.records.empty() || !answer.removed.empty() ? Merge() : false;
}

bool DirectoryView::Forget(const std::string& control_host) {
  return sources_.erase(control_host) != 0 && Merge();
}

bool DirectoryView::Merge() {
  struct Candidate {
    const InstanceRecord* record = nullptr;
    std::uint64_t arrival_order = 0;
  };
  std::map<std::string, Candidate> newest;
  for (const auto& [host, source] : sources_) {
    for (const auto& [node, record] : source.records) {
      Candidate& candidate = newest[node];
      const std::uint64_t arrival_order = source.arrival_order.at(node);
      const bool is_newer =
          candidate.record == nullptr ||
          (candidate.record->epoch == record.epoch ? record.revision > candidate.record->revision
                                                   : arrival_order > candidate.arrival_order);
      if (is_newer) {
        candidate = {&record, arrival_order};
      }
    }
  }
  std::map<std::string, InstanceRecord> merged;
  for (const auto& [node, candidate] : newest) {
    if (!candidate.record->instance.empty()) {
      merged.emplace(node, *candidate.record);
    }
  }
  const bool has_changed = merged != merged_;
  merged_ = std::move(merged);
  return has_changed;
}

}  // namespace borageloft::directory
