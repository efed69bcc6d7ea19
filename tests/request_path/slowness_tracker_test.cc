#include <gtest/gtest.h>

#include "libraries/request_path/request_path.h"

namespace borageloft::request_path {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using wire::RequestOrigin;

class SlownessTrackerTest : public ::testing::Test {
 protected:
  void End(int count, milliseconds took, RequestOrigin origin = RequestOrigin::kCaller) {
    for (int i = 0; i < count; ++i) {
      now_ += milliseconds(10);
      tracker_.RecordEnd(origin, took, now_);
    }
  }

  base::TimePoint now_{seconds(100)};
  SlownessTracker tracker_;
};

// Guards against a slowdown that the gate reports too late, so that every node has to measure it.
TEST_F(SlownessTrackerTest, ReportsASlowdownWithinTwentyRequests) {
  EXPECT_EQ(tracker_.Steps(now_), 0U);
  End(100, milliseconds(100));
  EXPECT_EQ(tracker_.Steps(now_), 0U);
  End(20, milliseconds(1200));
  EXPECT_EQ(tracker_.Steps(now_), 3U);
  End(200, milliseconds(1200));
  EXPECT_GE(tracker_.Steps(now_), 2U);
  End(40, milliseconds(100));
  EXPECT_EQ(tracker_.Steps(now_), 0U);
}

// Guards against missing a slowdown so severe that every request is cancelled and none ends.
TEST_F(SlownessTrackerTest, CountsCancelledRequests) {
  End(100, milliseconds(100));
  for (int i = 0; i < 20; ++i) {
    now_ += milliseconds(10);
    tracker_.RecordCancelled(RequestOrigin::kCaller, milliseconds(1000), now_);
    tracker_.RecordCancelled(RequestOrigin::kCaller, milliseconds(5), now_);
  }
  EXPECT_EQ(tracker_.Steps(now_), 3U);
}

// Guards against an upstream that stays marked as slow because it gets no requests.
TEST_F(SlownessTrackerTest, DecaysWithoutRecords) {
  End(100, milliseconds(100));
  End(30, milliseconds(1600));
  now_ += seconds(2);
  EXPECT_EQ(tracker_.Steps(now_), 1U);
  End(1, milliseconds(100));
  EXPECT_LE(tracker_.Steps(now_), 1U);
  now_ += seconds(3);
  EXPECT_EQ(tracker_.Steps(now_), 0U);
}

// Guards against learning of a slowdown only when requests end at their time limit.
TEST_F(SlownessTrackerTest, ReportsASlowdownBeforeAnyRequestEnds) {
  for (int i = 0; i < 200; ++i) {
    tracker_.RecordStart(RequestOrigin::kCaller, now_);
    now_ += milliseconds(10);
    if (i >= 10) {
      tracker_.RecordEnd(RequestOrigin::kCaller, milliseconds(100), now_);
    }
    EXPECT_EQ(tracker_.Steps(now_), 0U) << i;
  }
  for (int i = 0; i < 80; ++i) {
    tracker_.RecordStart(RequestOrigin::kCaller, now_);
    now_ += milliseconds(10);
  }
  EXPECT_GE(tracker_.Steps(now_), 2U);
}

// Guards against taking requests that have all just started for slow ones.
TEST_F(SlownessTrackerTest, ABurstIsNoSlowdown) {
  End(100, milliseconds(100));
  for (int i = 0; i < 40; ++i) {
    tracker_.RecordStart(RequestOrigin::kCaller, now_);
  }
  for (int i = 0; i < 15; ++i) {
    now_ += milliseconds(10);
    EXPECT_EQ(tracker_.Steps(now_), 0U) << i;
  }
}

// Guards against reporting a change of the request mix as a slowdown.
TEST_F(SlownessTrackerTest, TracksCallersAndCallsSeparately) {
  End(100, milliseconds(15), RequestOrigin::kUpstream);
  End(100, milliseconds(400));
  End(20, milliseconds(15), RequestOrigin::kUpstream);
  EXPECT_EQ(tracker_.Steps(now_), 0U);
}

}  // namespace
}  // namespace borageloft::request_path
