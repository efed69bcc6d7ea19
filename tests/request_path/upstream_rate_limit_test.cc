#include <gtest/gtest.h>

#include <deque>

#include "libraries/request_path/request_path.h"

namespace borageloft::request_path {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Counts starts in a sliding window. */
class StartWindow {
 public:
  explicit StartWindow(base::Duration length) : length_(length) {}

  /** Records a start. @return Number of starts in the window that ends now. */
  std::size_t Record(base::TimePoint now) {
    starts_.push_back(now);
    while (now - starts_.front() >= length_) {
      starts_.pop_front();
    }
    return starts_.size();
  }

 private:
  base::Duration length_;
  std::deque<base::TimePoint> starts_;
};

// Guards against a burst that exceeds the named rate, and against leaving a part of it unused.
TEST(UpstreamRateLimitTest, StartsAtTheNamedRate) {
  for (const double rate : {0.7, 5.0, 14.4, 250.0}) {
    base::TimePoint now{seconds(100)};
    UpstreamRateLimit limit;
    EXPECT_TRUE(limit.HasToken(now));
    limit.Learn(static_cast<std::uint32_t>(rate * 1000), now);
    StartWindow window(seconds(4));
    std::size_t started = 0;
    for (int step = 0; step < 60'000; ++step, now += milliseconds(1)) {
      // Demand pauses for 3 s, so that tokens could pile up.
      const bool is_pause = step > 20'000 && step < 23'000;
      while (!is_pause && limit.HasToken(now)) {
        limit.Take(now);
        ++started;
        ASSERT_LE(window.Record(now), 1.5 * 4 * rate + 5);
      }
    }
    EXPECT_GE(started, 0.95 * rate * 57);
  }
}

TEST(UpstreamRateLimitTest, AnAnswerGoesBeforeASuggestionAndLiftsTheLimit) {
  const base::TimePoint now{seconds(100)};
  UpstreamRateLimit limit;
  limit.Suggest(2000, now);
  EXPECT_EQ(limit.milli(), 2000U);
  EXPECT_EQ(limit.WaitBehind(4, now), seconds(2));  // The first request has a token already.
  limit.Learn(0, now);
  EXPECT_EQ(limit.milli(), 0U);
  EXPECT_EQ(limit.WaitBehind(100, now), base::Duration::zero());
  limit.Suggest(2000, now);
  EXPECT_EQ(limit.milli(), 0U);
  limit.Reset();
  limit.Suggest(3000, now);
  EXPECT_EQ(limit.milli(), 3000U);
}

// Guards against an upstream that gets no request any more, so that it cannot lift its limit.
TEST(UpstreamRateLimitTest, ARateOfZeroStillAllowsProbes) {
  base::TimePoint now{seconds(100)};
  UpstreamRateLimit limit;
  limit.Learn(1, now);
  limit.Take(now);
  EXPECT_FALSE(limit.HasToken(now));
  now += seconds(2);
  EXPECT_TRUE(limit.HasToken(now));
}

}  // namespace
}  // namespace borageloft::request_path
