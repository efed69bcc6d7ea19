#ifndef BORAGELOFT_ADMISSION_LEVEL_CONTROLLER_H_
#define BORAGELOFT_ADMISSION_LEVEL_CONTROLLER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "libraries/admission/admission_level.h"
#include "libraries/base/base.h"

namespace borageloft::admission {

/**
 * Turns queueing delay into an admission level. In each control interval it measures how much work
 * of each class came within the level, how much was finished and how long requests waited. While
 * the delay is above its target, the level is closed in proportion to the excess, and further if
 * more comes in than is finished. While it is below, the level is opened by steps that grow with
 * every interval without delay. All measures are smoothed, since a gate sees only about a dozen
 * requests per interval. Not thread-safe.
 */
class LevelController {
 public:
  /**
   * @param target_delay Queueing delay to steer to, positive.
   * @param interval Time between changes of the level, positive.
   */
  LevelController(base::Duration target_delay, base::Duration interval);

  /** Changes target and interval and keeps the level. */
  void Configure(base::Duration target_delay, base::Duration interval);

  /** Changes the target, for an upstream whose service time is longer. */
  void set_target_delay(base::Duration target_delay) { target_delay_ = target_delay; }

  /** Records a request that came, whether or not the level admits it. */
  void RecordArrival(ClassRank rank, ShedKey key);

  /** Records how long a request waited before it started. */
  void RecordWait(base::Duration wait);

  /**
   * Records a request that ran to its end.
   * @param utilization Requests that ran at that moment, as a share of the concurrency limit.
   */
  void RecordFinish(double utilization) {
    ++finished_;
    utilization_sum_ += utilization;
  }

  /**
   * Closes the control interval if it is over.
   * @param oldest_wait How long the oldest waiting request has waited; zero without one.
   * @param throughput Requests per second that the upstream finishes at its concurrency limit.
   * @param now Current time.
   */
  void Update(base::Duration oldest_wait, double throughput, base::TimePoint now);

  /** @return The level in force. */
  AdmissionLevel level() const { return level_; }

  /**
   * @return The most open level of the last intervals. Requests admitted at the entry under that
   *     level are still on their way, and refusing them here would waste the work done for them.
   */
  AdmissionLevel recent_level() const;

  /** @return Mean wait in the last control interval. */
  base::Duration queueing_delay() const { return delay_; }

  /** @return Whether even the shortest wait of the last interval was above the target. */
  bool is_standing() const { return is_standing_; }

 private:
  // Smoothed requests per interval of one class.
  struct Demand {
    std::uint64_t offered = 0;   // In this interval.
    std::uint64_t admitted = 0;  // In this interval.
    double inflow = 0;           // Within the level.
    double full = 0;             // If every key were admitted; falls slowly, as it may be hidden.
  };

  static constexpr std::size_t kRecentIntervals = 6;

  void Measure();
  double TotalInflow() const;
  AdmissionLevel Closed(double factor) const;
  AdmissionLevel Opened(double factor) const;
  double ClosingFactor(double delay_ratio) const;
  double OpeningFactor(double delay_ratio, double idle_capacity);
  AdmissionLevel Reachable() const;
  void Adopt(AdmissionLevel level);
  void StartInterval(base::TimePoint now);

  base::Duration target_delay_;
  base::Duration interval_;
  AdmissionLevel level_;
  std::map<ClassRank, Demand> demands_;

  bool has_started_ = false;
  base::TimePoint interval_start_{};
  std::uint64_t finished_ = 0;
  double utilization_sum_ = 0;
  std::uint64_t waits_ = 0;
  base::Duration wait_sum_{};
  base::Duration wait_min_ = base::Duration::max();
  base::Duration delay_{};
  bool is_standing_ = false;
  double outflow_ = 0;   // Smoothed finished requests per interval.
  double capacity_ = 0;  // Smoothed finished requests per interval with delay above target.
  std::uint32_t calm_intervals_ = 0;
  std::array<AdmissionLevel, kRecentIntervals> recent_{};
  std::array<AdmissionLevel, kRecentIntervals> ceilings_;  // Least important key that came.
  std::size_t next_recent_ = 0;
};

}  // namespace borageloft::admission

#endif  // BORAGELOFT_ADMISSION_LEVEL_CONTROLLER_H_
