#include <gtest/gtest.h>

#include <map>

#include "libraries/request_path/request_path.h"

namespace borageloft::request_path {
namespace {

using std::chrono::milliseconds;

class InstanceChooserTest : public ::testing::Test {
 protected:
  void Add(const std::string& node, const std::string& zone) {
    directory::InstanceRecord record;
    record.node = node;
    record.zone = zone;
    record.service = "parts";
    record.instance = "i-" + node;
    record.slots = 10;
    records_[node] = record;
    ApplyRecords();
  }
  void ApplyRecords() {
    for (const std::string& node : std::exchange(applied_, {})) {
      if (!records_.contains(node)) {
        chooser_.Remove(node);
      }
    }
    for (const auto& [node, record] : records_) {
      chooser_.Set(record);
      applied_.push_back(node);
    }
  }
  std::string Choose(const std::vector<std::string>& tried = {},
                     wire::RequestOrigin origin = wire::RequestOrigin::kCaller) {
    const directory::InstanceRecord* record =
        chooser_.Choose("parts", origin, tried, CandidateFilter::kExcludeTried, now_, random_);
    return record == nullptr ? "" : record->node;
  }
  std::map<std::string, int> ChooseMany(int count) {
    std::map<std::string, int> counts;
    for (int i = 0; i < count; ++i) {
      ++counts[Choose()];
    }
    return counts;
  }
  void End(const std::string& node, AttemptOutcome outcome, milliseconds took,
           std::uint32_t in_flight = 0, std::uint32_t rate_limit_milli = 0,
           admission::AdmissionLevel level = {}) {
    wire::LoadReport load;
    load.rate_limit_milli = rate_limit_milli;
    load.level_rank = level.rank();
    load.level_share = level.share();
    load.in_flight = in_flight;
    load.limit = 10;
    chooser_.RecordStart("parts", node);
    chooser_.RecordEnd("parts", node, "i-" + node, outcome, took, &load, now_);
  }

  base::TimePoint now_{std::chrono::seconds(100)};
  base::Random random_ = base::SeededRandom(3);
  std::vector<std::string> applied_;
  std::map<std::string, directory::InstanceRecord> records_;
  InstanceChooser chooser_{"here"};
};

// Guards against traffic between zones while the node's own zone has free capacity.
TEST_F(InstanceChooserTest, StaysInItsZoneWhileItHasCapacity) {
  Add("near", "here");
  Add("far", "there");
  End("near", AttemptOutcome::kServed, milliseconds(80));
  End("far", AttemptOutcome::kServed, milliseconds(10));
  EXPECT_EQ(ChooseMany(50)["near"], 50);
  End("near", AttemptOutcome::kServed, milliseconds(80), 10);
  EXPECT_EQ(ChooseMany(50)["far"], 50);
}

// Guards against keeping a call in its zone when each of the calls below it has to leave the zone.
TEST_F(InstanceChooserTest, ACallCrossesZonesOnceInsteadOfEachOfItsCalls) {
  Add("near", "here");
  Add("far", "there");
  records_["near"].remote_calls = 4;
  ApplyRecords();
  EXPECT_EQ(Choose({}, wire::RequestOrigin::kUpstream), "far");
  EXPECT_EQ(Choose(), "near");
  records_["near"].remote_calls = 1;
  records_["far"].remote_calls = 1;
  ApplyRecords();
  EXPECT_EQ(Choose({}, wire::RequestOrigin::kUpstream), "near");
  EXPECT_TRUE(chooser_.HasInstanceInZone("parts"));
  records_["near"].state = directory::InstanceState::kLeaving;
  ApplyRecords();
  EXPECT_FALSE(chooser_.HasInstanceInZone("parts"));
}

// Guards against preferring an instance for its low latency when it fails fast.
TEST_F(InstanceChooserTest, AvoidsAFailingInstance) {
  Add("a", "here");
  Add("b", "here");
  End("a", AttemptOutcome::kServed, milliseconds(50));
  End("b", AttemptOutcome::kServed, milliseconds(50));
  for (int i = 0; i < 8; ++i) {
    End("a", AttemptOutcome::kFailed, milliseconds(1));
  }
  EXPECT_EQ(ChooseMany(50)["b"], 50);
  // It is tried again later.
  now_ += std::chrono::seconds(10);
  EXPECT_GT(ChooseMany(200)["a"], 0);
}

// Guards against sending a request to an instance that is gone, or twice to the same one.
TEST_F(InstanceChooserTest, AvoidsGoneAndTriedInstances) {
  Add("a", "here");
  Add("b", "here");
  End("a", AttemptOutcome::kUnavailable, milliseconds(1));
  EXPECT_EQ(ChooseMany(50)["b"], 50);
  EXPECT_EQ(Choose({"b"}), "a");
  EXPECT_EQ(Choose({"a", "b"}), "");
  records_["b"].state = directory::InstanceState::kLeaving;
  ApplyRecords();
  now_ += std::chrono::seconds(2);
  EXPECT_EQ(ChooseMany(50)["a"], 50);
}

// Guards against sending requests to a node whose connection is silent.
TEST_F(InstanceChooserTest, AvoidsSilentNodes) {
  Add("a", "here");
  Add("b", "there");
  chooser_.set_is_silent([](const std::string& node) { return node == "a"; });
  EXPECT_EQ(ChooseMany(50)["b"], 50);
  EXPECT_EQ(Choose({"b"}), "a");
}

// Guards against an instance that gets no more requests because it was slow once.
TEST_F(InstanceChooserTest, TriesASlowInstanceAgain) {
  Add("a", "here");
  Add("b", "here");
  End("a", AttemptOutcome::kServed, milliseconds(900));
  End("b", AttemptOutcome::kServed, milliseconds(50));
  EXPECT_EQ(ChooseMany(50)["b"], 50);
  now_ += std::chrono::seconds(20);
  EXPECT_GT(ChooseMany(200)["a"], 0);
}

// Guards against applying the statistics of an ended instance to the next one on its node.
TEST_F(InstanceChooserTest, ANewInstanceStartsWithoutStatistics) {
  Add("a", "here");
  Add("b", "here");
  for (int i = 0; i < 20; ++i) {
    End("a", AttemptOutcome::kFailed, milliseconds(1));
  }
  records_["a"].instance = "i-new";
  ApplyRecords();
  EXPECT_GT(ChooseMany(100)["a"], 0);
  EXPECT_EQ(chooser_.Choose("other", wire::RequestOrigin::kCaller, {},
                            CandidateFilter::kExcludeTried, now_, random_),
            nullptr);
}

// Guards against a slow instance that every node uses until it has measured the slowdown itself.
TEST_F(InstanceChooserTest, AvoidsAnInstanceWhoseGateReportsASlowdown) {
  Add("near", "here");
  Add("far", "there");
  records_["near"].slowdown_steps = 1;
  ApplyRecords();
  EXPECT_EQ(ChooseMany(50)["near"], 50);
  records_["near"].slowdown_steps = 2;
  ApplyRecords();
  EXPECT_EQ(ChooseMany(50)["far"], 50);
  Add("other", "there");
  records_["other"].slowdown_steps = 1;
  ApplyRecords();
  EXPECT_EQ(ChooseMany(50)["far"], 50);
}

// Guards against leaving the zone for instances that are as slow, since the cause lies below all.
TEST_F(InstanceChooserTest, StaysInTheZoneWhenMostInstancesAreSlow) {
  Add("near", "here");
  Add("far", "there");
  Add("other", "there");
  records_["near"].slowdown_steps = 2;
  ApplyRecords();
  EXPECT_EQ(ChooseMany(50)["near"], 0);
  records_["far"].slowdown_steps = 2;
  records_["other"].slowdown_steps = 2;
  ApplyRecords();
  EXPECT_EQ(ChooseMany(50)["near"], 50);
}

// Guards against retries that make calls again but count against the budget as if they made none.
TEST_F(InstanceChooserTest, AServiceIsALeafOnlyIfNoInstanceMakesCalls) {
  EXPECT_FALSE(chooser_.IsLeaf("parts"));
  Add("a", "here");
  Add("b", "here");
  EXPECT_FALSE(chooser_.IsLeaf("parts"));
  records_["a"].calls = directory::CallUse::kNone;
  ApplyRecords();
  EXPECT_TRUE(chooser_.IsLeaf("parts"));
  records_["b"].calls = directory::CallUse::kSome;
  ApplyRecords();
  EXPECT_FALSE(chooser_.IsLeaf("parts"));
}

// Guards against sending an instance that limits its rate more than it takes while others are free.
TEST_F(InstanceChooserTest, RootsBeyondANamedRateGoToOtherInstances) {
  Add("near", "here");
  Add("far", "there");
  constexpr std::uint32_t kHalf = admission::ShedKey::kPositions / 2;
  End("near", AttemptOutcome::kServed, milliseconds(80), 1, 5000, {1, kHalf});
  const auto choose = [&](std::uint32_t position) {
    return chooser_
        .Choose("parts", wire::RequestOrigin::kCaller, {}, CandidateFilter::kExcludeTried, now_,
                random_, {0, admission::ShedKey(std::uint64_t{position} << 48U)})
        ->node;
  };
  EXPECT_EQ(choose(0), "near");
  EXPECT_EQ(choose(kHalf), "far");
  EXPECT_EQ(chooser_.RateLimitMilli("parts", "near"), 5000U);
  EXPECT_TRUE(chooser_.HasInstanceWithoutRateLimit("parts"));
  End("far", AttemptOutcome::kServed, milliseconds(80), 1, 5000);
  EXPECT_FALSE(chooser_.HasInstanceWithoutRateLimit("parts"));
  records_["near"].born = 7;  // The first heartbeat after the node has found its instance.
  ApplyRecords();
  EXPECT_EQ(chooser_.RateLimitMilli("parts", "near"), 5000U);
  records_["near"].born = 8;
  ApplyRecords();
  EXPECT_EQ(chooser_.RateLimitMilli("parts", "near"), 0U);
}

// Guards against requests to a leaving instance whose node has restarted and does not know of the
// leave (DRAIN).
TEST_F(InstanceChooserTest, AnInstanceThatSaidThatItLeavesGetsNothingMore) {
  Add("near", "here");
  wire::LoadReport load;
  load.limit = 10;
  load.is_leaving = true;
  chooser_.RecordStart("parts", "near");
  chooser_.RecordEnd("parts", "near", "i-near", AttemptOutcome::kServed, milliseconds(80), &load,
                     now_);
  EXPECT_EQ(Choose(), "near");
  now_ += milliseconds(700);
  EXPECT_EQ(Choose(), "");
  const directory::InstanceRecord record = records_["near"];
  records_.erase("near");
  ApplyRecords();
  records_["near"] = record;
  records_["near"].epoch = 2;
  ApplyRecords();
  EXPECT_EQ(Choose(), "");
  records_["near"].born = 7;
  ApplyRecords();
  EXPECT_EQ(Choose(), "");
  records_["near"].born = 8;
  ApplyRecords();
  EXPECT_EQ(Choose(), "near");
}

}  // namespace
}  // namespace borageloft::request_path
