#include <gtest/gtest.h>

#include <atomic>
#include <semaphore>
#include <thread>

#include "tests/node/test_node.h"

namespace borageloft::node {
namespace {

using std::chrono::seconds;

constexpr const char* kNote = R"(
[added class gold]
importance = 1
allowance = 2
[added class plain]
importance = 2
allowance = 2
[added service s]
timeout = 60s
allowance = 2
[added service golden]
timeout = 60s
allowance = 2
[added service hedged]
timeout = 60s
allowance = 2
hedging = on
[added service once]
idempotent = no
timeout = 60s
allowance = 2
[added service front]
timeout = 60s
allowance = 2
calls = mid
[added service mid]
timeout = 60s
allowance = 2
calls = deep
[added service deep]
timeout = 60s
allowance = 2
[added rule plain-s]
service = s
class = plain
[added rule plain-front]
service = front
class = plain
[added rule plain-hedged]
service = hedged
class = plain
[added rule plain-once]
service = once
class = plain
[added rule golden]
service = golden
class = gold
)";

const http::Headers kKey = {{"Idempotency-Key", "0193b2c4-0000-7000-8000-000000000001"}};

// So many that the limit of a cold upstream admits several requests at once.
constexpr std::uint32_t kManySlots = 64;

http::HttpResponse EchoTarget(const http::HttpRequest& request) {
  return {200, {}, request.method + " " + request.target};
}

http::HttpResponse EchoContext(const http::HttpRequest& request) {
  return {200, {}, http::FindHeader(request.headers, http::kContextHeader)};
}

/** A node that callers use, and others that it routes to. */
class RequestPathTest : public ::testing::Test {
 protected:
  RequestPathTest() {
    for (TestNode* node : {&entry_, &near_, &far_}) {
      node->ApplyNote(kNote);
    }
  }

  http::HttpResponse Call(const std::string& target, const http::Headers& headers = {}) {
    return entry_.entry.Handle(MakeCall(target, headers), CallerKind::kOutside);
  }
  wire::RequestContext ContextSeen(const http::HttpRequest& request, CallerKind caller) {
    const auto answer = entry_.entry.Handle(request, caller);
    const auto context = http::ParseContext(answer.body);
    EXPECT_TRUE(context.has_value()) << answer.body;
    return context ? context->context : wire::RequestContext();
  }

  // Used by upstreams that may still run when a test ends, so they outlive the nodes.
  std::counting_semaphore<> entered_{0};
  std::atomic<bool> is_released_ = false;
  std::atomic<bool> is_slow_ = false;
  std::atomic<int> runs_ = 0;
  TestNode entry_{"entry"};
  TestNode near_{"near"};
  TestNode far_{"far", PermitAll(), "other-zone"};
};

// Guards against requests that reach another service or path than the caller named.
TEST_F(RequestPathTest, ServiceComesFromPathOrHeader) {
  near_.Serve("s", EchoTarget);
  entry_.Learn("s", {&near_});
  EXPECT_EQ(Call("/s/a/b?c=1").body, "GET /a/b?c=1");
  EXPECT_EQ(Call("/s").body, "GET /");
  EXPECT_EQ(Call("/s?c=1").body, "GET /?c=1");
  EXPECT_EQ(Call("/a/b", {{"Borageloft-Service", "s"}}).body, "GET /a/b");
  EXPECT_EQ(OutcomeOf(Call("/s")), "ran");
}

// Guards R4: what the entry refuses is stated as not run.
TEST_F(RequestPathTest, RefusesMalformedRequestsAsNotRun) {
  near_.Serve("s", EchoTarget);
  entry_.Learn("s", {&near_});
  const auto expect = [&](const http::HttpResponse& answer, int status, const char* reason) {
    EXPECT_EQ(answer.status, status) << reason;
    EXPECT_EQ(ReasonOf(answer), reason);
    EXPECT_EQ(OutcomeOf(answer), "not-run") << reason;
  };
  expect(Call("/nobody/x"), 404, "unknown_service");
  expect(Call("/"), 404, "no_service");
  expect(Call("//x"), 404, "no_service");
  for (const char* timeout : {"0", "-1", "abc", "1.5", "600001", "99999999999999999999"}) {
    expect(Call("/s", {{"Borageloft-Timeout-Ms", timeout}}), 400, "malformed_timeout");
  }
  expect(Call("/once"), 400, "missing_key");
  expect(Call("/s", {{"Idempotency-Key", std::string(129, 'k')}}), 400, "malformed_key");
  expect(Call("/golden"), 503, "no_upstream");
}

// Guards R1 and R2: an outside caller cannot claim a class, an allowance or a place in a call tree.
TEST_F(RequestPathTest, ContextOfOutsideCallersIsIgnored) {
  near_.Serve("s", EchoContext);
  entry_.Learn("s", {&near_});
  const auto request = MakeCall(
      "/s",
      {{http::kContextHeader, "root=claimed;class=gold;deadline=9;allowance=60;depth=7;begun=1"}});
  const wire::RequestContext seen = ContextSeen(request, CallerKind::kOutside);
  EXPECT_NE(seen.root, "claimed");
  EXPECT_EQ(seen.class_name, "plain");
  EXPECT_LE(seen.allowance, 2U);
  EXPECT_EQ(seen.depth, 0U);
}

// Guards R1 and R2: an upstream's call gets only what its own running request can give.
TEST_F(RequestPathTest, UpstreamCallsWithoutAKnownRootGetNoRetries) {
  near_.Serve("golden", EchoContext);
  entry_.Learn("golden", {&near_});
  wire::RequestContext seen = ContextSeen(MakeCall("/golden"), CallerKind::kUpstream);
  EXPECT_EQ(seen.allowance, 0U);
  EXPECT_EQ(seen.class_name, entry_.policies.current()->FindClass("").name);
  http::ForwardedContext forwarded;
  forwarded.context.root = "unknown";
  forwarded.context.class_name = "gold";
  forwarded.context.allowance = 60;
  forwarded.deadline = base::SystemWallClock()() + seconds(60);
  seen = ContextSeen(MakeCall("/golden", {{http::kContextHeader, http::FormatContext(forwarded)}}),
                     CallerKind::kUpstream);
  EXPECT_EQ(seen.allowance, 0U);
  EXPECT_EQ(seen.root, "unknown");
  EXPECT_EQ(seen.depth, 1U);
}

// Guards against retries that find the same failing upstream again.
TEST_F(RequestPathTest, RetryGoesToAnotherUpstream) {
  std::atomic<int> failed = 0;
  near_.Serve("s", [&](const http::HttpRequest&) {
    ++failed;
    return http::HttpResponse{500, {}, "failed"};
  });
  far_.Serve("s", EchoTarget);
  entry_.Learn("s", {&near_, &far_});
  EXPECT_EQ(Call("/s/x").status, 200);
  EXPECT_EQ(failed, 1);
}

// Guards R4: an earlier attempt ran, so the refusal of the last one does not mean "not run".
TEST_F(RequestPathTest, RefusedRetryAfterARunIsNotCalledNotRun) {
  std::atomic<int> runs = 0;
  near_.Serve("s", [&](const http::HttpRequest&) {
    ++runs;
    return http::HttpResponse{500, {}, "failed"};
  });
  entry_.Learn("s", {&near_, &far_});  // The other zone's node has no upstream and refuses.
  const http::HttpResponse answer = Call("/s/x");
  EXPECT_EQ(runs, 1);
  EXPECT_EQ(OutcomeOf(answer), "unknown") << answer.body;
}

// Guards R5: once a byte may have arrived, nothing sends a non-idempotent request again.
TEST_F(RequestPathTest, NonIdempotentRequestsAreSentOnce) {
  std::atomic<int> runs = 0;
  const RawUpstream cut("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort");
  near_.Announce("once", cut.endpoint());
  far_.Serve("once", [&](const http::HttpRequest&) {
    ++runs;
    return http::HttpResponse{500, {}, "failed"};
  });
  entry_.Learn("once", {&near_, &far_});
  EXPECT_EQ(OutcomeOf(Call("/once/x", kKey)), "unknown");
  EXPECT_EQ(runs, 0);
  entry_.Learn("once", {&far_});
  EXPECT_EQ(Call("/once/x", kKey).status, 500);
  EXPECT_EQ(runs, 1);
}

// Guards R4: a request that was sent to a node that dies, or answers nothing, may have run.
TEST_F(RequestPathTest, DeadOrSilentNodeMeansUnknown) {
  const auto hold = [this](const http::HttpRequest& request) {
    ++runs_;
    entered_.release();
    is_released_.wait(false);
    return EchoTarget(request);
  };
  near_.Serve("once", hold);
  far_.Serve("once", hold);
  entry_.Learn("once", {&near_});
  const auto call = [this] { return Call("/once/x", kKey); };
  auto silent = std::async(std::launch::async, call);
  entered_.acquire();
  entry_.transport.ReplaceConnection("near");  // As the heartbeat does after the silence.
  EXPECT_EQ(OutcomeOf(silent.get()), "unknown");
  entry_.Learn("once", {&far_});
  auto dead = std::async(std::launch::async, call);
  entered_.acquire();
  far_.transport.Stop();
  EXPECT_EQ(OutcomeOf(dead.get()), "unknown");
  is_released_ = true;
  is_released_.notify_all();
  EXPECT_EQ(runs_, 2);
}

// Guards R3: the answer to a request that was given up reaches no other request; and R4: it is
// called not run only if it never reached the upstream, now or later.
TEST_F(RequestPathTest, LateAnswersReachNobody) {
  near_.Serve("once", [this](const http::HttpRequest& request) {
    if (request.target == "/late") {
      ++runs_;
      is_released_.wait(false);
    }
    return EchoTarget(request);
  });
  entry_.Learn("once", {&near_});
  http::Headers headers = kKey;
  headers.push_back({http::kTimeoutHeader, "500"});
  const std::string outcome = OutcomeOf(Call("/once/late", headers));
  is_released_ = true;
  is_released_.notify_all();
  for (int i = 0; i < 20; ++i) {
    const std::string path = "/" + std::to_string(i);
    EXPECT_EQ(Call("/once" + path, kKey).body, "GET " + path);
  }
  // On a slow machine the request may be given up before it is sent, or on its way.
  EXPECT_TRUE(outcome == "unknown" || (outcome == "not-run" && runs_ == 0)) << outcome;
}

// Guards R3: requests under one key whose headers differ are different lookups.
TEST_F(RequestPathTest, LookupsWithOtherHeadersAreNotJoined) {
  near_.Serve(
      "s",
      [this](const http::HttpRequest& request) {
        ++runs_;
        runs_.notify_all();
        for (int seen = runs_; seen < 2; seen = runs_) {
          runs_.wait(seen);
        }
        return http::HttpResponse{200, {}, http::FindHeader(request.headers, "accept")};
      },
      kManySlots);
  entry_.Learn("s", {&near_});
  std::vector<std::future<http::HttpResponse>> answers;
  for (const char* accept : {"text/plain", "text/html"}) {
    http::Headers headers = kKey;
    headers.push_back({"Accept", accept});
    answers.push_back(
        std::async(std::launch::async, [this, headers] { return Call("/s/x", headers); }));
  }
  EXPECT_EQ(answers[0].get().body, "text/plain");
  EXPECT_EQ(answers[1].get().body, "text/html");
}

// Guards against a slow upstream that holds up a request for which hedging is on.
TEST_F(RequestPathTest, HedgeAnswersForASlowUpstream) {
  near_.Serve("hedged", [this](const http::HttpRequest& request) {
    while (is_slow_ && !request.is_caller_gone()) {
      std::this_thread::yield();
    }
    return EchoTarget(request);
  });
  far_.Serve("hedged", [this](const http::HttpRequest& request) {
    ++runs_;
    return EchoTarget(request);
  });
  entry_.Learn("hedged", {&near_, &far_});
  EXPECT_EQ(Call("/hedged/fast").status, 200);
  const int before = runs_;
  is_slow_ = true;
  EXPECT_EQ(Call("/hedged/slow").body, "GET /slow");
  EXPECT_EQ(runs_, before + 1);
  is_slow_ = false;
}

// Guards R1 over a chain: a failing deep service costs no more extra runs than the root's
// allowance, although three hops could each retry.
TEST_F(RequestPathTest, RetriesOfAChainStayWithinTheAllowance) {
  TestNode mid_near("mid-near");
  TestNode mid_far("mid-far", PermitAll(), "other-zone");
  TestNode deep_near("deep-near");
  TestNode deep_far("deep-far", PermitAll(), "other-zone");
  std::atomic<int> runs = 0;
  const auto forward = [&runs](TestNode& node, const std::string& next) {
    return [&runs, &node, next](const http::HttpRequest& request) {
      ++runs;
      const std::string context = http::FindHeader(request.headers, http::kContextHeader);
      return node.entry.Handle(MakeCall("/" + next, {{http::kContextHeader, context}}),
                               CallerKind::kUpstream);
    };
  };
  const auto fail = [&runs](const http::HttpRequest&) {
    ++runs;
    return http::HttpResponse{500, {}, "failed"};
  };
  for (TestNode* node : {&mid_near, &mid_far, &deep_near, &deep_far}) {
    node->ApplyNote(kNote);
    node->Learn("deep", {&deep_near, &deep_far});
  }
  near_.Learn("mid", {&mid_near, &mid_far});
  far_.Learn("mid", {&mid_near, &mid_far});
  entry_.Learn("front", {&near_, &far_});
  near_.Serve("front", forward(near_, "mid"));
  far_.Serve("front", forward(far_, "mid"));
  mid_near.Serve("mid", forward(mid_near, "deep"));
  mid_far.Serve("mid", forward(mid_far, "deep"));
  deep_near.Serve("deep", fail);
  deep_far.Serve("deep", fail);
  EXPECT_EQ(Call("/front/x").status, 500);
  // One run at each hop, and the two extra attempts, each of which may run the hops below it.
  constexpr int kHops = 3;
  constexpr int kAllowance = 2;
  EXPECT_GE(runs, kHops + 1);
  EXPECT_LE(runs, kHops * (1 + kAllowance));
}

}  // namespace
}  // namespace borageloft::node
