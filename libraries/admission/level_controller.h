#ifndef BORAGELOFT_ADMISSION_LEVEL_CONTROLLER_H_
#define BORAGELOFT_ADMISSION_LEVEL_CONTROLLER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>

#include "libraries/admission/admission_level.h"
#include "libraries/base/base.h"

namespace borageloft::admission {

/**
 * Turns queueing delay into an admission level. In each control interval it measures how much work
 * of each class came within the level, how much was finished and how long requests waited. While
 * the delay is above its target, the level is set so that the work admitted next equals the work
 * finished, less a part of the backlog; while it is below, the level is opened in proportion to the
 * distance. The work of a class that is shed is remembered, so that opening by a given amount of
 * work crosses class borders by the right step. Not thread-safe.
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

  /** Records a request that came, whether or not the level admits it. */
  void RecordArrival(ClassRank rank, ShedKey key);

  /** Records how long a request waited before it started. */
  void RecordWait(base::Duration wait);

  /** Records a request that ran to its end. */
  void RecordFinish() { ++finished_; }

  /**
   * Closes the control interval if it is over.
   * @param oldest_wait How long the oldest waiting request has waited; zero without one.
   * @param waiting Requests that wait.
   * @param now Current time.
   */
  void Update(base::Duration oldest_wait, std::size_t waiting, base::TimePoint now);

  /** @return The level in force. */
  AdmissionLevel level() const { return level_; }

  /** @return Mean wait in the last control interval. */
  base::Duration queueing_delay() const { return delay_; }

  /** @return Whether even the shortest wait of the last interval was above the target. */
  bool is_standing() const { return is_standing_; }

 private:
  struct Demand {
    std::uint64_t offered = 0;
    std::uint64_t admitted = 0;
    double full = 0;  // Smoothed requests per interval if every key were admitted.
  };

  void Learn();
  double Position() const;
  AdmissionLevel LevelAt(double position) const;
  double Allowed(double delay_ratio, double admitted, std::size_t waiting) const;
  void StartInterval(base::TimePoint now);

  base::Duration target_delay_;
  base::Duration interval_;
  AdmissionLevel level_;
  std::map<ClassRank, Demand> demands_;

  bool has_started_ = false;
  base::TimePoint interval_start_{};
  std::uint64_t finished_ = 0;
  std::uint64_t waits_ = 0;
  base::Duration wait_sum_{};
  base::Duration wait_min_ = base::Duration::max();
  base::Duration delay_{};
  bool is_standing_ = false;
  double capacity_ = 0;  // Smoothed finished requests per interval while requests waited.
};

}  // namespace borageloft::admission

#endif  // BORAGELOFT_ADMISSION_LEVEL_CONTROLLER_H_
