#ifndef BORAGELOFT_BASE_TIME_H_
#define BORAGELOFT_BASE_TIME_H_

#include <time.h>

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

/**
 * @return A hook that reads a monotonic clock that also counts the time for which the machine was
 *     suspended. Its points in time cannot be compared with those of SystemClock().
 */
inline Clock SuspensionAwareClock() {
  return [] {
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint(std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec));
  };
}

/** @return A hook that reads the machine's wall clock. */
inline WallClock SystemWallClock() {
  return [] { return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now()); };
}

}  // namespace borageloft::base

#endif  // BORAGELOFT_BASE_TIME_H_
