#include <gtest/gtest.h>

#include <cmath>
#include <map>

#include "libraries/request_path/request_path.h"

namespace borageloft::request_path {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kSlots = 60;

/** Result of a load on a simulated upstream. */
struct Result {
  std::size_t served = 0;
  std::size_t in_time = 0;
  base::Duration until_open = seconds(100);
};

enum class Control { kOff, kOn };

/**
 * Plays a full load for @p length on an upstream that was just started.
 * @param slowdown Factor on the service time of 100 ms, by the requests that run and the requests
 *     that were served since the start.
 */
template <typename Slowdown>
Result Play(Control control, milliseconds length, const Slowdown& slowdown) {
  RecoveryPace pace;
  base::TimePoint now{seconds(10)};
  const base::TimePoint start = now;
  if (control == Control::kOn) {
    pace.Begin(now);
  }
  Result result;
  std::multimap<base::TimePoint, base::TimePoint> running;  // Start by end.
  while (now - start < length) {
    now += milliseconds(1);
    while (!running.empty() && running.begin()->first <= now) {
      const base::Duration took = now - running.begin()->second;
      running.erase(running.begin());
      pace.RecordAnswer(took, now);
      ++result.served;
      result.in_time += took <= milliseconds(400) ? 1 : 0;
    }
    if (!pace.is_limiting()) {
      result.until_open = std::min<base::Duration>(result.until_open, now - start);
    }
    while (running.size() < pace.Limit(kSlots, now)) {
      const double factor = slowdown(running.size() + 1, result.served);
      running.emplace(now + milliseconds(static_cast<int>(100 * factor)), now);
    }
  }
  return result;
}

// Load: all nodes send to an upstream with cold caches, which is slower the more it runs until it
// has served some hundred requests. Guards against flooding it.
TEST(RecoveryPaceTest, AColdUpstreamServesMoreInTimeThanWhenItIsFlooded) {
  const auto cold = [](std::size_t running, std::size_t served) {
    const double warmth = std::min(1.0, static_cast<double>(served) / 400);
    const double excess = std::max(0.0, static_cast<double>(running) - 15) / 15;
    return 1 + (1 - warmth) * 4 * excess * excess;
  };
  const Result off = Play(Control::kOff, milliseconds(3000), cold);
  const Result on = Play(Control::kOn, milliseconds(3000), cold);
  EXPECT_GE(on.in_time, off.in_time * 3 / 2) << "of " << on.served << " and " << off.served;
}

// Load: an upstream that is twice as slow for some seconds at any load. Guards against leaving it
// idle: fewer requests would not make it faster.
TEST(RecoveryPaceTest, AnUpstreamThatIsSlowAtAnyLoadIsOpenedSoon) {
  const Result result =
      Play(Control::kOn, milliseconds(4000), [](std::size_t, std::size_t) { return 2.0; });
  EXPECT_LE(result.until_open, milliseconds(1500));
}

// Guards against an upstream that is never used in full because its answers stay slow.
TEST(RecoveryPaceTest, TheLimitEndsInAnyCase) {
  RecoveryPace pace;
  base::TimePoint now{seconds(10)};
  pace.Begin(now);
  EXPECT_LE(pace.Limit(kSlots, now), kSlots / 4);
  int took = 100;
  while (now < base::TimePoint(seconds(10)) + RecoveryPace::kMaxTime) {
    pace.RecordAnswer(milliseconds(took += 20), now);
    now += milliseconds(10);
  }
  EXPECT_EQ(pace.Limit(kSlots, now), kSlots);
}

// Guards against growing while the upstream rejects requests for lack of room.
TEST(RecoveryPaceTest, RejectionsCutTheLimit) {
  RecoveryPace pace;
  base::TimePoint now{seconds(10)};
  pace.Begin(now);
  const std::size_t first = pace.Limit(kSlots, now);
  for (int i = 0; i < 40; ++i) {
    now += milliseconds(10);
    pace.RecordRejection(now);
  }
  EXPECT_LT(pace.Limit(kSlots, now), first);
  EXPECT_GE(pace.Limit(kSlots, now), 1U);
}

}  // namespace
}  // namespace borageloft::request_path
