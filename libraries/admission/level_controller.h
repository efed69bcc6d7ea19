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
 * Feedback controller that sets the admission level from the queueing delay. In each control
 * interval it measures how many requests of each class arrived within the level, how many finished
 * and how long requests waited. While the delay is above its target, the level is closed until the
 * inflow matches the capacity, less a part that grows with the excess and drains the queue. While
 * the delay is below the target, the level is opened in steps that grow with each interval in which
 * the upstream is idle. The rates are smoothed, since a gate sees only about a dozen requests per
 * interval. Not thread-safe.
 */
class LevelController {
 public:
  /**
   * @param target_delay Queueing delay to aim at, positive.
   * @param interval Time between changes of the level, positive.
   */
  LevelController(base::Duration target_delay, base::Duration interval);

  /** Changes target and interval; keeps the level. @throws AdmissionError if not positive. */
  void Configure(base::Duration target_delay, base::Duration interval);

  /** Changes the target delay, which depends on the service time; must be positive. */
  void set_target_delay(base::Duration target_delay) { target_delay_ = target_delay; }

  /** Records an arriving request, whether or not the level admits it. */
  void RecordArrival(ClassRank rank, ShedKey key);

  /** Records how long a request waited before it started. */
  void RecordWait(base::Duration wait);

  /**
   * Records a request that ran and ended.
   * @param utilization Requests running at that moment, as a share of the concurrency limit.
   */
  void RecordFinish(double utilization) {
    ++finished_count_;
    utilization_sum_ += utilization;
  }

  /**
   * Ends the control interval and sets the next level, if the interval is over.
   * @param oldest_wait Wait of the oldest queued request so far; zero for an empty queue.
   * @param throughput Requests per second that the upstream finishes at its concurrency limit.
   * @param now Current time.
   */
  void Update(base::Duration oldest_wait, double throughput, base::TimePoint now);

  /** @return The level in force. */
  AdmissionLevel level() const { return level_; }

  /**
   * @return The most open level of the last intervals. Requests that the entry admitted under that
   *     level may still arrive, and refusing them here would waste the work done for them.
   */
  AdmissionLevel recent_level() const;

  /** @return Mean wait in the last control interval, or the weighted oldest wait if longer. */
  base::Duration queueing_delay() const { return queueing_delay_; }

  /** @return Whether even the shortest wait of the last interval was above the target delay. */
  bool has_standing_queue() const { return has_standing_queue_; }

 private:
  // Requests of one class per interval.
  struct Demand {
    std::uint64_t offered = 0;   // Arrivals in this interval.
    std::uint64_t admitted = 0;  // Arrivals in this interval that the level admits.
    double inflow = 0;           // Smoothed count of admitted arrivals.
    double unshed = 0;           // Estimate without shedding; decays slowly, as callers shed too.
  };

  static constexpr std::size_t kRecentIntervals = 6;

  void UpdateEstimates();
  double TotalInflow() const;
  AdmissionLevel ClosedLevel(double factor) const;
  AdmissionLevel OpenedLevel(double factor) const;
  double ClosingFactor(double delay_ratio) const;
  double OpeningFactor(double delay_ratio, double idle_capacity);
  AdmissionLevel HighestUsefulLevel() const;
  void SetLevel(AdmissionLevel level);
  void StartInterval(base::TimePoint now);

  base::Duration target_delay_;
  base::Duration interval_;
  AdmissionLevel level_;
  std::map<ClassRank, Demand> demands_;

  bool has_started_ = false;
  base::TimePoint interval_start_{};
  std::uint64_t finished_count_ = 0;
  double utilization_sum_ = 0;
  std::uint64_t wait_count_ = 0;
  base::Duration wait_sum_{};
  base::Duration wait_min_ = base::Duration::max();
  base::Duration queueing_delay_{};
  bool has_standing_queue_ = false;
  double outflow_ = 0;   // Smoothed finished requests per interval.
  double capacity_ = 0;  // Smoothed finished requests per interval with delay above target.
  std::uint32_t idle_intervals_ = 0;
  std::array<AdmissionLevel, kRecentIntervals> recent_levels_{};
  std::array<AdmissionLevel, kRecentIntervals> highest_arrivals_;  // Least important arrival.
  std::size_t next_recent_ = 0;
};

}  // namespace borageloft::admission

#endif  // BORAGELOFT_ADMISSION_LEVEL_CONTROLLER_H_
