#include "libraries/node/inbound_calls.h"

#include <gtest/gtest.h>

#include <future>
#include <limits>

#include "tests/node/test_node.h"

namespace borageloft::node {
namespace {

constexpr transport::InboundRequestId kId{1, 1};

/** A node whose single slot is taken until Release(). */
class InboundCallsTest : public ::testing::Test {
 protected:
  ~InboundCallsTest() override { Release(); }

  void ServeHeld() {
    node_.Serve(
        "s",
        [this](const http::HttpRequest&) {
          ++runs_;
          runs_.notify_all();
          is_released_.wait(false);
          return http::HttpResponse{200, {}, "ok"};
        },
        1);
  }
  void Release() {
    is_released_ = true;
    is_released_.notify_all();
  }
  std::future<wire::Response> Start(transport::InboundRequestId id,
                                    base::Duration remaining = std::chrono::seconds(60)) {
    auto promise = std::make_shared<std::promise<wire::Response>>();
    wire::Request request = MakeGateRequest("s");
    request.remaining = remaining;
    node_.inbound.Start(id, std::move(request), [promise](wire::Response response) {
      promise->set_value(std::move(response));
    });
    return promise->get_future();
  }

  std::atomic<int> runs_ = 0;
  std::atomic<bool> is_released_ = false;
  TestNode node_{"n"};
};

// Guards against a cancel that ends something else, or the process, when its request is unknown.
TEST_F(InboundCallsTest, CancelBeforeAndAfterFindsNothing) {
  node_.inbound.Cancel(kId);
  EXPECT_EQ(Start(kId).get().reason, "no_upstream");
  node_.inbound.Cancel(kId);
  EXPECT_EQ(Start(kId).get().reason, "no_upstream");
}

// Guards R4: a queued request whose caller is gone is taken out of the queue.
TEST_F(InboundCallsTest, CancelTakesAQueuedRequestOut) {
  ServeHeld();
  auto running = Start({1, 1});
  runs_.wait(0);
  auto queued = Start({1, 3});
  node_.inbound.Cancel({1, 3});
  EXPECT_EQ(queued.get().outcome, wire::Outcome::kNotRun);
  Release();
  EXPECT_EQ(running.get().outcome, wire::Outcome::kRan);
  EXPECT_EQ(runs_, 1);
}

// Guards against work that goes on for a caller that is gone.
TEST_F(InboundCallsTest, CancelEndsARunningRequest) {
  ServeHeld();
  auto running = Start(kId);
  runs_.wait(0);
  node_.inbound.Cancel(kId);
  EXPECT_EQ(running.get().outcome, wire::Outcome::kUnknown);
}

// Guards against times of a faulty node that overflow this node's clock.
TEST_F(InboundCallsTest, ImpossibleTimesAreBounded) {
  ServeHeld();
  Release();
  EXPECT_EQ(Start(kId, base::Duration::max()).get().outcome, wire::Outcome::kRan);
  EXPECT_EQ(Start(kId, base::Duration::min()).get().outcome, wire::Outcome::kNotRun);
}

}  // namespace
}  // namespace borageloft::node
