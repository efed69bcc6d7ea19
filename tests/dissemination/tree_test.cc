#include <gtest/gtest.h>

#include "tests/dissemination/world.h"

namespace borageloft::dissemination {
namespace {

TreePlanSettings PlanSettings() { return {{"c0", "c1", "c2"}, 8, std::chrono::minutes(10)}; }

std::string NameOf(int index) { return "n" + std::to_string(index); }

// Guards against a removal that moves more than the node that takes the place and the last leaf.
TEST(TreePlanTest, MovesFewNodesWhenAnInnerNodeLeaves) {
  TreePlan plan(PlanSettings(), 1);
  const base::TimePoint start;
  for (int index = 0; index < 600; ++index) {
    plan.Add(NameOf(index), "z", start + seconds(index));
  }
  plan.TakeChanged();
  std::map<std::string, std::string> parents;
  for (int index = 0; index < 600; ++index) {
    parents[NameOf(index)] = plan.PositionOf(NameOf(index))->candidates.front();
  }
  EXPECT_EQ(parents.at("n8"), "n0");
  EXPECT_EQ(parents.at("n72"), "n8");
  EXPECT_EQ(plan.PositionOf("n72")->candidates.at(1), "n0");
  plan.Remove("n3");
  std::size_t moved = 0;
  for (const auto& [node, parent] : parents) {
    // The children of the removed node have to change their parent in any case.
    if (node != "n3" && parent != "n3" && plan.PositionOf(node)->candidates.front() != parent) {
      ++moved;
    }
  }
  EXPECT_LE(moved, 2U);
  // Told are the moved nodes and those that have them as parent or grandparent.
  EXPECT_LE(plan.TakeChanged().size(), 2U + 8U + 64U);
}

// Guards against inner positions for nodes that were just started, which fail and restart most.
TEST(TreePlanTest, PrefersLongRunningParents) {
  TreePlan plan(PlanSettings(), 1);
  const base::TimePoint start = base::TimePoint() + std::chrono::hours(1);
  for (int index = 0; index < 8; ++index) {
    plan.Add(NameOf(index), "z", index == 5 ? start - std::chrono::hours(1) : start);
  }
  plan.Add("n8", "z", start);
  EXPECT_EQ(plan.PositionOf("n8")->candidates.front(), "n5");
  plan.Add("n9", "z", start - std::chrono::minutes(30));
  plan.Remove("n5");
  EXPECT_EQ(plan.PositionOf("n8")->candidates.front(), "n9");
}

// Guards against a new planner that moves all nodes, or whose positions the nodes take for old.
TEST(TreePlanTest, AnotherPlannerContinues) {
  TreePlan plan(PlanSettings(), 1);
  for (int index = 0; index < 100; ++index) {
    plan.Add(NameOf(index), "z", base::TimePoint() + seconds(index));
  }
  TreePlan next(PlanSettings(), 2);
  next.Restore("z", plan.SlotsOf("z"));
  for (int index = 0; index < 100; ++index) {
    const Position before = *plan.PositionOf(NameOf(index));
    const Position after = *next.PositionOf(NameOf(index));
    EXPECT_EQ(after.candidates, before.candidates);
    EXPECT_GT(after.version, before.version);
  }
}

// Guards against a node that keeps the position of a planner that is gone, since it is newer.
TEST(TreePlanTest, OverridesThePositionOfAnotherPlanner) {
  TreePlan plan(PlanSettings(), 1);
  const std::uint64_t foreign = std::uint64_t{2} << 32U;
  const Position answer = plan.Handle({"n0", "z", 1, foreign, 0}, base::TimePoint());
  EXPECT_GT(answer.version, foreign);
  EXPECT_EQ(plan.Handle({"n0", "z", 1, answer.version, 0}, base::TimePoint()).version,
            answer.version);
}

// Guards against a report that overstates a number when it has more of them than buckets.
TEST(ZoneReportTest, UnderstatesWhenThereAreTooManyNumbers) {
  ZoneReport report;
  for (int index = 0; index < 50; ++index) {
    report.Add(NameOf(index), 100 + static_cast<std::uint64_t>(index));
  }
  EXPECT_EQ(report.buckets().size(), kMaximumBuckets);
  EXPECT_EQ(report.lowest(), 100U);
  EXPECT_EQ(report.nodes().count, 50U);
  for (std::uint64_t number = 100; number < 150; ++number) {
    EXPECT_LE(report.NodesAt(number).count, 150 - number);
  }
}

StatusUp HostReport(std::uint64_t sequence, const std::map<std::string, std::uint64_t>& numbers) {
  StatusUp report{"c0", "z", 1, sequence, 0, false, {}, {}};
  for (const auto& [node, number] : numbers) {
    report.report.Add(node, number);
  }
  return report;
}

// Guards against a note that is called in force while a node lacks it and another counts twice.
TEST(InForceTrackerTest, ComparesSetsAndNotCounts) {
  InForceTracker tracker;
  const base::TimePoint now;
  tracker.SetExpected("z", {"a", "b"}, {});
  StatusUp report = HostReport(1, {{"a", 5}});
  report.report.Add("a", 5);
  tracker.Report(report, now);
  EXPECT_FALSE(tracker.IsInForce("z", 5, now));
  tracker.Report(HostReport(2, {{"a", 5}, {"b", 4}}), now);
  EXPECT_TRUE(tracker.IsInForce("z", 4, now));
  EXPECT_FALSE(tracker.IsInForce("z", 5, now));
  tracker.Report(HostReport(3, {{"a", 6}, {"b", 5}}), now);
  EXPECT_TRUE(tracker.IsInForce("z", 5, now));
  // A late report, or a node that restarts with an older number, takes nothing back.
  tracker.Report(HostReport(2, {{"a", 5}, {"b", 4}}), now);
  tracker.Report(HostReport(4, {{"a", 6}, {"b", 1}}), now);
  EXPECT_TRUE(tracker.IsInForce("z", 5, now));
}

// Guards against a status that waits for ever for hosts that cannot be reached.
TEST(InForceTrackerTest, NamesUnreachableNodes) {
  InForceTracker tracker;
  const base::TimePoint now;
  tracker.SetExpected("z", {"a", "b", "c"}, {});
  tracker.Report(HostReport(1, {{"a", 5}, {"b", 5}}), now);
  EXPECT_FALSE(tracker.IsInForceEverywhere(5, now));
  tracker.SetExpected("z", {"a", "b"}, {"c"});
  EXPECT_TRUE(tracker.IsInForceEverywhere(5, now));
  EXPECT_EQ(tracker.Status(now).front().unreachable, std::vector<std::string>{"c"});
}

/** A tree node alone, with what it sent and reported. */
struct SingleNode {
  explicit SingleNode(TreeRole role) {
    TreeNodeSettings settings;
    settings.node = "me";
    settings.zone = role == TreeRole::kNode ? "z" : "";
    settings.role = role;
    settings.control_hosts = {"c0"};
    TreeNodeHooks hooks;
    hooks.send = [this](const std::string& to, const Message& message) {
      sent.emplace_back(to, message);
    };
    hooks.random = base::SeededRandom(1);
    hooks.on_report = [this](const StatusUp& report, base::TimePoint) {
      reports.push_back(report);
    };
    tree = std::make_unique<TreeNode>(settings, hooks, 1, 0, now);
  }

  base::TimePoint now = base::TimePoint() + std::chrono::hours(1);
  std::vector<std::pair<std::string, Message>> sent;
  std::vector<StatusUp> reports;
  std::unique_ptr<TreeNode> tree;
};

StatusUp ChildStatus() {
  StatusUp status{"child", "z", 1, 1, 0, false, {}, {}};
  status.report.Add("child", 0);
  return status;
}

// Guards against a child that is counted twice until the last report of its former host expires.
TEST(TreeNodeEndTest, AControlHostReportsThatTheLastChildOfAZoneLeft) {
  SingleNode host(TreeRole::kControlHost);
  host.tree->Receive("child", ChildStatus(), host.now);
  host.tree->Tick(host.now);
  ASSERT_EQ(host.reports.size(), 1U);
  EXPECT_EQ(host.reports[0].report.nodes().count, 1U);
  host.tree->Receive("child", Detach{"child", 1, 2}, host.now);
  host.tree->Tick(host.now + milliseconds(50));
  ASSERT_EQ(host.reports.size(), 2U);
  EXPECT_EQ(host.reports[1].zone, "z");
  EXPECT_EQ(host.reports[1].report.nodes().count, 0U);
}

// Guards against a graceful end that parent and children notice only by silence.
TEST(TreeNodeEndTest, ANodeThatEndsTellsParentAndChildren) {
  SingleNode node(TreeRole::kNode);
  node.tree->Receive("child", ChildStatus(), node.now);
  node.sent.clear();
  node.tree->Leave();
  ASSERT_EQ(node.sent.size(), 2U);
  EXPECT_EQ(node.sent[0].first, "c0");
  EXPECT_TRUE(std::holds_alternative<Detach>(node.sent[0].second));
  EXPECT_EQ(node.sent[1].first, "child");
  EXPECT_FALSE(std::get<StatusDown>(node.sent[1].second).is_accepted);
}

// Guards against a region that stays behind after an hour alone with hundreds of notes meanwhile.
TEST(TreeRunTest, ARegionCatchesUpAfterAnHourAlone) {
  WorldSize size;
  size.nodes = 60;
  size.hosts = 3;
  World world(size, 3);
  world.loss = 0.01;
  world.tick = milliseconds(50);
  world.Run(seconds(15));
  world.cut_regions.insert(2);
  for (int note = 0; note < 400; ++note) {
    world.Submit();
    world.Run(seconds(9));
    if (note == 1) {
      world.UpdateExpected();
    }
  }
  EXPECT_TRUE(world.IsEverywhere(400, 0));
  EXPECT_FALSE(world.IsEverywhere(1, 2));
  // The region that is cut off is named and does not hold back the status of the others.
  EXPECT_TRUE(world.tracker.IsInForceEverywhere(400, world.now));
  world.cut_regions.clear();
  world.UpdateExpected();
  world.Run(seconds(5));
  EXPECT_TRUE(world.IsEverywhere(400));
  world.Run(seconds(2));
  EXPECT_TRUE(world.tracker.IsInForceEverywhere(400, world.now));
}

// Guards against orphans that wait for a parent that died, and against a subtree that stays alone
// when parent and grandparent die together.
TEST(TreeRunTest, OrphansAttachToTheNearestLivingAncestor) {
  WorldSize size;
  size.nodes = 300;
  size.zones = 1;
  size.regions = 1;
  World world(size, 4);
  world.Run(seconds(20));
  ASSERT_TRUE(world.IsJoined());
  auto deepest = std::find_if(world.processes.begin(), world.processes.end(), [&](auto& item) {
    const std::string parent = item.second.tree->parent();
    return !World::IsHost(item.first) && !World::IsHost(parent) &&
           !World::IsHost(world.processes.at(parent).tree->parent());
  });
  ASSERT_NE(deepest, world.processes.end());
  World::Process& parent = world.processes.at(deepest->second.tree->parent());
  World::Process& grandparent = world.processes.at(parent.tree->parent());
  const std::string grandparent_name = grandparent.name;
  world.Crash(parent);
  world.Run(milliseconds(2500));
  EXPECT_TRUE(world.IsJoined());
  EXPECT_EQ(deepest->second.tree->parent(), grandparent_name);
  // The removed node is replaced by a leaf, and its children return to the plan.
  world.Run(seconds(5));
  world.UpdateExpected();
  world.Run(seconds(2));
  const std::string planned = deepest->second.tree->parent();
  EXPECT_NE(planned, grandparent_name);
  world.Crash(world.processes.at(planned));
  world.Crash(grandparent);
  world.Submit();
  world.Run(seconds(5));
  EXPECT_TRUE(world.IsJoined());
  EXPECT_TRUE(world.IsEverywhere(1));
}

}  // namespace
}  // namespace borageloft::dissemination
