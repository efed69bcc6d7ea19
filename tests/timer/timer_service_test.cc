#include <gtest/gtest.h>

#include "libraries/timer/timer.h"

namespace borageloft::timer {
namespace {

using std::chrono::milliseconds;

class TimerServiceTest : public ::testing::Test {
 protected:
  base::TimePoint now_;
  TimerService timers_{[this] { return now_; }};
};

// Guards against a callback that runs before its time.
TEST_F(TimerServiceTest, RunsOnceWhenDue) {
  int calls = 0;
  timers_.SubscribeOnce(milliseconds(10), [&](base::TimePoint) { ++calls; });
  now_ += milliseconds(9);
  EXPECT_EQ(timers_.RunDue(), 0U);
  now_ += milliseconds(1);
  EXPECT_EQ(timers_.RunDue(), 1U);
  now_ += milliseconds(100);
  EXPECT_EQ(timers_.RunDue(), 0U);
  EXPECT_EQ(calls, 1);
}

// Guards against an unexpected error of one subscriber that stops the timers of all others.
TEST_F(TimerServiceTest, AnErrorOfACallbackConcernsNoOther) {
  base::ReplaceLogSink([](std::string_view) {});
  int calls = 0;
  timers_.SubscribeEvery(milliseconds(10),
                         [](base::TimePoint) { throw std::runtime_error("unexpected"); });
  timers_.SubscribeEvery(milliseconds(10), [&](base::TimePoint) { ++calls; });
  for (int round = 0; round < 2; ++round) {
    now_ += milliseconds(10);
    EXPECT_EQ(timers_.RunDue(), 2U);
  }
  EXPECT_EQ(calls, 2);
  base::ReplaceLogSink({});
}

// Guards against a burst of callbacks after the driver stalled.
TEST_F(TimerServiceTest, SkipsMissedRounds) {
  int calls = 0;
  timers_.SubscribeEvery(milliseconds(10), [&](base::TimePoint) { ++calls; });
  now_ += milliseconds(95);
  timers_.RunDue();
  EXPECT_EQ(calls, 1);
  EXPECT_EQ(timers_.NextDue(), now_ + milliseconds(10));
}

// Guards against use of a subscriber that has gone.
TEST_F(TimerServiceTest, CallbackMayEndItsOwnSubscription) {
  int calls = 0;
  SubscriptionId id{};
  id = timers_.SubscribeEvery(milliseconds(1), [&](base::TimePoint) {
    ++calls;
    timers_.Unsubscribe(id);
  });
  now_ += milliseconds(1);
  timers_.RunDue();
  now_ += milliseconds(1);
  timers_.RunDue();
  EXPECT_EQ(calls, 1);
  EXPECT_FALSE(timers_.NextDue().has_value());
}

}  // namespace
}  // namespace borageloft::timer
