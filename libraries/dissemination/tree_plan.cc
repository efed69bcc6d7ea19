#include "libraries/dissemination/tree_plan.h"

#include <algorithm>
#include <utility>

namespace borageloft::dissemination {

TreePlan::TreePlan(TreePlanSettings settings, std::uint64_t epoch)
    : settings_(std::move(settings)), version_(epoch << 32U) {
  VERIFY(settings_.fan_out > 0);
  VERIFY(!settings_.control_hosts.empty());
  VERIFY(settings_.control_hosts.size() + 2 <= kMaximumCandidates);
}

void TreePlan::Add(const std::string& node, const std::string& zone, base::TimePoint started) {
  const auto found = places_.find(node);
  if (found != places_.end()) {
    if (found->second.zone == zone) {
      found->second.started = started;
      return;
    }
    Remove(node);
  }
  Slots& slots = zones_[zone];
  places_[node] = Place{zone, slots.size(), started, 0};
  slots.push_back(node);
  MarkChanged(slots, slots.size() - 1, 0);
  PromoteForFirstChild(slots);
}

void TreePlan::Remove(const std::string& node) {
  const auto found = places_.find(node);
  if (found == places_.end()) {
    return;
  }
  const Place place = found->second;
  places_.erase(found);
  changed_.erase(node);
  Slots& slots = zones_.at(place.zone);
  std::size_t gap = place.slot;
  if (FirstChildOf(gap) < slots.size()) {
    const std::size_t leaf = LongestRunningLeafOf(slots);
    PutAt(slots, gap, slots[leaf]);
    gap = leaf;
  }
  const std::string last = slots.back();
  slots.pop_back();
  if (gap < slots.size()) {
    PutAt(slots, gap, last);
  }
}

void TreePlan::Restore(const std::string& zone,
                       const std::vector<std::pair<std::string, base::TimePoint>>& slots) {
  VERIFY(!zones_.contains(zone));
  for (const auto& [node, started] : slots) {
    VERIFY(!places_.contains(node));
    places_[node] = Place{zone, zones_[zone].size(), started, 0};
    zones_[zone].push_back(node);
    MarkChanged(zones_[zone], zones_[zone].size() - 1, 0);
  }
}

std::vector<std::pair<std::string, base::TimePoint>> TreePlan::SlotsOf(
    const std::string& zone) const {
  std::vector<std::pair<std::string, base::TimePoint>> slots;
  const auto found = zones_.find(zone);
  if (found != zones_.end()) {
    for (const std::string& node : found->second) {
      slots.emplace_back(node, places_.at(node).started);
    }
  }
  return slots;
}

std::optional<Position> TreePlan::PositionOf(const std::string& node) const {
  const auto found = places_.find(node);
  if (found == places_.end()) {
    return std::nullopt;
  }
  const Place& place = found->second;
  const Slots& slots = zones_.at(place.zone);
  Position position{place.version, {}, {}};
  std::optional<std::size_t> ancestor = ParentOf(place.slot);
  for (int level = 0; level < 2 && ancestor.has_value(); ++level) {
    position.candidates.push_back(slots[*ancestor]);
    ancestor = ParentOf(*ancestor);
  }
  // The siblings begin with different control hosts, which spreads their load.
  const std::vector<std::string>& hosts = settings_.control_hosts;
  const std::size_t first = place.slot + base::Hash(place.zone) % hosts.size();
  for (std::size_t index = 0; index < hosts.size(); ++index) {
    position.candidates.push_back(hosts[(first + index) % hosts.size()]);
  }
  return position;
}

Position TreePlan::Handle(const PositionRequest& request, base::TimePoint now) {
  Add(request.node, request.zone, now - std::chrono::seconds(request.age_s));
  Place& place = places_.at(request.node);
  if (place.version < request.version) {
    version_ = std::max(version_, request.version) + 1;
    place.version = version_;
  }
  return *PositionOf(request.node);
}

std::vector<std::string> TreePlan::TakeChanged() {
  std::vector<std::string> nodes(changed_.begin(), changed_.end());
  changed_.clear();
  return nodes;
}

std::optional<std::size_t> TreePlan::ParentOf(std::size_t slot) const {
  if (slot < settings_.fan_out) {
    return std::nullopt;
  }
  return slot / settings_.fan_out - 1;
}

std::size_t TreePlan::FirstLeafOf(const Slots& slots) const {
  const std::optional<std::size_t> last_parent = ParentOf(slots.size() - 1);
  return last_parent.has_value() ? *last_parent + 1 : 0;
}

std::size_t TreePlan::LongestRunningLeafOf(const Slots& slots) const {
  const auto first = slots.begin() + static_cast<std::ptrdiff_t>(FirstLeafOf(slots));
  const auto oldest =
      std::min_element(first, slots.end(), [this](const std::string& a, const std::string& b) {
        return places_.at(a).started < places_.at(b).started;
      });
  return static_cast<std::size_t>(oldest - slots.begin());
}

void TreePlan::PutAt(Slots& slots, std::size_t slot, const std::string& node) {
  slots[slot] = node;
  places_.at(node).slot = slot;
  MarkChanged(slots, slot, 2);
}

void TreePlan::MarkChanged(const Slots& slots, std::size_t slot, int levels) {
  const auto place = places_.find(slots[slot]);
  if (place != places_.end()) {
    place->second.version = ++version_;
    changed_.insert(slots[slot]);
  }
  const std::size_t first = FirstChildOf(slot);
  for (std::size_t child = first; levels > 0 && child < first + settings_.fan_out; ++child) {
    if (child < slots.size()) {
      MarkChanged(slots, child, levels - 1);
    }
  }
}

void TreePlan::PromoteForFirstChild(Slots& slots) {
  const std::optional<std::size_t> parent = ParentOf(slots.size() - 1);
  if (!parent.has_value() || FirstChildOf(*parent) != slots.size() - 1) {
    return;
  }
  const std::size_t leaf = LongestRunningLeafOf(slots);
  const std::string young = slots[*parent];
  const std::string old = slots[leaf];
  if (places_.at(old).started + settings_.minimum_seniority <= places_.at(young).started) {
    PutAt(slots, leaf, young);
    PutAt(slots, *parent, old);
  }
}

}  // namespace borageloft::dissemination
