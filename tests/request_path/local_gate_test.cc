#include <gtest/gtest.h>

#include <deque>
#include <optional>

#include "libraries/request_path/request_path.h"

namespace borageloft::request_path {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class LocalGateTest : public ::testing::Test {
 protected:
  struct Running {
    wire::Request request;
    ResponseHandler handler;
    bool is_cancelled = false;
  };

  void SetUp() override {
    base::ReplaceLogSink([](std::string_view) {});
    SendHeartbeat(1);
    StartGate();
  }

  /** Replaces the gate, like a restart of the node; the upstream goes on. */
  void StartGate() {
    gate_.reset();
    LocalGateOptions options;
    options.slot_share = 1;
    options.uses_recovery_pace = uses_recovery_pace_;
    gate_ = std::make_unique<LocalGate>(
        options, instance_, [this] { return now_; }, timers_,
        [this](wire::Request request, base::TimePoint, ResponseHandler handler) -> CancelHook {
          running_.push_back({std::move(request), std::move(handler)});
          return [this, place = running_.size() - 1] { running_[place].is_cancelled = true; };
        },
        log_);
  }
  void TearDown() override {
    gate_.reset();
    base::ReplaceLogSink({});
  }

  void SendHeartbeat(std::uint64_t sequence,
                     directory::InstanceState state = directory::InstanceState::kServing) {
    instance_.HandleHeartbeat({"i-1", "parts", 10, sequence, state, 2, {}}, now_);
  }

  /** Submits a request and stores its response. */
  std::pair<GateTicket, std::shared_ptr<std::optional<wire::Response>>> Submit(
      const std::string& id, std::uint32_t priority = 0, milliseconds wait = milliseconds(100)) {
    wire::Request request;
    request.context.root = id;
    request.remaining = seconds(1);
    request.placement.instance = "i-1";
    request.placement.priority = priority;
    request.placement.wait_limit = wait;
    auto end = std::make_shared<std::optional<wire::Response>>();
    const GateTicket ticket = gate_->Submit(
        std::move(request), [end](wire::Response response) { *end = std::move(response); });
    return {ticket, end};
  }

  void Finish(std::size_t place, std::uint32_t rate_limit_milli = 0) {
    wire::Response response;
    response.outcome = wire::Outcome::kRan;
    response.status = 200;
    response.load.rate_limit_milli = rate_limit_milli;
    const ResponseHandler handler = running_[place].handler;
    handler(std::move(response));
  }

  void Advance(milliseconds time) {
    const base::TimePoint end = now_ + time;
    while (now_ < end) {
      now_ += milliseconds(5);
      timers_.RunDue();
    }
  }

  base::TimePoint now_{seconds(100)};
  timer::TimerService timers_{[this] { return now_; }};
  directory::LocalInstance instance_{"parts", seconds(60)};
  DecisionLog log_{[this] { return now_; }};
  std::deque<Running> running_;
  bool uses_recovery_pace_ = false;
  std::unique_ptr<LocalGate> gate_;
};

// Guards against a node that runs out of memory because many other nodes send it long bodies.
TEST_F(LocalGateTest, RefusesBodiesBeyondItsLimitAsNotRun) {
  gate_.reset();
  LocalGateOptions options;
  options.slot_share = 1;
  options.held_bytes = 1000;
  gate_ = std::make_unique<LocalGate>(
      options, instance_, [this] { return now_; }, timers_,
      [this](wire::Request request, base::TimePoint, ResponseHandler handler) -> CancelHook {
        running_.push_back({std::move(request), std::move(handler)});
        return [] {};
      },
      log_);
  std::vector<wire::Response> ends;
  const auto submit = [&](const std::string& id, std::size_t bytes) {
    wire::Request request;
    request.context.root = id;
    request.remaining = seconds(1);
    request.placement.instance = "i-1";
    request.body = std::string(bytes, 'x');
    return gate_->Submit(std::move(request),
                         [&ends](wire::Response response) { ends.push_back(std::move(response)); });
  };
  const GateTicket first = submit("a", 600);
  submit("b", 401);
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends[0].outcome, wire::Outcome::kNotRun);
  EXPECT_EQ(ends[0].reason, TextOf(Refusal::kTooManyBytes));
  submit("c", 400);
  EXPECT_EQ(running_.size(), 2U);
  gate_->Cancel(first);
  submit("d", 600);
  EXPECT_EQ(running_.size(), 3U);
}

// Guards against many roots that each lose some of their calls: this happens when the gates serve
// the longest waiting call first while the entries still admit more roots than there is capacity.
TEST_F(LocalGateTest, RootsWithinTheLevelGoFirst) {
  const auto submit = [&](const std::string& id, std::uint32_t position) {
    wire::Request request;
    request.context.root = id;
    request.remaining = seconds(2);
    request.placement.instance = "i-1";
    request.placement.priority = 2;
    request.placement.shed_key = std::uint64_t{position} << 48U;
    request.placement.wait_limit = seconds(2);
    gate_->Submit(std::move(request), [](const wire::Response&) {});
  };
  constexpr std::uint32_t kRequests = 20;
  Advance(milliseconds(60));  // The level is updated after complete intervals only.
  for (std::uint32_t i = 0; i < kRequests; ++i) {
    submit("w" + std::to_string(i), i * (admission::ShedKey::kPositions / kRequests));
    Advance(milliseconds(20));
  }
  ASSERT_EQ(gate_->Load().level_rank, 3U);  // Partly closed for this priority.
  ASSERT_LT(gate_->Load().level_share, admission::ShedKey::kPositions);
  submit("beyond", admission::ShedKey::kPositions - 1);
  submit("within", 0);
  std::vector<std::string> order;
  for (std::size_t place = 0; place < kRequests; ++place) {
    Finish(place);
    if (running_.size() > place + 2) {
      order.push_back(running_[place + 2].request.context.root);
    }
  }
  const auto within = std::find(order.begin(), order.end(), "within");
  const auto beyond = std::find(order.begin(), order.end(), "beyond");
  ASSERT_NE(within, order.end());
  EXPECT_LT(within, beyond);
}

// Guards against roots that wait until the time left is too short for their work.
TEST_F(LocalGateTest, ARootWaitsOnlyWhileItsWorkFits) {
  Submit("a");
  now_ += milliseconds(800);
  Finish(0);  // The service time is 800 ms; a request has one second.
  Submit("b");
  Submit("c");
  const auto waiting = Submit("d", 0, milliseconds(700)).second;
  Advance(milliseconds(210));
  ASSERT_TRUE(waiting->has_value());
  EXPECT_EQ((*waiting)->outcome, wire::Outcome::kNotRun);
}

// Guards against retries at every hop above a failed call.
TEST_F(LocalGateTest, ReportsAFailureCausedByACall) {
  const auto first = Submit("a").second;
  const auto second = Submit("b").second;
  gate_->NoteFailedCall("b");
  gate_->NoteFailedCall("unknown");
  for (const std::size_t place : {0U, 1U}) {
    wire::Response response;
    response.outcome = wire::Outcome::kRan;
    response.status = 500;
    running_[place].handler(std::move(response));
  }
  EXPECT_EQ((*first)->reason, "");
  EXPECT_EQ((*second)->reason, TextOf(Refusal::kCallFailed));
  EXPECT_EQ((*second)->status, 500U);
}

// Guards against accepting requests on a node that is about to stop, and against interrupting those
// that run.
TEST_F(LocalGateTest, RefusesNewRequestsAndFinishesRunningOnes) {
  const auto first = Submit("a").second;
  gate_->StopTaking();
  const auto second = Submit("b").second;
  ASSERT_TRUE(second->has_value());
  EXPECT_EQ((*second)->outcome, wire::Outcome::kNotRun);
  EXPECT_EQ((*second)->reason, TextOf(Refusal::kInstanceLeaving));
  EXPECT_FALSE(first->has_value());
  Finish(0);
  ASSERT_TRUE(first->has_value());
  EXPECT_EQ((*first)->outcome, wire::Outcome::kRan);
}

// Guards against more running requests than the upstream has slots, and against a queue order that
// ignores importance.
TEST_F(LocalGateTest, StartsAtMostTheSlotsInOrderOfPriority) {
  Submit("a");
  Submit("b");
  Submit("low", 2);
  Submit("high", 0);
  ASSERT_EQ(running_.size(), 2U);
  Finish(0);
  ASSERT_EQ(running_.size(), 3U);
  EXPECT_EQ(running_[2].request.context.root, "high");
  Finish(1);
  ASSERT_EQ(running_.size(), 4U);
  EXPECT_EQ(running_[3].request.context.root, "low");
}

// Guards against requests that stay in the queue beyond their wait limit.
TEST_F(LocalGateTest, RefusesAfterTheWaitLimit) {
  Submit("a");
  Submit("b");
  const auto waiting = Submit("c", 0, milliseconds(40));
  Advance(milliseconds(35));
  EXPECT_FALSE(*waiting.second);
  Advance(milliseconds(15));
  ASSERT_TRUE(*waiting.second);
  EXPECT_EQ((*waiting.second)->outcome, wire::Outcome::kNotRun);
  EXPECT_EQ((*waiting.second)->reason, TextOf(Refusal::kWaitedTooLong));
  Finish(0);
  EXPECT_EQ(running_.size(), 2U) << "a refused request was started";
}

// Guards against reporting a cancelled request as not run although it was started.
TEST_F(LocalGateTest, CancelReportsWhetherItWasStarted) {
  const auto started = Submit("a");
  Submit("b");
  const auto waiting = Submit("c");
  gate_->Cancel(waiting.first);
  ASSERT_TRUE(*waiting.second);
  EXPECT_EQ((*waiting.second)->outcome, wire::Outcome::kNotRun);
  gate_->Cancel(started.first);
  ASSERT_TRUE(*started.second);
  EXPECT_EQ((*started.second)->outcome, wire::Outcome::kUnknown);
  EXPECT_TRUE(running_[0].is_cancelled);
  EXPECT_EQ(gate_->running(), 1U);
  Finish(0);  // A response after the cancel has no effect.
  EXPECT_EQ(gate_->running(), 1U);
}

// Guards against giving a replaced upstream all its slots at once where the settings ask for a
// pace, and against limiting one that was there before the gate.
TEST_F(LocalGateTest, PacesAReplacedUpstream) {
  uses_recovery_pace_ = true;
  StartGate();
  instance_.HandleHeartbeat({"i-1", "parts", 10, 2, directory::InstanceState::kServing, 8, {}},
                            now_);
  for (int i = 0; i < 8; ++i) {
    Submit("a" + std::to_string(i));
  }
  EXPECT_EQ(gate_->running(), 8U);
  instance_.HandleHeartbeat({"i-2", "parts", 90, 1, directory::InstanceState::kServing, 8, {}},
                            now_);
  EXPECT_EQ(gate_->Load().limit, 8U) << "before the next request";
  Submit("b");
  EXPECT_EQ(gate_->Load().limit, 2U);
  Advance(std::chrono::duration_cast<milliseconds>(RecoveryPace::kMaxTime));
  EXPECT_EQ(gate_->Load().limit, 8U);
}

// Guards against running a request at another instance than the one that it was sent to.
TEST_F(LocalGateTest, RefusesForAnotherInstance) {
  Submit("a");
  Submit("b");
  const auto waiting = Submit("c");
  instance_.HandleHeartbeat({"i-2", "parts", 20, 1, directory::InstanceState::kServing, 2, {}},
                            now_);
  const auto late = Submit("d");
  ASSERT_TRUE(*late.second);
  EXPECT_EQ((*late.second)->reason, TextOf(Refusal::kInstanceGone));
  Finish(0);
  ASSERT_TRUE(*waiting.second);
  EXPECT_EQ((*waiting.second)->reason, TextOf(Refusal::kInstanceGone));
}

// Guards against new requests to an instance whose leave was acknowledged.
TEST_F(LocalGateTest, StopsNewWorkToALeavingInstance) {
  SendHeartbeat(2, directory::InstanceState::kLeaving);
  EXPECT_FALSE(*Submit("a").second);
  Advance(milliseconds(700));
  const auto late = Submit("b");
  ASSERT_TRUE(*late.second);
  EXPECT_EQ((*late.second)->reason, TextOf(Refusal::kInstanceLeaving));
  EXPECT_EQ((*late.second)->outcome, wire::Outcome::kNotRun);
  Finish(0);
  EXPECT_TRUE(gate_->Load().is_leaving);
}

// Guards against calls that do not inherit the priority of their parent request.
TEST_F(LocalGateTest, FindsTheRunningParentOfACall) {
  Submit("root", 2);
  ASSERT_NE(gate_->FindRunning("root"), nullptr);
  EXPECT_EQ(gate_->FindRunning("root")->priority, 2U);
  EXPECT_EQ(gate_->FindRunning("other"), nullptr);
  Finish(0);
  EXPECT_EQ(gate_->FindRunning("root"), nullptr);
}

// Guards against a gate that keeps its admission level open during a persistent queue.
TEST_F(LocalGateTest, LowersItsAdmissionLevelDuringAPersistentQueue) {
  for (int round = 0; round < 200; ++round) {
    Submit("low" + std::to_string(round), 2);
    Submit("high" + std::to_string(round), 0);
    Advance(milliseconds(20));
    for (std::size_t place = 0, count = running_.size(); place < count; ++place) {
      if (!running_[place].is_cancelled && running_[place].handler) {
        Finish(place);
        running_[place].handler = nullptr;
        break;
      }
    }
  }
  const wire::LoadReport load = gate_->Load();
  const admission::AdmissionLevel level(load.level_rank, load.level_share);
  EXPECT_FALSE(level.is_open());
  EXPECT_GT(level.ShareOf(1), level.ShareOf(3));
}

// Guards against a level of a called service that is not reported to the entries of its callers.
TEST_F(LocalGateTest, ReportsTheDownstreamLevel) {
  gate_->set_downstream_level([] { return admission::AdmissionLevel(3, 100); });
  EXPECT_EQ(gate_->Load().level_rank, 3U);
  EXPECT_EQ(gate_->Load().level_share, 100U);
}

// Guards against requests that reach an upstream long after its answers say that it leaves (DRAIN).
TEST_F(LocalGateTest, AnAnswerThatSaysLeavingEndsTheRequestsToTheUpstream) {
  Submit("a");
  Submit("b");
  wire::Response response;
  response.outcome = wire::Outcome::kRan;
  response.status = 200;
  response.load.is_leaving = true;
  const ResponseHandler handler = running_[0].handler;
  handler(response);
  EXPECT_TRUE(instance_.leaving_since());
  EXPECT_TRUE(gate_->Load().is_leaving);
  Advance(milliseconds(700));
  const auto refused = Submit("c").second;
  ASSERT_TRUE(refused->has_value());
  EXPECT_EQ((*refused)->reason, TextOf(Refusal::kInstanceLeaving));
  instance_.HandleHeartbeat({"i-1", "parts", 20, 1, directory::InstanceState::kServing, 2, {}},
                            now_);
  running_[1].handler(response);  // Of the process before.
  EXPECT_FALSE(instance_.leaving_since());
}

/** An upstream with many slots that names a rate in its answers. */
class RateLimitedGateTest : public LocalGateTest {
 protected:
  static constexpr double kRate = 14.4;
  static constexpr std::uint32_t kRateMilli = 14'400;

  void SetUp() override {
    LocalGateTest::SetUp();
    instance_.HandleHeartbeat({"i-1", "parts", 10, 2, directory::InstanceState::kServing, 80, {}},
                              now_);
  }

  /** Submits eight times the rate and answers each request after 50 ms. */
  void Load(milliseconds time, std::uint32_t known_milli, std::uint32_t named_milli) {
    const base::TimePoint end = now_ + time;
    base::TimePoint next = now_;
    while (now_ < end) {
      for (; next <= now_; next += base::Duration(seconds(1)) / static_cast<int>(8 * kRate)) {
        wire::Request request;
        request.context.root = "r-" + std::to_string(++submitted_);
        request.remaining = seconds(2);
        request.placement.instance = "i-1";
        request.placement.wait_limit = milliseconds(300);
        request.placement.rate_limit_milli = known_milli;
        gate_->Submit(std::move(request), [this](const wire::Response& response) {
          last_load_ = response.load;
          ++refusals_[response.reason];
        });
      }
      for (; started_.size() < running_.size(); started_.push_back(now_)) {
        most_in_window_ = std::max(most_in_window_, CountSince(now_ - seconds(4)) + 1);
      }
      for (; ended_ < started_.size() && now_ - started_[ended_] >= milliseconds(50); ++ended_) {
        Finish(ended_, named_milli);
      }
      Advance(milliseconds(5));
    }
  }

  std::size_t CountSince(base::TimePoint since) const {
    return static_cast<std::size_t>(std::count_if(
        started_.begin(), started_.end(), [&](base::TimePoint start) { return start > since; }));
  }

  int submitted_ = 0;
  std::deque<base::TimePoint> started_;
  std::size_t ended_ = 0;
  std::size_t most_in_window_ = 0;
  std::map<std::string, int> refusals_;
  wire::LoadReport last_load_;
};

// Guards against an upstream in need that gets more requests than it has named (LIMIT).
TEST_F(RateLimitedGateTest, AnUpstreamGetsNoMoreThanTheRateThatItNames) {
  Load(milliseconds(500), 0, kRateMilli);
  most_in_window_ = 0;
  started_.clear();
  ended_ = 0;
  running_.clear();
  Load(seconds(12), 0, kRateMilli);
  EXPECT_LE(static_cast<double>(most_in_window_), 1.5 * 4 * kRate + 5);
  EXPECT_GE(static_cast<double>(started_.size()), 0.9 * 12 * kRate);
  EXPECT_GT(refusals_["rate_limited"], 0);
  EXPECT_EQ(last_load_.rate_limit_milli, kRateMilli);
  EXPECT_LT(last_load_.limit, 8U);
}

// Guards against a restarted node that gives its upstream a full load before the first answer names
// the limit, although the other nodes know it.
TEST_F(RateLimitedGateTest, ARestartedNodeKeepsToTheRateThatOthersKnow) {
  Load(seconds(5), 0, kRateMilli);
  running_.clear();
  ended_ = started_.size();
  most_in_window_ = 0;
  running_.resize(started_.size());
  StartGate();
  Load(seconds(5), kRateMilli, kRateMilli);
  EXPECT_LE(static_cast<double>(most_in_window_), 1.5 * 4 * kRate + 5);
}

// Guards against a limit that outlives the need of the upstream or its process.
TEST_F(RateLimitedGateTest, TheLimitEndsWithTheNeed) {
  Load(seconds(2), 0, kRateMilli);
  ASSERT_EQ(gate_->Load().rate_limit_milli, kRateMilli);
  Load(seconds(1), 0, 0);
  EXPECT_EQ(gate_->Load().rate_limit_milli, 0U);
  Load(seconds(2), 0, kRateMilli);
  ASSERT_EQ(gate_->Load().rate_limit_milli, kRateMilli);
  instance_.HandleHeartbeat({"i-1", "parts", 20, 1, directory::InstanceState::kServing, 80, {}},
                            now_);
  Submit("new");
  EXPECT_EQ(gate_->Load().rate_limit_milli, 0U);
}

}  // namespace
}  // namespace borageloft::request_path
