#ifndef BORAGELOFT_WORKBENCH_EXECUTION_SLOTS_H_
#define BORAGELOFT_WORKBENCH_EXECUTION_SLOTS_H_

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

#include "libraries/base/base.h"
#include "libraries/workbench/shared_processor.h"

namespace borageloft::workbench {

/** How a piece of work ended. */
enum class WorkEnd { kFinished, kDeadline, kStopped };

/**
 * Lets request threads wait for their share of a SharedProcessor in real time. One thread wakes
 * each request when its work is done. Thread-safe.
 */
class ExecutionSlots {
 public:
  /** @see SharedProcessor */
  ExecutionSlots(std::size_t slots, double contention);
  ~ExecutionSlots();
  ExecutionSlots(const ExecutionSlots&) = delete;
  ExecutionSlots& operator=(const ExecutionSlots&) = delete;

  /** Marks one request as executing for as long as this object lives. */
  class Place {
   public:
    explicit Place(ExecutionSlots& slots);
    ~Place();
    Place(const Place&) = delete;
    Place& operator=(const Place&) = delete;

   private:
    ExecutionSlots& slots_;
  };

  /**
   * Blocks until the work is done. The caller holds a Place.
   * @param demand Work at full speed.
   * @param deadline Gives up at this time, if set.
   */
  WorkEnd Work(base::Duration demand, std::optional<base::TimePoint> deadline);

  /** @see SharedProcessor::SetSlowDown */
  void SetSlowDown(double factor);

  /** Ends all waiting; later work ends at once with kStopped. */
  void Stop();

 private:
  struct Waiter {
    std::condition_variable wake;
    bool is_done = false;
  };

  void RunDispatcher();

  base::Clock clock_ = base::SystemClock();
  std::mutex mutex_;
  std::condition_variable changed_;
  bool is_stopped_ = false;
  SharedProcessor processor_;
  std::map<SharedProcessor::TaskId, Waiter*> waiters_;
  std::thread dispatcher_;
};

}  // namespace borageloft::workbench

#endif  // BORAGELOFT_WORKBENCH_EXECUTION_SLOTS_H_
