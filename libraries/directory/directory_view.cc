#include "libraries/directory/directory_view.h"

#include <utility>

namespace borageloft::directory {

DirectoryView::Position DirectoryView::PositionAt(const std::string& source) const {
  const auto found = sources_.find(source);
  return found == sources_.end() ? Position{} : found->second.position;
}

NodeSet DirectoryView::Apply(const std::string& source, const SyncAnswer& answer) {
  Source& known = sources_[source];
  const bool is_full = answer.base_revision == 0;
  if (!is_full && (known.position.epoch != answer.registry_epoch ||
                   known.position.revision < answer.base_revision ||
                   known.position.revision > answer.registry_revision)) {
    return {};  // Response out of order; the next request starts from the known position.
  }
  NodeSet named;
  if (is_full && answer.is_complete) {
    for (const auto& [node, listed] : known.records) {
      named.insert(node);
    }
    known.records.clear();
  }
  for (const InstanceRecord& record : answer.records) {
    known.records[record.node] = {record, ++last_arrival_order_};
    named.insert(record.node);
  }
  for (const std::string& node : answer.removed) {
    known.records.erase(node);
    named.insert(node);
  }
  known.position = {answer.registry_epoch, answer.registry_revision};
  std::erase_if(named, [this](const std::string& node) { return !Merge(node); });
  return named;
}

bool DirectoryView::Put(const std::string& source, const InstanceRecord& record) {
  sources_[source].records[record.node] = {record, ++last_arrival_order_};
  return Merge(record.node);
}

bool DirectoryView::Erase(const std::string& source, const std::string& node) {
  const auto found = sources_.find(source);
  return found != sources_.end() && found->second.records.erase(node) > 0 && Merge(node);
}

NodeSet DirectoryView::Forget(const std::string& source) {
  const auto found = sources_.find(source);
  if (found == sources_.end()) {
    return {};
  }
  const Source forgotten = std::move(found->second);
  sources_.erase(found);
  NodeSet changed;
  for (const auto& [node, listed] : forgotten.records) {
    if (Merge(node)) {
      changed.insert(node);
    }
  }
  return changed;
}

NodeSet DirectoryView::ForgetOthers(const std::string& source) {
  NodeSet others;
  for (const auto& [name, known] : sources_) {
    if (name != source) {
      others.insert(name);
    }
  }
  NodeSet changed;
  for (const std::string& other : others) {
    changed.merge(Forget(other));
  }
  return changed;
}

bool DirectoryView::Merge(const std::string& node) {
  const ListedRecord* newest = nullptr;
  for (const auto& [name, source] : sources_) {
    const auto listed = source.records.find(node);
    if (listed == source.records.end()) {
      continue;
    }
    const ListedRecord& candidate = listed->second;
    const bool is_newer =
        newest == nullptr || (newest->record.epoch == candidate.record.epoch
                                  ? candidate.record.revision > newest->record.revision
                                  : candidate.arrival_order > newest->arrival_order);
    if (is_newer) {
      newest = &candidate;
    }
  }
  const auto merged = merged_.find(node);
  if (newest == nullptr || newest->record.instance.empty()) {
    if (merged == merged_.end()) {
      return false;
    }
    merged_.erase(merged);
    return true;
  }
  if (merged == merged_.end()) {
    merged_.emplace(node, newest->record);
    return true;
  }
  if (merged->second == newest->record) {
    return false;
  }
  merged->second = newest->record;
  return true;
}

}  // namespace borageloft::directory
