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
    chooser_.Update(records_);
  }
  std::string Choose(const std::vector<std::string>& tried = {},
                     wire::RequestOrigin origin = wire::RequestOrigin::kCaller) {
    const directory::InstanceRecord* record =
        chooser_.Choose("parts", origin, tried, TriedUse::kLeaveOut, now_, random_);
    return record == nullptr ? "" : record->node;
  }
  std::map<std::string, int> ChooseMany(int count) {
    std::map<std::string, int> counts;
    for (int i = 0; i < count; ++i) {
      ++counts[Choose()];
    }
    return counts;
  }
  void End(const std::string& node, AttemptEnd end, milliseconds took,
           std::uint32_t in_flight = 0) {
    wire::LoadReport load;
    load.in_flight = in_flight;
    load.limit = 10;
    chooser_.RecordStart("parts", node);
    chooser_.RecordEnd("parts", node, "i-" + node, end, took, &load, now_);
  }

  base::TimePoint now_{std::chrono::seconds(100)};
  base::Random random_ = base::SeededRandom(3);
  std::map<std::string, directory::InstanceRecord> records_;
  InstanceChooser chooser_{"here"};
};

// Guards against bytes between zones while the own zone has room.
TEST_F(InstanceChooserTest, StaysInItsZoneWhileItHasRoom) {
  Add("near", "here");
  Add("far", "there");
  End("near", AttemptEnd::kServed, milliseconds(80));
  End("far", AttemptEnd::kServed, milliseconds(10));
  EXPECT_EQ(ChooseMany(50)["near"], 50);
  End("near", AttemptEnd::kServed, milliseconds(80), 10);
  EXPECT_EQ(ChooseMany(50)["far"], 50);
}

// Guards against a call that stays in its zone where each of the calls below it has to leave it.
TEST_F(InstanceChooserTest, ACallCrossesOnceRatherThanItsCallsEach) {
  Add("near", "here");
  Add("far", "there");
  records_["near"].remote_calls = 4;
  chooser_.Update(records_);
  EXPECT_EQ(Choose({}, wire::RequestOrigin::kUpstream), "far");
  EXPECT_EQ(Choose(), "near");
  records_["near"].remote_calls = 1;
  records_["far"].remote_calls = 1;
  chooser_.Update(records_);
  EXPECT_EQ(Choose({}, wire::RequestOrigin::kUpstream), "near");
  EXPECT_TRUE(chooser_.HasInstanceInZone("parts"));
  records_["near"].state = directory::InstanceState::kLeaving;
  chooser_.Update(records_);
  EXPECT_FALSE(chooser_.HasInstanceInZone("parts"));
}

// Guards against an instance that fails fast and looks quick.
TEST_F(InstanceChooserTest, LeavesAFailingInstance) {
  Add("a", "here");
  Add("b", "here");
  End("a", AttemptEnd::kServed, milliseconds(50));
  End("b", AttemptEnd::kServed, milliseconds(50));
  for (int i = 0; i < 8; ++i) {
    End("a", AttemptEnd::kFailed, milliseconds(1));
  }
  EXPECT_EQ(ChooseMany(50)["b"], 50);
  // It is tried again later.
  now_ += std::chrono::seconds(10);
  EXPECT_GT(ChooseMany(200)["a"], 0);
}

// Guards against a request that is sent to an instance that is gone, or twice to the same one.
TEST_F(InstanceChooserTest, AvoidsGoneAndTriedInstances) {
  Add("a", "here");
  Add("b", "here");
  End("a", AttemptEnd::kGone, milliseconds(1));
  EXPECT_EQ(ChooseMany(50)["b"], 50);
  EXPECT_EQ(Choose({"b"}), "a");
  EXPECT_EQ(Choose({"a", "b"}), "");
  records_["b"].state = directory::InstanceState::kLeaving;
  chooser_.Update(records_);
  now_ += std::chrono::seconds(2);
  EXPECT_EQ(ChooseMany(50)["a"], 50);
}

// Guards against requests for a node whose connection has fallen silent.
TEST_F(InstanceChooserTest, AvoidsSilentNodes) {
  Add("a", "here");
  Add("b", "there");
  chooser_.set_is_silent([](const std::string& node) { return node == "a"; });
  EXPECT_EQ(ChooseMany(50)["b"], 50);
  EXPECT_EQ(Choose({"b"}), "a");
}

// Guards against an instance that never gets work because it was slow once.
TEST_F(InstanceChooserTest, TriesASlowInstanceAgain) {
  Add("a", "here");
  Add("b", "here");
  End("a", AttemptEnd::kServed, milliseconds(900));
  End("b", AttemptEnd::kServed, milliseconds(50));
  EXPECT_EQ(ChooseMany(50)["b"], 50);
  now_ += std::chrono::seconds(20);
  EXPECT_GT(ChooseMany(200)["a"], 0);
}

// Guards against state of an ended instance that the next one at the node inherits.
TEST_F(InstanceChooserTest, AnotherInstanceStartsAfresh) {
  Add("a", "here");
  Add("b", "here");
  for (int i = 0; i < 20; ++i) {
    End("a", AttemptEnd::kFailed, milliseconds(1));
  }
  records_["a"].instance = "i-new";
  chooser_.Update(records_);
  EXPECT_GT(ChooseMany(100)["a"], 0);
  EXPECT_EQ(chooser_.Choose("other", wire::RequestOrigin::kCaller, {}, TriedUse::kLeaveOut, now_,
                            random_),
            nullptr);
}

// Guards against a slow instance that every node keeps using until it has found out by itself.
TEST_F(InstanceChooserTest, AvoidsAnInstanceWhoseGateReportsASlowdown) {
  Add("near", "here");
  Add("far", "there");
  records_["near"].slowdown_steps = 1;
  chooser_.Update(records_);
  EXPECT_EQ(ChooseMany(50)["near"], 50);
  records_["near"].slowdown_steps = 2;
  chooser_.Update(records_);
  EXPECT_EQ(ChooseMany(50)["far"], 50);
  Add("other", "there");
  records_["other"].slowdown_steps = 1;
  chooser_.Update(records_);
  EXPECT_EQ(ChooseMany(50)["far"], 50);
}

// Guards against repeats that make calls again and are counted as if they made none.
TEST_F(InstanceChooserTest, AServiceIsALeafOnlyIfNoInstanceMakesCalls) {
  EXPECT_FALSE(chooser_.IsLeaf("parts"));
  Add("a", "here");
  Add("b", "here");
  EXPECT_FALSE(chooser_.IsLeaf("parts"));
  records_["a"].calls = directory::CallUse::kNone;
  chooser_.Update(records_);
  EXPECT_TRUE(chooser_.IsLeaf("parts"));
  records_["b"].calls = directory::CallUse::kSome;
  chooser_.Update(records_);
  EXPECT_FALSE(chooser_.IsLeaf("parts"));
}

}  // namespace
}  // namespace borageloft::request_path
