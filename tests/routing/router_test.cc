#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>

#include "libraries/routing/routing.h"

namespace borageloft::routing {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RouterTest : public ::testing::Test {
 protected:
  /** The members are a0 to a4 and b0 to b4; this node is in zone a. */
  void SetUp() override {
    for (const std::string zone : {"a", "b"}) {
      for (int i = 0; i < 5; ++i) {
        members_.push_back({{fmt::format("{}{}", zone, i)}, "node", "", zone, 8});
      }
    }
    router_.UpdateMembers(members_, now_);
  }

  UpstreamView& Member(const std::string& id) {
    return *std::find_if(members_.begin(), members_.end(),
                         [&](const UpstreamView& view) { return view.id.value == id; });
  }
  std::optional<Choice> Choose(const RouteRequest& request = {}) {
    const RouteResult result = router_.Choose(request, now_, random_);
    const auto* choice = std::get_if<Choice>(&result);
    return choice != nullptr ? std::optional(*choice) : std::nullopt;
  }
  RouteFailure Failure(const RouteRequest& request = {}) {
    return std::get<RouteFailure>(router_.Choose(request, now_, random_));
  }
  Choice ChoiceOf(const std::string& id) {
    const UpstreamView& view = Member(id);
    return {view.id, view.node, view.node_address, view.zone, view.incarnation};
  }
  void Finish(const std::string& id, AttemptOutcome outcome, base::Duration latency,
              std::optional<LoadReport> report = std::nullopt) {
    router_.RecordFinish(router_.RecordStart(ChoiceOf(id)), {outcome, latency, report}, now_);
  }
  std::map<std::string, int> CountChoices(int rounds) {
    std::map<std::string, int> counts;
    for (int i = 0; i < rounds; ++i) {
      ++counts[Choose()->upstream.value];
    }
    return counts;
  }
  UpstreamStatus StatusOf(const std::string& id) {
    const auto status = router_.Status(now_);
    return *std::find_if(status.begin(), status.end(),
                         [&](const UpstreamStatus& entry) { return entry.view.id.value == id; });
  }

  base::TimePoint now_{seconds(100)};
  base::Random random_ = base::SeededRandom(1);
  Router router_{"node-a", "a", {}};
  std::vector<UpstreamView> members_;
};

// Guards against confusing a service without upstreams with one whose upstreams were all tried.
TEST_F(RouterTest, NamesTheReasonWithoutChoice) {
  router_.UpdateMembers({}, now_);
  EXPECT_EQ(Failure(), RouteFailure::kNoMembers);
  RouteRequest all_tried;
  for (UpstreamView& view : members_) {
    all_tried.tried.push_back(view.id);
  }
  router_.UpdateMembers(members_, now_);
  EXPECT_EQ(Failure(all_tried), RouteFailure::kAllTried);
  for (UpstreamView& view : members_) {
    view.state = UpstreamState::kLeaving;
  }
  router_.UpdateMembers(members_, now_);
  EXPECT_EQ(Failure(), RouteFailure::kAllLeaving);
}

// Guards against a retry in a failed zone while another zone has upstreams, and against a failure
// when only the tried zones are left.
TEST_F(RouterTest, AvoidsTriedUpstreamsAndZones) {
  RouteRequest request;
  request.tried = {{"a0"}, {"b0"}};
  request.tried_zones = {"a"};
  for (int i = 0; i < 200; ++i) {
    const auto choice = Choose(request);
    EXPECT_EQ(choice->zone, "b");
    EXPECT_NE(choice->upstream.value, "b0");
  }
  request.tried_zones = {"a", "b"};
  EXPECT_TRUE(Choose(request).has_value());
}

// Guards against cross-zone requests while the node's own zone is idle, and against keeping all
// requests in an overloaded zone.
TEST_F(RouterTest, LeavesItsZoneOnlyUnderLoad) {
  for (int i = 0; i < 200; ++i) {
    EXPECT_FALSE(Choose()->is_cross_zone);
  }
  for (int i = 0; i < 5; ++i) {
    for (int request = 0; request < 40; ++request) {
      router_.RecordStart(ChoiceOf(fmt::format("a{}", i)));
    }
  }
  EXPECT_TRUE(Choose()->is_cross_zone);
  EXPECT_EQ(router_.cross_zone_requests(), 0U);
  router_.RecordStart(*Choose());
  EXPECT_EQ(router_.cross_zone_requests(), 1U);
}

// Guards against an upstream that attracts requests because it fails fast.
TEST_F(RouterTest, FastErrorsDoNotAttractRequests) {
  for (int i = 0; i < 3; ++i) {
    for (const char* id : {"a1", "a2", "a3", "a4"}) {
      Finish(id, AttemptOutcome::kServed, milliseconds(20));
    }
    Finish("a0", AttemptOutcome::kError, std::chrono::microseconds(50));
  }
  EXPECT_EQ(StatusOf("a0").ejection_state, EjectionState::kNormal);
  EXPECT_EQ(CountChoices(500)["a0"], 0);
}

// Guards against an unresponsive upstream that keeps receiving requests.
TEST_F(RouterTest, TimeoutsEject) {
  for (int i = 0; i < 5; ++i) {
    router_.RecordTimeout(router_.RecordStart(ChoiceOf("a0")), milliseconds(800), now_);
  }
  EXPECT_EQ(StatusOf("a0").ejection_state, EjectionState::kEjected);
  EXPECT_EQ(CountChoices(500)["a0"], 0);
  now_ += seconds(2);
  EXPECT_GT(CountChoices(500)["a0"], 0);
  RouteRequest request;
  request.probe_use = ProbeUse::kForbidden;
  for (int i = 0; i < 500; ++i) {
    EXPECT_FALSE(Choose(request)->is_probe);
  }
}

// Guards against concurrent requests to an upstream that is being probed.
TEST_F(RouterTest, SendsOneProbeAtATime) {
  for (int i = 0; i < 5; ++i) {
    Finish("a0", AttemptOutcome::kLost, milliseconds(1));
  }
  now_ += seconds(2);
  Choice probe = *Choose();
  while (!probe.is_probe) {
    probe = *Choose();
  }
  const AttemptId attempt = router_.RecordStart(probe);
  EXPECT_EQ(CountChoices(500)["a0"], 0);
  router_.RecordFinish(attempt, {AttemptOutcome::kCancelled, {}, std::nullopt}, now_);
  EXPECT_GT(CountChoices(500)["a0"], 0);
}

// Guards against a late response that ends its attempt a second time.
TEST_F(RouterTest, LateAnswerAfterTimeoutIsIgnored) {
  const AttemptId attempt = router_.RecordStart(ChoiceOf("a0"));
  router_.RecordTimeout(attempt, milliseconds(100), now_);
  router_.RecordFinish(attempt, {AttemptOutcome::kServed, milliseconds(200), std::nullopt}, now_);
  EXPECT_EQ(StatusOf("a0").in_flight, 0U);
  EXPECT_EQ(router_.attempts_in_flight(), 0U);
}

// Guards against attempts from before a restart that change the counts of the restarted upstream,
// and against a stale list of members that reverts the restart.
TEST_F(RouterTest, RestartSeparatesAttempts) {
  const AttemptId old_attempt = router_.RecordStart(ChoiceOf("a0"));
  const auto old_members = members_;
  Member("a0").incarnation = 2;
  router_.UpdateMembers(members_, now_);
  EXPECT_EQ(StatusOf("a0").in_flight, 0U);
  const AttemptId new_attempt = router_.RecordStart(ChoiceOf("a0"));
  router_.RecordFinish(old_attempt, {}, now_);
  EXPECT_EQ(StatusOf("a0").in_flight, 1U);
  router_.UpdateMembers(old_members, now_);
  EXPECT_EQ(StatusOf("a0").view.incarnation, 2U);
  router_.RecordFinish(new_attempt, {}, now_);
  EXPECT_EQ(StatusOf("a0").in_flight, 0U);
}

// Guards against requests to an upstream whose load report says that it is leaving, while
// membership does not say so yet.
TEST_F(RouterTest, LeavingReportEndsChoices) {
  LoadReport report;
  report.is_leaving = true;
  Finish("a0", AttemptOutcome::kServed, milliseconds(1), report);
  EXPECT_EQ(CountChoices(500)["a0"], 0);
  router_.UpdateMembers(members_, now_);
  EXPECT_EQ(CountChoices(500)["a0"], 0);
  now_ += seconds(6);
  EXPECT_GT(CountChoices(500)["a0"], 0);
}

// Guards against errors when an upstream leaves before its attempts end.
TEST_F(RouterTest, AttemptOutlivesItsUpstream) {
  const Choice choice = ChoiceOf("a0");
  const AttemptId attempt = router_.RecordStart(choice);
  members_.erase(members_.begin());
  router_.UpdateMembers(members_, now_);
  router_.RecordFinish(attempt, {}, now_);
  router_.RecordFinish(router_.RecordStart(choice), {}, now_);
  EXPECT_EQ(router_.attempts_in_flight(), 0U);
}

// Guards against accepting options that violate an invariant later.
TEST(RoutingOptionsTest, RefusesBadOptions) {
  RoutingOptions options;
  options.choices = 0;
  EXPECT_THROW(Router("n", "a", options), Error);
  options = {};
  options.outlier.max_ejected_share = 1.5;
  EXPECT_THROW(options.Check(), Error);
  options = {};
  options.subset.size = 0;
  EXPECT_THROW(options.Check(), Error);
}

}  // namespace
}  // namespace borageloft::routing
