#ifndef BORAGELOFT_WORKBENCH_SHARED_PROCESSOR_H_
#define BORAGELOFT_WORKBENCH_SHARED_PROCESSOR_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "libraries/base/base.h"

namespace borageloft::workbench {

/**
 * Processor sharing: up to `slots` requests run at full speed; above that, all of them slow down
 * together and some capacity is lost to contention, as on an overloaded server. No threads and no
 * clock of its own. Not thread-safe.
 */
class SharedProcessor {
 public:
  /** Names one task. */
  using TaskId = std::uint64_t;

  /**
   * @param slots Requests that run at full speed, at least 1.
   * @param contention Share of capacity lost for each `slots` requests above `slots`.
   * @param now Start of the model's time.
   * @throws Error If slots is 0 or contention is negative.
   */
  SharedProcessor(std::size_t slots, double contention, base::TimePoint now);

  /** Takes a place among the requests that share the processor, without work to do. */
  void Enter(base::TimePoint now);

  /** Gives the place back. */
  void Leave(base::TimePoint now);

  /** Adds work for a request that has entered. @return The task. */
  TaskId Add(base::Duration demand, base::TimePoint now);

  /** Drops a task that has not finished; no effect on a finished one. */
  void Remove(TaskId task);

  /** @param factor Every task takes this many times as long from now on, also running ones. */
  void SetSlowDown(double factor, base::TimePoint now);

  /** @return When the next task finishes if nothing changes, or nothing without tasks. */
  std::optional<base::TimePoint> NextFinish() const;

  /** @return Tasks that have finished by @p now, in the order in which they finished. */
  std::vector<TaskId> TakeFinished(base::TimePoint now);

  /** @return Work done for each second of real time, by each task: 1 at full speed. */
  double Speed() const;

  /** @return Requests that have entered and not left. */
  std::size_t present() const { return present_; }

 private:
  void Advance(base::TimePoint now);

  std::size_t slots_;
  double contention_;
  double slow_down_ = 1.0;
  std::size_t present_ = 0;
  base::TimePoint now_;
  // Work in nanoseconds that a task present from the start would have received.
  double work_ = 0;
  TaskId next_task_ = 1;
  std::map<std::pair<double, TaskId>, TaskId> by_finish_;
  std::map<TaskId, double> finish_;
};

}  // namespace borageloft::workbench

#endif  // BORAGELOFT_WORKBENCH_SHARED_PROCESSOR_H_
