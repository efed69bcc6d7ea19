#include "libraries/ledger/ledger_groups.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "libraries/ledger/ledger_error.h"

namespace borageloft::ledger {

namespace {

std::chrono::milliseconds MillisecondsOf(base::WallTime time) {
  return std::chrono::floor<std::chrono::milliseconds>(time.time_since_epoch());
}

// Adds a value to a timeline; the first one is in force for all keys.
template <typename Timeline, typename Value>
void AddToTimeline(Timeline& timeline, Value value, base::WallTime from, base::WallTime now) {
  if (timeline.empty()) {
    timeline.emplace(std::chrono::milliseconds(0), std::move(value));
    return;
  }
  // Callers' clocks run up to kClockSkew ahead, so keys of the near future exist already.
  if (from < now + kGroupChangeLead || MillisecondsOf(from) <= timeline.rbegin()->first) {
    throw LedgerError("ledger groups: a change must lie at least " +
                      std::to_string(kGroupChangeLead.count()) +
                      " s ahead and behind the changes before it");
  }
  timeline.emplace(MillisecondsOf(from), std::move(value));
}

template <typename Timeline>
const auto* FindAt(const Timeline& timeline, std::chrono::milliseconds time) {
  const auto next = timeline.upper_bound(time);
  return next == timeline.begin() ? nullptr : &std::prev(next)->second;
}

template <typename Timeline>
void ForgetBefore(Timeline& timeline, std::chrono::milliseconds time) {
  while (timeline.size() > 1 && std::next(timeline.begin())->first <= time) {
    timeline.erase(timeline.begin());
  }
}

}  // namespace

void LedgerGroups::SetGroups(std::vector<LedgerGroup> groups, base::WallTime from,
                             base::WallTime now) {
  std::sort(groups.begin(), groups.end(),
            [](const LedgerGroup& a, const LedgerGroup& b) { return a.name < b.name; });
  const auto twice = std::adjacent_find(
      groups.begin(), groups.end(), [](const auto& a, const auto& b) { return a.name == b.name; });
  if (twice != groups.end()) {
    throw LedgerError("ledger groups: two groups are named " + twice->name);
  }
  AddToTimeline(groups_, std::move(groups), from, now);
}

void LedgerGroups::SetHome(const std::string& service, std::string region, base::WallTime from,
                           base::WallTime now) {
  AddToTimeline(homes_[service], std::move(region), from, now);
}

const LedgerGroup& LedgerGroups::GroupOf(const IdempotencyKey& key,
                                         const std::string& service) const {
  const auto home = homes_.find(service);
  const std::string* region =
      home == homes_.end() ? nullptr : FindAt(home->second, key.timestamp());
  if (region == nullptr) {
    throw LedgerError("ledger groups: service " + service + " has no home region");
  }
  const Groups* groups = FindAt(groups_, key.timestamp());
  if (groups == nullptr) {
    throw LedgerError("ledger groups: no groups are set");
  }
  const LedgerGroup* best = nullptr;
  std::uint64_t best_score = 0;
  for (const LedgerGroup& group : *groups) {
    const std::uint64_t score = base::Hash(group.name, key.Hash());
    if (group.region == *region && (best == nullptr || score > best_score)) {
      best = &group;
      best_score = score;
    }
  }
  if (best == nullptr) {
    throw LedgerError("ledger groups: region " + *region + " has no group");
  }
  return *best;
}

void LedgerGroups::ForgetOld(base::WallTime now) {
  const std::chrono::milliseconds oldest = MillisecondsOf(now) - kKeyWindow - kClockSkew;
  ForgetBefore(groups_, oldest);
  for (auto& [service, timeline] : homes_) {
    ForgetBefore(timeline, oldest);
  }
}

}  // namespace borageloft::ledger
