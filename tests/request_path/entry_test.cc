#include <gtest/gtest.h>

#include <deque>
#include <optional>
#include <set>

#include "libraries/request_path/request_path.h"

namespace borageloft::request_path {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** An entry with two instances, whose gates the test simulates, on a manual clock. */
class EntryTest : public ::testing::Test {
 protected:
  struct Sent {
    std::string node;
    wire::Request request;
    ResponseHandler handler;
    bool is_cancelled = false;
  };

  void SetUp() override {
    base::ReplaceLogSink([this](std::string_view line) { lines_.emplace_back(line); });
    EntryOptions options;
    options.service = "front";
    options.names.seal = "Seal";
    EntryHooks hooks;
    hooks.clock = [this] { return now_; };
    hooks.random = base::SeededRandom(5);
    hooks.send = [this](const directory::InstanceRecord& instance, wire::Request request,
                        ResponseHandler handler) -> CancelHook {
      sent_.push_back(
          std::make_shared<Sent>(Sent{instance.node, std::move(request), std::move(handler)}));
      return [this, sent = sent_.back()] {
        sent->is_cancelled = true;
        EndSent(*sent, cancel_outcome_, 0, Refusal::kNone, {});
      };
    };
    hooks.find_running = [this](const std::string& id) -> const wire::Placement* {
      return id == "parent" ? &parent_ : nullptr;
    };
    hooks.on_call_failed = [this](const std::string& id) { failed_parents_.push_back(id); };
    entry_ = std::make_unique<Entry>(std::move(options), "z", std::move(hooks), timers_, log_);
    for (const char* node : {"n1", "n2"}) {
      directory::InstanceRecord record;
      record.node = node;
      record.zone = "z";
      record.service = "parts";
      record.instance = std::string("i-") + node;
      record.slots = 10;
      entry_->chooser().Set(record);
    }
  }
  void TearDown() override {
    entry_.reset();
    base::ReplaceLogSink({});
  }

  void Declare(declaration::Repetition repetition, milliseconds timeout = milliseconds(500)) {
    declaration::Declaration declaration;
    declaration.version = ++version_;
    declaration.services = {{"parts", 10}};
    declaration::Route route;
    route.name = "r";
    route.host = "h";
    route.path_prefix = "/p/";
    route.repetition = repetition;
    route.timeout = timeout;
    route.target_latency = milliseconds(300);
    route.priority = 2;
    route.attempts = 2;
    route.targets = {{"parts", 1}};
    declaration.routes = {route};
    entry_->SetDeclaration(declaration);
  }

  std::shared_ptr<std::optional<http_stream::ResponseMessage>> Ask(
      http_stream::Fields extra = {}, const std::string& id = "r-1",
      const std::string& target = "/p/1") {
    http_stream::RequestMessage message;
    message.method = "GET";
    message.target = target;
    message.fields = {{"Host", "h"}, {"Borageloft-Request-Id", id}};
    message.fields.insert(message.fields.end(), extra.begin(), extra.end());
    auto answer = std::make_shared<std::optional<http_stream::ResponseMessage>>();
    abandon_ =
        entry_->Handle(std::move(message), now_, [answer](http_stream::ResponseMessage response) {
          EXPECT_FALSE(*answer) << "answered twice";
          *answer = std::move(response);
        });
    return answer;
  }

  void End(std::size_t place, wire::Outcome outcome, unsigned status,
           Refusal refusal = Refusal::kNone, admission::AdmissionLevel level = {},
           std::uint32_t rate_limit_milli = 0) {
    EndSent(*sent_[place], outcome, status, refusal, level, rate_limit_milli);
  }

  static void EndSent(const Sent& sent, wire::Outcome outcome, unsigned status, Refusal refusal,
                      admission::AdmissionLevel level, std::uint32_t rate_limit_milli = 0) {
    wire::Response response;
    response.load.rate_limit_milli = rate_limit_milli;
    response.outcome = outcome;
    response.status = status;
    response.reason = std::string(TextOf(refusal));
    response.load.limit = 10;
    response.load.level_rank = level.rank();
    response.load.level_share = level.share();
    const ResponseHandler handler = sent.handler;
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
  DecisionLog log_{[this] { return now_; }};
  std::deque<std::shared_ptr<Sent>> sent_;
  wire::Outcome cancel_outcome_ = wire::Outcome::kUnknown;
  wire::Placement parent_;
  std::vector<std::string> failed_parents_;
  std::unique_ptr<Entry> entry_;
  std::uint64_t version_ = 0;
  CancelHook abandon_;
  std::vector<std::string> lines_;
};

// Guards against 404 from a node that has not received its routes yet; it must answer 503.
TEST_F(EntryTest, WithoutADeclarationItIsUnavailable) {
  EXPECT_EQ((*Ask())->status, 503U);
  Declare(declaration::Repetition::kIdempotent);
  EXPECT_EQ((*Ask({}, "r", "/q/1"))->status, 404U);
}

// Guards against accepting a request shortly before the process exits and interrupts it.
TEST_F(EntryTest, RefusesRequestsShortlyBeforeTheNodeStops) {
  Declare(declaration::Repetition::kIdempotent);
  const auto taken = Ask();
  entry_->StopTaking();
  const auto refused = Ask();
  ASSERT_TRUE(*refused);
  EXPECT_EQ((*refused)->status, 503U);
  EXPECT_NE(http_stream::FindField((*refused)->fields, "Retry-After"), nullptr);
  End(0, wire::Outcome::kRan, 200);
  ASSERT_TRUE(*taken);
  EXPECT_EQ((*taken)->status, 200U);
}

// Guards against a second run of an at-most-once request, and against reporting a request that may
// have run as not run.
TEST_F(EntryTest, AnAtMostOnceRequestIsRetriedOnlyIfItHasNotRun) {
  Declare(declaration::Repetition::kAtMostOnce);
  const auto lost = Ask();
  End(0, wire::Outcome::kUnknown, 0, Refusal::kConnectionLost);
  ASSERT_TRUE(*lost);
  EXPECT_EQ((*lost)->status, 502U);
  EXPECT_EQ(sent_.size(), 1U);
  const auto refused = Ask();
  End(1, wire::Outcome::kNotRun, 0, Refusal::kInstanceGone);
  ASSERT_EQ(sent_.size(), 3U);
  EXPECT_NE(sent_[1]->node, sent_[2]->node);
  End(2, wire::Outcome::kNotRun, 0, Refusal::kQueueFull);
  ASSERT_TRUE(*refused);
  EXPECT_EQ((*refused)->status, 503U);
  EXPECT_NE(http_stream::FindField((*refused)->fields, "Retry-After"), nullptr);
}

// Guards against an answer with damaged fields or without a status that a node of an earlier
// version has let through beside its upstream, and that is written to the caller.
TEST_F(EntryTest, ADamagedAnswerOfAnotherNodeIsNotPassedOn) {
  Declare(declaration::Repetition::kAtMostOnce);
  const auto answer_with = [&](unsigned status, const wire::Header& field) {
    const auto answer = Ask();
    wire::Response response;
    response.outcome = wire::Outcome::kRan;
    response.status = status;
    response.headers = {{"Seal", "s"}, field};
    const ResponseHandler handler = sent_.back()->handler;
    handler(std::move(response));
    return (*answer)->status;
  };
  EXPECT_EQ(answer_with(200, {"X-Whole", "a\tb \xe9"}), 200U);
  EXPECT_EQ(answer_with(0, {"X-Whole", "1"}), 502U);
  for (const std::string name : {"", "X Y", "X\x01", "X:", "X\r\nY", "X\t", "\x7f"}) {
    EXPECT_EQ(answer_with(200, {name, "1"}), 502U) << name;
  }
  for (const std::string value : {"\x01", "a\rb", "a\nb", "a\r\nY: 1", "\x7f"}) {
    EXPECT_EQ(answer_with(200, {"X", value}), 502U) << value;
  }
}

// Guards against retries at every hop above a failure: each would make all calls again.
TEST_F(EntryTest, AFailedCallIsNotRetriedAboveIt) {
  Declare(declaration::Repetition::kIdempotent);
  for (int i = 0; i < 100; ++i) {
    Ask();
    End(sent_.size() - 1, wire::Outcome::kRan, 200);
  }
  const std::size_t before = sent_.size();
  const auto answer = Ask();
  End(before, wire::Outcome::kRan, 500, Refusal::kCallFailed);
  ASSERT_TRUE(*answer);
  EXPECT_EQ((*answer)->status, 500U);
  EXPECT_EQ(sent_.size(), before + 1);
  EXPECT_TRUE(failed_parents_.empty());
  Ask({}, "parent.1");
  End(sent_.size() - 1, wire::Outcome::kRan, 500, Refusal::kCallFailed);
  EXPECT_EQ(failed_parents_, std::vector<std::string>{"parent"});
}

// Guards against a Retry-After after which the answer cannot meet the target latency.
TEST_F(EntryTest, RetryAfterFitsTheTargetLatency) {
  Declare(declaration::Repetition::kIdempotent);  // Target latency 300 ms.
  const auto retry_after = [&](const std::string& id) {
    const auto answer = Ask({{"Borageloft-Timeout-Ms", "5000"}}, id);
    while (!*answer) {
      End(sent_.size() - 1, wire::Outcome::kNotRun, 0, Refusal::kQueueFull);
    }
    return std::stod(*http_stream::FindField((*answer)->fields, "Retry-After"));
  };
  double least = 10;
  double most = 0;
  for (int i = 0; i < 50; ++i) {
    const double seconds = retry_after("r-" + std::to_string(i));
    least = std::min(least, seconds);
    most = std::max(most, seconds);
  }
  EXPECT_GE(least, 0.1);
  EXPECT_LE(most, 0.3);
  EXPECT_GE(most - least, 0.1);  // Spread, so that callers do not retry all at once.
}

// Guards against failing an idempotent request although another instance works.
TEST_F(EntryTest, AnIdempotentRequestIsRetriedAtAnotherInstance) {
  Declare(declaration::Repetition::kIdempotent);
  for (int i = 0; i < 100; ++i) {
    Ask();  // Earns budget.
  }
  sent_.clear();
  const auto answer = Ask();
  End(0, wire::Outcome::kUnknown, 0, Refusal::kUpstreamLost);
  ASSERT_EQ(sent_.size(), 2U);
  EXPECT_EQ(sent_[1]->request.placement.attempt, 2U);
  End(1, wire::Outcome::kRan, 200);
  ASSERT_TRUE(*answer);
  EXPECT_EQ((*answer)->status, 200U);
}

// Guards against a rejected request that goes to more upstreams than its route allows, and against
// one that fails although the budget allows retries at the same upstreams.
TEST_F(EntryTest, ARejectedRequestIsRetriedAtTheSameUpstreams) {
  Declare(declaration::Repetition::kAtMostOnce);
  for (int i = 0; i < 300; ++i) {
    Ask();
  }
  sent_.clear();
  parent_.priority = 0;
  const auto answer = Ask({}, "parent.child");
  for (std::size_t send = 0; send < 4; ++send) {
    ASSERT_EQ(sent_.size(), send + 1);
    End(send, wire::Outcome::kNotRun, 503);
  }
  std::set<std::string> nodes;
  for (const auto& sent : sent_) {
    nodes.insert(sent->node);
  }
  EXPECT_EQ(nodes.size(), 2U);
  End(4, wire::Outcome::kRan, 200);
  ASSERT_TRUE(*answer);
  EXPECT_EQ((*answer)->status, 200U);
}

// Guards against retries below a retry, which multiply along the call path.
TEST_F(EntryTest, ACallOfARetriedRunIsNotRetried) {
  Declare(declaration::Repetition::kIdempotent);
  for (int i = 0; i < 100; ++i) {
    Ask();
  }
  sent_.clear();
  parent_.attempt = 2;
  parent_.priority = 7;
  parent_.shed_key = 99;
  const auto answer = Ask({}, "parent.child");
  EXPECT_EQ(sent_[0]->request.placement.priority, 7U);
  EXPECT_EQ(sent_[0]->request.placement.shed_key, 99U);
  EXPECT_EQ(sent_[0]->request.placement.origin, wire::RequestOrigin::kUpstream);
  EXPECT_GT(sent_[0]->request.placement.attempt, 1U);
  End(0, wire::Outcome::kUnknown, 0, Refusal::kUpstreamLost);
  EXPECT_EQ(sent_.size(), 1U);
  EXPECT_TRUE(*answer);
}

// Guards against sending calls to a zone from which each of the calls below them leaves the zone:
// the other nodes avoid this by the reported number of remote calls.
TEST_F(EntryTest, CountsTheCallsBelowACallThatLeaveTheZone) {
  Declare(declaration::Repetition::kIdempotent);
  parent_.origin = wire::RequestOrigin::kUpstream;
  for (int i = 0; i < 200; ++i) {
    Ask({}, "parent.child");
  }
  EXPECT_EQ(entry_->RemoteCalls(50), 0U);
  entry_->chooser().Remove("n1");
  entry_->chooser().Remove("n2");
  EXPECT_EQ(entry_->RemoteCalls(50), 4U);
  EXPECT_EQ(entry_->RemoteCalls(10), 0U);  // Too few runs for a mean.
}

// Guards against a caller that waits beyond the route's timeout, and against work that continues
// after it.
TEST_F(EntryTest, AnswersAtTheTimeoutAndCancels) {
  Declare(declaration::Repetition::kAtMostOnce);
  const auto started = Ask({{"Borageloft-Timeout-Ms", "2000"}});
  EXPECT_LE(sent_[0]->request.remaining, milliseconds(500));
  Advance(milliseconds(490));
  EXPECT_FALSE(*started);
  Advance(milliseconds(20));
  ASSERT_TRUE(*started);
  EXPECT_EQ((*started)->status, 504U);
  EXPECT_TRUE(sent_[0]->is_cancelled);
  cancel_outcome_ = wire::Outcome::kNotRun;
  const auto waiting = Ask({{"Borageloft-Timeout-Ms", "100"}});
  Advance(milliseconds(110));
  ASSERT_TRUE(*waiting);
  EXPECT_EQ((*waiting)->status, 503U);
}

// Guards against work for a caller that has disconnected.
TEST_F(EntryTest, AnAbandonedRequestIsCancelledAndNotAnswered) {
  Declare(declaration::Repetition::kIdempotent);
  const auto answer = Ask();
  abandon_();
  EXPECT_TRUE(sent_[0]->is_cancelled);
  EXPECT_FALSE(*answer);
  EXPECT_EQ(entry_->runs_in_progress(), 0U);
  Advance(milliseconds(600));
  EXPECT_FALSE(*answer);
}

// Guards against passing on a caller's values of header fields that only the system sets.
TEST_F(EntryTest, SetsItsOwnHeaderFields) {
  Declare(declaration::Repetition::kIdempotent);
  Ask({{"Borageloft-Caller-Service", "forged"},
       {"Borageloft-Expected-Instance", "forged"},
       {"Connection", "close"},
       {"X-Other", "kept"}});
  const http_stream::Fields& fields = sent_[0]->request.headers;
  EXPECT_EQ(*http_stream::FindField(fields, "Borageloft-Caller-Service"), "front");
  EXPECT_EQ(http_stream::FindField(fields, "Borageloft-Expected-Instance"), nullptr);
  EXPECT_EQ(http_stream::FindField(fields, "Connection"), nullptr);
  EXPECT_EQ(*http_stream::FindField(fields, "X-Other"), "kept");
}

// Guards against starting work for the least important requests that a service deeper in the call
// path would shed anyway.
TEST_F(EntryTest, ShedsRootsByTheReportedLevelButNotCalls) {
  Declare(declaration::Repetition::kIdempotent);
  Ask();
  End(0, wire::Outcome::kRan, 200, Refusal::kNone, admission::AdmissionLevel(2, 0));
  const auto shed = Ask({}, "r-2");
  ASSERT_TRUE(*shed);
  EXPECT_EQ((*shed)->status, 503U);
  EXPECT_EQ(sent_.size(), 1U);
  EXPECT_FALSE(*Ask({}, "parent.child"));
  EXPECT_EQ(sent_.size(), 2U);
  Advance(seconds(3));
  EXPECT_FALSE(*Ask({}, "r-3"));
}

// Guards against a node that restarts and does not know the rate that its upstream has named, and
// against shedding for one instance what another has room for.
TEST_F(EntryTest, PassesOnANamedRateAndShedsOnlyWhenAllInstancesNameOne) {
  Declare(declaration::Repetition::kIdempotent);
  const admission::AdmissionLevel closed(1, 0);
  Ask();
  const std::string limited = sent_[0]->node;
  End(0, wire::Outcome::kRan, 200, Refusal::kNone, closed, 7000);
  EXPECT_FALSE(*Ask({}, "a"));
  EXPECT_NE(sent_[1]->node, limited);
  End(1, wire::Outcome::kNotRun, 0, Refusal::kQueueFull);
  ASSERT_EQ(sent_.size(), 3U);
  EXPECT_EQ(sent_[2]->node, limited);
  EXPECT_EQ(sent_[2]->request.placement.rate_limit_milli, 7000U);
  End(2, wire::Outcome::kRan, 200, Refusal::kNone, closed, 7000);
  Advance(seconds(3));
  EXPECT_FALSE(*Ask({}, "b"));
  if (sent_[3]->node == limited) {
    End(3, wire::Outcome::kNotRun, 0, Refusal::kQueueFull, closed, 7000);
  }
  ASSERT_NE(sent_.back()->node, limited);
  End(sent_.size() - 1, wire::Outcome::kRan, 200, Refusal::kNone, closed, 7000);
  const auto shed = Ask({}, "d");
  ASSERT_TRUE(*shed);
  EXPECT_EQ((*shed)->status, 503U);
}

// Guards against a refusal or a retry without a log line that has the request's id.
TEST_F(EntryTest, LogsEachRefusalAndRetry) {
  Declare(declaration::Repetition::kAtMostOnce);
  lines_.clear();
  Ask({}, "id-a");
  End(0, wire::Outcome::kNotRun, 0, Refusal::kInstanceGone);
  End(1, wire::Outcome::kNotRun, 0, Refusal::kQueueFull);
  Ask({}, "id-b", "/none/1");
  std::string all;
  for (const std::string& line : lines_) {
    all += line + "\n";
  }
  EXPECT_NE(all.find("request_sent_again"), std::string::npos);
  EXPECT_NE(all.find("queue_full"), std::string::npos);
  EXPECT_NE(all.find("\"id-a\""), std::string::npos);
  EXPECT_NE(all.find("\"id-b\""), std::string::npos);
}

// Guards against a burst of refusals that floods the log, and against dropped lines that are not
// counted.
TEST_F(EntryTest, LimitsTheLogAndCountsDroppedLines) {
  lines_.clear();
  for (int i = 0; i < 1000; ++i) {
    Ask({}, "id-" + std::to_string(i));
  }
  EXPECT_LT(lines_.size(), 200U);
  EXPECT_EQ(log_.dropped() + lines_.size(), 1000U);
  now_ += seconds(2);
  Ask();
  EXPECT_NE(lines_[lines_.size() - 2].find("log_lines_dropped"), std::string::npos);
}

}  // namespace
}  // namespace borageloft::request_path
