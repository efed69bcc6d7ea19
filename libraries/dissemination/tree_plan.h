#ifndef BORAGELOFT_DISSEMINATION_TREE_PLAN_H_
#define BORAGELOFT_DISSEMINATION_TREE_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libraries/base/base.h"
#include "libraries/dissemination/messages.h"

namespace borageloft::dissemination {

/** Shape of the trees of a region. */
struct TreePlanSettings {
  std::vector<std::string> control_hosts;  ///< Control hosts of the region, at most 22.
  std::size_t fan_out = 8;
  /// A leaf takes the place of an inner node only when it has run longer by this much.
  base::Duration minimum_seniority = std::chrono::minutes(10);
};

/**
 * Positions of the nodes of a region, with one tree per zone, on the control host that plans. A
 * zone's nodes fill the slots of a complete tree; the first fan_out slots have control hosts as
 * parents. When a node leaves an inner slot, the longest-running leaf takes it and the last leaf
 * closes the gap, so at most two nodes move, and no subtree does. Not thread-safe.
 */
class TreePlan {
 public:
  /** @param epoch Term of the planning control host; versions of a later term are higher. */
  TreePlan(TreePlanSettings settings, std::uint64_t epoch);

  /** Adds a node at the end of its zone's tree, or moves it when its zone changed. */
  void Add(const std::string& node, const std::string& zone, base::TimePoint started);

  /** Removes a node; nothing happens when it is unknown. */
  void Remove(const std::string& node);

  /** Takes over the slots of a zone from another planner. */
  void Restore(const std::string& zone,
               const std::vector<std::pair<std::string, base::TimePoint>>& slots);

  /** @return The nodes of a zone with their start times in the order of the slots. */
  std::vector<std::pair<std::string, base::TimePoint>> SlotsOf(const std::string& zone) const;

  /**
   * Answers a node's request; a node that is not known yet is added. When the node has the position
   * of another planner, the answer gets a higher version, so the planner that was asked last rules.
   * @return The node's position, also when it has not changed.
   */
  Position Handle(const PositionRequest& request, base::TimePoint now);

  /** @return The parent candidates of a node, or nothing when it is unknown. */
  std::optional<Position> PositionOf(const std::string& node) const;

  /** @return The nodes whose position changed since the last call; they have to be told. */
  std::vector<std::string> TakeChanged();

  bool is_known(const std::string& node) const { return places_.contains(node); }
  std::size_t size() const { return places_.size(); }

 private:
  struct Place {
    std::string zone;
    std::size_t slot = 0;
    base::TimePoint started;
    std::uint64_t version = 0;
  };
  using Slots = std::vector<std::string>;

  std::optional<std::size_t> ParentOf(std::size_t slot) const;
  std::size_t FirstChildOf(std::size_t slot) const { return (slot + 1) * settings_.fan_out; }
  std::size_t FirstLeafOf(const Slots& slots) const;
  std::size_t LongestRunningLeafOf(const Slots& slots) const;
  void PutAt(Slots& slots, std::size_t slot, const std::string& node);
  void MarkChanged(const Slots& slots, std::size_t slot, int levels);
  void PromoteForFirstChild(Slots& slots);

  TreePlanSettings settings_;
  std::uint64_t version_;
  std::map<std::string, Slots> zones_;
  std::map<std::string, Place> places_;
  std::set<std::string> changed_;
};

}  // namespace borageloft::dissemination

#endif  // BORAGELOFT_DISSEMINATION_TREE_PLAN_H_
