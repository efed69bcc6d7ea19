#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>

#include "libraries/routing/routing.h"

namespace borageloft::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

class VerifyFailure : public std::exception {};

std::vector<UpstreamView> MakeMembers(std::size_t count, std::size_t zones) {
  std::vector<UpstreamView> members;
  for (std::size_t i = 0; i < count; ++i) {
    members.push_back({{fmt::format("upstream-{}", i)},
                       fmt::format("node-{}", i),
                       "",
                       fmt::format("zone-{}", i % zones),
                       10});
  }
  return members;
}

std::set<std::string> SelectIds(const StableSubset& subset,
                                const std::vector<UpstreamView>& members) {
  std::set<std::string> ids;
  for (const UpstreamView* view : subset.Select(members)) {
    ids.insert(view->id.value);
  }
  return ids;
}

std::size_t CountMissing(const std::set<std::string>& from, const std::set<std::string>& in) {
  return static_cast<std::size_t>(
      std::count_if(from.begin(), from.end(), [&](const auto& id) { return !in.contains(id); }));
}

// Guards against rebuilding many connections whenever an upstream joins or leaves.
TEST(StableSubsetTest, OneMemberChangesAtMostOnePlaceOfEachPart) {
  const StableSubset subset("node-a", "zone-0", {});
  for (const std::size_t count : {5U, 30U, 40U, 75U, 300U}) {
    const auto all = MakeMembers(count, 3);
    const auto before = SelectIds(subset, all);
    for (std::size_t gone = 0; gone < count; ++gone) {
      auto fewer = all;
      fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(gone));
      const auto after = SelectIds(subset, fewer);
      const std::size_t expected = before.contains(all[gone].id.value) ? 1 : 0;
      ASSERT_EQ(CountMissing(before, after), expected) << count << " members, without " << gone;
      ASSERT_LE(CountMissing(after, before), expected);
    }
  }
}

// Guards against a subset that depends on the order of the list, has the wrong size or contains too
// few upstreams of the node's own zone.
TEST(StableSubsetTest, KeepsSizeAndOwnZonePart) {
  const StableSubset subset("node-a", "zone-0", {});
  auto members = MakeMembers(6400, 11);
  const auto selected = subset.Select(members);
  ASSERT_EQ(selected.size(), 24U);
  EXPECT_EQ(std::count_if(selected.begin(), selected.end(),
                          [](const auto* view) { return view->zone == "zone-0"; }),
            16);
  const auto ids = SelectIds(subset, members);
  std::reverse(members.begin(), members.end());
  EXPECT_EQ(SelectIds(subset, members), ids);
  members.resize(10);
  EXPECT_EQ(subset.Select(members).size(), 10U);
}

// Guards against selecting leaving upstreams, and against subsets that concentrate on few
// upstreams.
TEST(StableSubsetTest, SkipsLeavingAndSpreadsOverMembers) {
  auto members = MakeMembers(100, 1);
  members[3].state = UpstreamState::kLeaving;
  std::map<std::string, int> uses;
  for (int node = 0; node < 1000; ++node) {
    for (const auto& id :
         SelectIds(StableSubset(fmt::format("n{}", node), "zone-0", {}), members)) {
      ++uses[id];
    }
  }
  EXPECT_FALSE(uses.contains("upstream-3"));
  // 1000 nodes x 24 places / 99 members is 242 on average, with a standard deviation of 14.
  for (const auto& [id, count] : uses) {
    EXPECT_NEAR(count, 242, 70) << id;
  }
}

class LoadEstimateTest : public ::testing::Test {
 protected:
  void SetUp() override {
    base::ReplaceVerifyHandler([](const char*, const char*, int) { throw VerifyFailure(); });
  }
  void TearDown() override { base::ReplaceVerifyHandler({}); }

  double Time(const LoadEstimate& load) const {
    return static_cast<double>(load.TimeToServe(now_, milliseconds(10)).count());
  }

  EstimateOptions options_;
  base::TimePoint now_{seconds(100)};
};

// Guards against a negative number of requests in flight, which would attract all requests.
TEST_F(LoadEstimateTest, InFlightNeverNegative) {
  LoadEstimate load(options_, 8);
  load.Start();
  load.Finish();
  EXPECT_THROW(load.Finish(), VerifyFailure);
}

// Guards against wrong load reports that change the estimate beyond the configured bounds.
TEST_F(LoadEstimateTest, ReportsChangeTheEstimateWithinBounds) {
  for (const std::uint32_t own : {0U, 3U, 50U}) {
    LoadEstimate honest(options_, 8);
    for (std::uint32_t i = 0; i < own; ++i) {
      honest.Start();
    }
    honest.RecordLatency(milliseconds(12), now_);
    for (const LoadReport& report :
         {LoadReport{0, 0, {}, 1.0, false}, LoadReport{0, 1'000'000, milliseconds(1), 9.0, false},
          LoadReport{4'000'000'000, 1, seconds(1000), -5.0, false}}) {
      LoadEstimate reported = honest;
      reported.RecordReport(report, now_);
      EXPECT_GE(Time(reported), Time(honest) * options_.min_report_factor - 1);
      EXPECT_LE(Time(reported), Time(honest) * options_.max_report_factor + 1);
    }
  }
}

// Guards against load reports and latencies that keep their effect however old they are.
TEST_F(LoadEstimateTest, ReportsAndLatenciesAge) {
  LoadEstimate load(options_, 8);
  load.RecordLatency(milliseconds(100), now_);
  const double alone = Time(load);
  load.RecordReport({800, 8, {}, 1.0, false}, now_);
  EXPECT_NEAR(Time(load), alone * 4, 2);
  now_ += minutes(60);
  LoadEstimate fresh(options_, 8);
  EXPECT_NEAR(Time(load), Time(fresh), Time(fresh) * 0.02);
}

// Guards against counting this node's requests twice, as the load report includes them.
TEST_F(LoadEstimateTest, OwnRequestsAreNotCountedTwice) {
  LoadEstimate load(options_, 8);
  for (int i = 0; i < 4; ++i) {
    load.Start();
  }
  const double alone = Time(load);
  load.RecordReport({4, 8, {}, 1.0, false}, now_);
  EXPECT_NEAR(Time(load), alone, 2);
}

class OutlierDetectorTest : public ::testing::Test {
 protected:
  void SetUp() override { Resize(10); }

  void Resize(std::size_t count) {
    std::vector<OutlierRecord*> pointers;
    for (std::size_t i = 0; i < count; ++i) {
      pointers.push_back(&records_.at(i));
    }
    detector_.Resize(pointers);
  }
  void Serve(int count) {
    for (int i = 0; i < count; ++i) {
      detector_.RecordSuccess(records_[9], false, now_);
    }
  }
  void Fail(std::size_t index, int count) {
    for (int i = 0; i < count; ++i) {
      detector_.RecordFailure(records_[index], false, now_);
    }
  }
  base::Duration EjectionTimeLeft(std::size_t index) const {
    return records_[index].ejection_end - now_;
  }
  void FailProbe(std::size_t index) {
    now_ = records_[index].ejection_end;
    OutlierDetector::Advance(records_[index], now_);
    detector_.RecordFailure(records_[index], true, now_);
  }

  OutlierOptions options_;
  OutlierDetector detector_{options_};
  std::array<OutlierRecord, 10> records_;
  base::TimePoint now_{seconds(100)};
};

// Guards against ejecting more upstreams than the configured fraction.
TEST_F(OutlierDetectorTest, EjectsAtMostTheConfiguredShare) {
  for (std::size_t index = 0; index < 6; ++index) {
    Serve(200);
    Fail(index, 10);
  }
  EXPECT_EQ(detector_.ejected_count(), 3U);
  Resize(7);
  EXPECT_EQ(detector_.ejected_count(), 2U);
  detector_.Forget(records_[0]);
  detector_.Forget(records_[1]);
  detector_.Forget(records_[2]);
  EXPECT_EQ(detector_.ejected_count(), 0U);
}

// Guards against an ejection time that does not grow with repeated failures, or grows without
// bound.
TEST_F(OutlierDetectorTest, EjectionTimeGrowsUpToItsLimit) {
  Serve(200);
  Fail(0, 5);
  EXPECT_EQ(records_[0].ejection_state, EjectionState::kEjected);
  EXPECT_EQ(EjectionTimeLeft(0), seconds(1));
  for (const int expected : {2, 4, 8, 16, 30, 30}) {
    Serve(200);
    FailProbe(0);
    EXPECT_EQ(EjectionTimeLeft(0), seconds(expected));
  }
}

// Guards against a recovered upstream that stays ejected or is reinstated after a single probe.
TEST_F(OutlierDetectorTest, ReturnsAfterProbes) {
  Serve(200);
  Fail(0, 5);
  now_ = records_[0].ejection_end;
  OutlierDetector::Advance(records_[0], now_);
  for (unsigned probe = 1; probe <= options_.probes_to_reinstate; ++probe) {
    EXPECT_EQ(records_[0].ejection_state, EjectionState::kProbing);
    EXPECT_EQ(detector_.ejected_count(), 1U);
    detector_.RecordSuccess(records_[0], true, now_);
  }
  EXPECT_EQ(records_[0].ejection_state, EjectionState::kNormal);
  EXPECT_EQ(detector_.ejected_count(), 0U);
}

// Guards against ejections when all upstreams fail because of a common dependency.
TEST_F(OutlierDetectorTest, CommonFailureEjectsNothing) {
  for (int round = 0; round < 200; ++round) {
    for (auto& record : records_) {
      detector_.RecordFailure(record, false, now_);
      if (round < 4) {
        detector_.RecordSuccess(record, false, now_);
      }
    }
  }
  EXPECT_EQ(detector_.ejected_count(), 0U);
}

// Guards against treating refusals under overload as failures.
TEST_F(OutlierDetectorTest, RefusalsOnlyRaiseTheEstimate) {
  for (int i = 0; i < 1000; ++i) {
    detector_.RecordRefusal(records_[0], false, now_);
  }
  EXPECT_EQ(records_[0].ejection_state, EjectionState::kNormal);
  EXPECT_NEAR(detector_.Penalty(records_[0], now_), 1 + options_.refusal_penalty, 0.01);
  EXPECT_LT(detector_.Penalty(records_[0], now_ + minutes(10)), 1.1);
}

// Guards against flapping between equal zones and against uncounted cross-zone requests.
TEST(ZoneSpillTest, SpillsBeyondMarginAndCounts) {
  const ZoneOptions options;
  ZoneSpill zones("a", options);
  EXPECT_FALSE(zones.ShouldSpill(milliseconds(10), milliseconds(10)));
  EXPECT_FALSE(zones.ShouldSpill(milliseconds(100), milliseconds(91)));
  EXPECT_TRUE(zones.ShouldSpill(milliseconds(100), milliseconds(89)));
  EXPECT_EQ(zones.RoundTrip(zones.IndexOf("a")), base::Duration::zero());
  EXPECT_EQ(zones.RoundTrip(zones.IndexOf("b")), options.initial_round_trip);
  zones.RecordRoundTrip("b", milliseconds(2));
  EXPECT_EQ(zones.RoundTrip(zones.IndexOf("b")), milliseconds(2));
  zones.CountRequest(zones.IndexOf("a"));
  zones.CountRequest(zones.IndexOf("b"));
  zones.CountRequest(zones.IndexOf("c"));
  EXPECT_EQ(zones.cross_zone_requests(), 2U);
  EXPECT_EQ(zones.counts().front().zone, "a");
}

}  // namespace
}  // namespace borageloft::routing
