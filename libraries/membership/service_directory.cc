#include "libraries/membership/service_directory.h"

#include <utility>

namespace borageloft::membership {

bool ServiceDirectory::Add(const std::string& service) {
  return views_.try_emplace(service).second;
}

void ServiceDirectory::Remove(const std::string& service) { views_.erase(service); }

void ServiceDirectory::FollowAnew() {
  for (auto& [service, view] : views_) {
    view.follower = ViewFollower();
    for (auto& [node, known] : view.known) {
      known.shown = 0;
    }
  }
}

DeltaResult ServiceDirectory::Apply(const ServiceDelta& delta, base::TimePoint now) {
  DeltaResult result;
  const auto found = views_.find(delta.service);
  if (found == views_.end()) {
    return result;
  }
  View& view = found->second;
  const ViewFollower::Outcome outcome = view.follower.Accept(delta.chunk);
  if (outcome == ViewFollower::Outcome::kGap) {
    result.has_gap = true;
  }
  if (outcome == ViewFollower::Outcome::kGap || outcome == ViewFollower::Outcome::kIgnore) {
    return result;
  }
  for (const RecordEntry& entry : delta.chunk.entries) {
    ApplyEntry(view, delta.service, entry, now, result);
  }
  if (outcome == ViewFollower::Outcome::kApplyAndSweep) {
    Sweep(view, now, result);
  }
  return result;
}

std::vector<Fence> ServiceDirectory::Conflicts() const {
  std::vector<Fence> conflicts;
  for (const auto& [service, view] : views_) {
    for (const auto& [node, known] : view.known) {
      if (known.shown > 0 && conflicts.size() < kMaximumRecords) {
        conflicts.push_back({node, known.shown, known.entry.record.stamp.incarnation});
      }
    }
  }
  return conflicts;
}

void ServiceDirectory::Prune(base::TimePoint limit) {
  for (auto& [service, view] : views_) {
    std::erase_if(view.known, [limit](const auto& item) {
      return item.second.entry.state == EntryState::kRemoved && item.second.changed < limit;
    });
  }
}

std::vector<RecordEntry> ServiceDirectory::Upstreams(const std::string& service) const {
  std::vector<RecordEntry> upstreams;
  const auto found = views_.find(service);
  if (found != views_.end()) {
    for (const auto& [node, known] : found->second.known) {
      if (known.entry.state != EntryState::kRemoved) {
        upstreams.push_back(known.entry);
      }
    }
  }
  return upstreams;
}

std::uint64_t ServiceDirectory::version_of(const std::string& service, std::uint64_t life) const {
  const auto found = views_.find(service);
  const bool is_known = found != views_.end() && found->second.follower.life() == life;
  return is_known ? found->second.follower.version() : 0;
}

std::vector<std::string> ServiceDirectory::services() const {
  std::vector<std::string> names;
  for (const auto& [service, view] : views_) {
    names.push_back(service);
  }
  return names;
}

std::size_t ServiceDirectory::size() const {
  std::size_t count = 0;
  for (const auto& [service, view] : views_) {
    count += view.known.size();
  }
  return count;
}

void ServiceDirectory::ApplyEntry(View& view, const std::string& service, const RecordEntry& entry,
                                  base::TimePoint now, DeltaResult& result) {
  const bool is_removal = entry.state == EntryState::kRemoved;
  if (!is_removal && (!entry.record.upstream || entry.record.upstream->service != service)) {
    return;
  }
  const auto [position, is_new] = view.known.try_emplace(entry.record.node);
  Known& known = position->second;
  if (!is_new) {
    const Stamp held = known.entry.record.stamp;
    const std::uint64_t shown = entry.record.stamp.incarnation;
    if (!is_removal && (shown < held.incarnation ||
                        (shown == held.incarnation && held.revision == kFencedRevision))) {
      known.shown = shown;
    }
    const bool was_present = known.entry.state != EntryState::kRemoved;
    if (entry.record.stamp < held ||
        (was_present && !is_removal && !IsAllowedTransition(known.entry.record, entry.record))) {
      return;
    }
    VERIFY(entry.record.stamp >= held);
    // A removed incarnation never comes back.
    VERIFY(is_removal || held.revision != kFencedRevision ||
           entry.record.stamp.incarnation > held.incarnation);
    // A leaving upstream serves again only after a new announcement.
    VERIFY(is_removal || !was_present || IsAllowedTransition(known.entry.record, entry.record));
  }
  result.is_changed = result.is_changed || is_new || known.entry != entry;
  known = Known{entry, now, 0};
}

void ServiceDirectory::Sweep(View& view, base::TimePoint now, DeltaResult& result) {
  for (auto& [node, known] : view.known) {
    if (known.entry.state != EntryState::kRemoved && !view.follower.named().contains(node)) {
      // The stamp stays, so that an older record cannot return; the same one may.
      known.entry.state = EntryState::kRemoved;
      known.changed = now;
      result.is_changed = true;
    }
  }
}

}  // namespace borageloft::membership
