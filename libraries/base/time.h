#ifndef BORAGELOFT_BASE_TIME_H_
#define BORAGELOFT_BASE_TIME_H_

#include <chrono>
#include <functional>

namespace borageloft::base {

/** Span of time, in nanoseconds. */
using Duration = std::chrono::nanoseconds;

/** Monotonic point in time; it has no meaning outside the process that read it. */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** Wall-clock point in time, used in messages between processes and in identifiers. */
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/** Reads the monotonic clock. Decision code reads time only through this hook. */
using Clock = std::function<TimePoint()>;

/** Reads the wall clock. */
using WallClock = std::function<WallTime()>;

/** @return A hook that reads the machine's monotonic clock. */
inline Clock SystemClock() {
  return [] { return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now()); };
}

/** @return A hook that reads the machine's wall clock. */
inline WallClock SystemWallClock() {
  return [] { return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now()); };
}

}  // namespace borageloft::base

#endif  // BORAGELOFT_BASE_TIME_H_
