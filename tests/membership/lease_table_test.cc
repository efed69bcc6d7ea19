#include "libraries/membership/lease_table.h"

#include <gtest/gtest.h>

#include "libraries/membership/region_exchange.h"

namespace borageloft::membership {
namespace {

using std::chrono::seconds;
using Verdict = LeaseTable::Verdict;

NodeRecord RecordOf(const std::string& node, Stamp stamp, UpstreamState state) {
  NodeRecord record;
  record.node = node;
  record.stamp = stamp;
  record.region = "south";
  record.upstream = UpstreamData{"archivo", "a", 1, 1, 1, state};
  return record;
}

// Guards against a removed or older incarnation that a delayed lease brings back, and against a
// node that is not told that it needs a new one.
TEST(LeaseTableTest, FencesRemovedAndOlderIncarnations) {
  LeaseTable table;
  const base::TimePoint now;
  EXPECT_EQ(table.Hear({RecordOf("n", {5, 1}, UpstreamState::kServing), 1}, now),
            Verdict::kChanged);
  EXPECT_EQ(table.Hear({RecordOf("n", {5, 1}, UpstreamState::kServing), 2}, now),
            Verdict::kRenewed);
  EXPECT_EQ(table.Hear({RecordOf("n", {5, 1}, UpstreamState::kServing), 2}, now), Verdict::kStale);
  EXPECT_EQ(table.Hear({RecordOf("n", {4, 9}, UpstreamState::kServing), 9}, now), Verdict::kFenced);
  table.Remove(*table.Find("n"), now);
  EXPECT_EQ(table.Hear({RecordOf("n", {5, 2}, UpstreamState::kServing), 3}, now), Verdict::kFenced);
  EXPECT_EQ(table.Learn({RecordOf("n", {5, 2}, UpstreamState::kServing), EntryState::kAlive}, now),
            Verdict::kFenced);
  EXPECT_EQ(table.Hear({RecordOf("n", {6, 1}, UpstreamState::kServing), 1}, now),
            Verdict::kChanged);
}

// Guards against a leaving upstream that serves again without a new announcement.
TEST(LeaseTableTest, RefusesToTakeLeavingBack) {
  LeaseTable table;
  const base::TimePoint now;
  table.Hear({RecordOf("n", {5, 1}, UpstreamState::kLeaving), 1}, now);
  EXPECT_EQ(table.Find("n")->state, EntryState::kLeaving);
  NodeRecord again = RecordOf("n", {5, 2}, UpstreamState::kServing);
  EXPECT_EQ(table.Hear({again, 2}, now), Verdict::kContradictory);
  again.upstream->announcement = 2;
  EXPECT_EQ(table.Hear({again, 2}, now), Verdict::kChanged);
  EXPECT_EQ(table.Find("n")->state, EntryState::kAlive);
}

// Guards against a node that stays silent for good because it drew the incarnation of an earlier
// life, while leases that were only delayed must not cost a node its incarnation.
TEST(LeaseTableTest, RecognisesASecondLifeWithTheSameIncarnation) {
  LeaseTable table;
  const base::TimePoint now;
  const NodeRecord record = RecordOf("n", {5, 1}, UpstreamState::kServing);
  table.Hear({record, 100}, now);
  EXPECT_EQ(table.Hear({record, 98}, now), Verdict::kStale);
  EXPECT_EQ(table.Hear({record, 99}, now), Verdict::kStale);
  EXPECT_EQ(table.Hear({record, 101}, now), Verdict::kRenewed);
  EXPECT_EQ(table.Hear({record, 1}, now), Verdict::kStale);
  EXPECT_EQ(table.Hear({record, 2}, now), Verdict::kStale);
  EXPECT_EQ(table.Hear({record, 3}, now), Verdict::kStale);
  EXPECT_EQ(table.Hear({record, 4}, now), Verdict::kFenced);
}

// Guards against an upstream of another region that stays missing: one partner did not hold it,
// and the next one, followed before, is asked only for what changed since.
TEST(RegionExchangeTest, FollowsAnEarlierPartnerAnew) {
  base::TimePoint now = base::TimePoint() + std::chrono::hours(1);
  std::map<std::string, EntryState> seen;
  std::vector<std::pair<std::string, StateRequest>> requests;
  RegionExchangeSettings settings;
  settings.registry = "own";
  settings.region = "north";
  settings.other_regions["south"] = {"p0", "p1"};
  RegionExchange exchange(
      settings,
      {[&](const std::string& to, const Message& message) {
         if (const auto* request = std::get_if<StateRequest>(&message)) {
           requests.emplace_back(to, *request);
         }
       },
       [](const RecordEntry&, base::TimePoint) {},
       [&](const RecordEntry& entry, base::TimePoint) { seen[entry.record.node] = entry.state; }},
      1, now);
  const auto entry = [](const std::string& node) {
    return RecordEntry{RecordOf(node, {5, 1}, UpstreamState::kServing), EntryState::kAlive};
  };
  exchange.Tick(now);
  const std::string first = requests.back().first;
  exchange.Handle(StateDelta{first, "south", {1, 0, 10, 10, true, {entry("a"), entry("b")}}}, now);
  now += seconds(4);
  exchange.Tick(now);
  const std::string second = requests.back().first;
  ASSERT_NE(second, first);
  exchange.Handle(StateDelta{second, "south", {1, 0, 7, 7, true, {entry("a")}}}, now);
  EXPECT_EQ(seen.at("b"), EntryState::kRemoved);
  now += seconds(4);
  exchange.Tick(now);
  ASSERT_EQ(requests.back().first, first);
  EXPECT_EQ(requests.back().second.after, 0U);
  exchange.Handle(StateDelta{first, "south", {1, 0, 10, 10, true, {entry("a"), entry("b")}}}, now);
  EXPECT_EQ(seen.at("b"), EntryState::kAlive);
  // After a silence without another partner in between, the changes are enough.
  now += seconds(4);
  exchange.Tick(now);
  now += seconds(4);
  exchange.Tick(now);
  EXPECT_EQ(requests.back().first, first);
  EXPECT_EQ(requests.back().second.after, 10U);
}

}  // namespace
}  // namespace borageloft::membership
