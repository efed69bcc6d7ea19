#include "libraries/dissemination/in_force_tracker.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace borageloft::dissemination {

void InForceTracker::SetExpected(const std::string& zone, const std::vector<std::string>& reachable,
                                 std::vector<std::string> unreachable) {
  Zone& held = zones_[zone];
  held.reachable = NodeSet();
  for (const std::string& node : reachable) {
    held.reachable.Add(node);
  }
  held.all = held.reachable;
  for (const std::string& node : unreachable) {
    held.all.Add(node);
  }
  held.unreachable = std::move(unreachable);
}

void InForceTracker::SetExpected(const ExpectedNodes& expected) {
  Zone& held = zones_[expected.zone];
  held.reachable = expected.reachable;
  held.all = expected.all;
  held.unreachable = expected.unreachable;
}

void InForceTracker::Report(const StatusUp& report, base::TimePoint now) {
  Zone& zone = zones_[report.zone];
  HostReport& held = zone.reports[report.node];
  if (std::tie(report.incarnation, report.sequence) <= std::tie(held.incarnation, held.sequence)) {
    return;
  }
  held = HostReport{report.incarnation, report.sequence, report.report, now};
  Update(zone, now);
}

bool InForceTracker::IsInForce(const std::string& zone, std::uint64_t number, base::TimePoint now) {
  const auto found = zones_.find(zone);
  if (found == zones_.end()) {
    return false;
  }
  Update(found->second, now);
  return found->second.in_force >= number;
}

bool InForceTracker::IsInForceEverywhere(std::uint64_t number, base::TimePoint now) {
  return std::all_of(zones_.begin(), zones_.end(), [&](auto& item) {
    Update(item.second, now);
    return item.second.reachable.count == 0 || item.second.in_force >= number;
  });
}

std::vector<ZoneStatus> InForceTracker::Status(base::TimePoint now) {
  std::vector<ZoneStatus> status;
  for (auto& [name, zone] : zones_) {
    Update(zone, now);
    const ZoneReport sum = Sum(zone, now);
    ZoneStatus item{name,
                    zone.in_force,
                    sum.lowest(),
                    zone.reachable.count,
                    sum.nodes().count,
                    zone.unreachable,
                    zone.all.count - std::min(zone.all.count, zone.reachable.count),
                    base::Duration::max()};
    for (const auto& [host, report] : zone.reports) {
      item.age = std::min(item.age, now - report.when);
    }
    status.push_back(std::move(item));
  }
  return status;
}

ZoneReport InForceTracker::Sum(const Zone& zone, base::TimePoint now) const {
  ZoneReport sum;
  for (const auto& [host, report] : zone.reports) {
    if (now - report.when <= report_lifetime_) {
      sum.Add(report.report);
    }
  }
  return sum;
}

void InForceTracker::Update(Zone& zone, base::TimePoint now) const {
  if (zone.reachable.count == 0) {
    return;
  }
  const ZoneReport sum = Sum(zone, now);
  const std::uint64_t before = zone.in_force;
  for (const Bucket& bucket : sum.buckets()) {
    // Nodes that the registry does not hear may still report through the tree, all or none.
    const NodeSet nodes = sum.NodesAt(bucket.number);
    if (nodes == zone.reachable || nodes == zone.all) {
      zone.in_force = std::max(zone.in_force, bucket.number);
    }
  }
  VERIFY(zone.in_force >= before);
}

}  // namespace borageloft::dissemination
