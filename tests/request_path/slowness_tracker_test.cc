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

// Guards against a slow upstream that every node has to find out for itself.
TEST_F(SlownessTrackerTest, TellsASlowdownWithinTwentyRequests) {
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

// Guards against a slowdown so deep that every request is given up, and none is seen to end.
TEST_F(SlownessTrackerTest, CountsRequestsThatWereGivenUp) {
  End(100, milliseconds(100));
  for (int i = 0; i < 20; ++i) {
    now_ += milliseconds(10);
    tracker_.RecordGivenUp(RequestOrigin::kCaller, milliseconds(1000), now_);
    tracker_.RecordGivenUp(RequestOrigin::kCaller, milliseconds(5), now_);
  }
  EXPECT_EQ(tracker_.Steps(now_), 3U);
}

// Guards against an upstream that counts as slow for ever because it gets no work.
TEST_F(SlownessTrackerTest, ForgetsWhileNothingComes) {
  End(100, milliseconds(100));
  End(30, milliseconds(1600));
  now_ += seconds(2);
  EXPECT_EQ(tracker_.Steps(now_), 1U);
  End(1, milliseconds(100));
  EXPECT_LE(tracker_.Steps(now_), 1U);
  now_ += seconds(3);
  EXPECT_EQ(tracker_.Steps(now_), 0U);
}

// Guards against a change of the mix that looks like a slowdown.
TEST_F(SlownessTrackerTest, TellsCallersAndCallsApart) {
  End(100, milliseconds(15), RequestOrigin::kUpstream);
  End(100, milliseconds(400));
  End(20, milliseconds(15), RequestOrigin::kUpstream);
  EXPECT_EQ(tracker_.Steps(now_), 0U);
}

}  // namespace
}  // namespace borageloft::request_path
